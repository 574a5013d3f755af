//! Which workspace a request belongs to, by its credential. See `docs/design/workspaces.md`, "Credentials".
//!
//! The index belongs to one configuration. Each attempt of a call is judged by the configuration that is in
//! force at that moment, so that a credential that was revoked is refused also for calls under way.

use std::time::Duration;

use crate::protocol::mesh::KeyHash;
use crate::protocol::mesh::Workspace;
use crate::protocol::name::WorkspaceName;
use crate::result_code::ResultCode;

/// Limits on the age of the view of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ViewLimits {
    /// Age from which on there may be credentials that the view does not have.
    pub config_within: Duration,
    /// Age from which on credentials of the view may have been revoked; `None` if they are accepted at any
    /// age.
    pub revoke_within: Option<Duration>,
}

/// Decision on the credential of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict<'a> {
    /// The configuration has no workspaces, so that requests need no credential.
    NoWorkspaces,
    /// The route needs no credential; one that the request carries is not judged.
    Public,
    /// The credential belongs to the workspace with this name and priority.
    Valid(&'a WorkspaceName, u8),
    /// The request has no credential, or one that belongs to no workspace.
    Unknown,
    /// The view of the configuration is too old to tell.
    CannotJudge,
}

/// Workspace of a call that is allowed, as the serving node is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallWorkspace {
    /// Name; `None` for a call without a workspace.
    pub name: Option<WorkspaceName>,
    /// Priority of the workspace; that of the most urgent one for a call without a workspace.
    pub priority: u8,
}

/// The credentials of one configuration.
#[derive(Debug)]
pub struct Credentials {
    /// Hashes with the indices of their workspaces, sorted. The time of a lookup depends on the hash only, so it
    /// reveals nothing about a credential.
    index: Vec<(KeyHash, usize)>,
    /// Names and priorities of the workspaces.
    workspaces: Vec<(WorkspaceName, u8)>,
    most_urgent: u8,
}

impl Credentials {
    /// Builds the index of the workspaces of a configuration.
    #[must_use]
    pub fn new(workspaces: &[Workspace]) -> Self {
        let mut index: Vec<(KeyHash, usize)> = Vec::new();
        for (number, workspace) in workspaces.iter().enumerate() {
            index.extend(workspace.keys.iter().map(|key| (*key, number)));
        }
        index.sort_unstable();
        let most_urgent = workspaces.iter().map(|workspace| workspace.priority).min();
        let workspaces = workspaces.iter();
        Self {
            index,
            workspaces: workspaces
                .map(|workspace| (workspace.name.clone(), workspace.priority))
                .collect(),
            most_urgent: most_urgent.unwrap_or(0),
        }
    }

    /// Judges the credential of a request. `view_age` is the age of the view of the configuration, `None` if
    /// it was never confirmed by the store.
    #[must_use]
    pub fn judge(
        &self,
        is_public: bool,
        credential: Option<KeyHash>,
        view_age: Option<Duration>,
        limits: &ViewLimits,
    ) -> Verdict<'_> {
        if self.workspaces.is_empty() {
            return Verdict::NoWorkspaces;
        }
        if is_public {
            return Verdict::Public;
        }
        let Some(credential) = credential else {
            return Verdict::Unknown;
        };
        let is_older = |limit| view_age.is_none_or(|age| age > limit);
        if limits.revoke_within.is_some_and(is_older) {
            return Verdict::CannotJudge;
        }
        match self
            .index
            .binary_search_by_key(&credential, |(key, _)| *key)
        {
            Ok(found) => {
                let (name, priority) = &self.workspaces[self.index[found].1];
                Verdict::Valid(name, *priority)
            }
            Err(_) if is_older(limits.config_within) => Verdict::CannotJudge,
            Err(_) => Verdict::Unknown,
        }
    }

    /// Returns the workspace of a call by the verdict on its credential.
    ///
    /// # Errors
    /// The reason why the call is refused.
    pub fn workspace(&self, verdict: Verdict<'_>) -> Result<CallWorkspace, ResultCode> {
        match verdict {
            Verdict::NoWorkspaces | Verdict::Public => Ok(CallWorkspace {
                name: None,
                priority: self.most_urgent,
            }),
            Verdict::Valid(name, priority) => Ok(CallWorkspace {
                name: Some(name.clone()),
                priority,
            }),
            Verdict::Unknown => Err(ResultCode::CredentialUnknown),
            Verdict::CannotJudge => Err(ResultCode::NotReady),
        }
    }
}
