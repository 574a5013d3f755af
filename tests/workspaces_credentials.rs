//! Decisions on the credentials of requests.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::workspaces::credentials::CallWorkspace;
use sycamorewick::coordination::workspaces::credentials::Credentials;
use sycamorewick::coordination::workspaces::credentials::Verdict;
use sycamorewick::coordination::workspaces::credentials::ViewLimits;
use sycamorewick::protocol::mesh::KeyHash;
use sycamorewick::protocol::mesh::Workspace;
use sycamorewick::protocol::name::WorkspaceName;
use sycamorewick::result_code::ResultCode;

const FRESH: Option<Duration> = Some(Duration::from_millis(500));
const LIMITS: ViewLimits = ViewLimits {
    config_within: Duration::from_secs(3),
    revoke_within: None,
};
const STRICT: ViewLimits = ViewLimits {
    config_within: Duration::from_secs(3),
    revoke_within: Some(Duration::from_secs(5)),
};

fn key(text: &str) -> KeyHash {
    KeyHash::of(text.as_bytes())
}

fn workspace(name: &str, priority: u8, keys: &[&str]) -> Workspace {
    let mut keys: Vec<KeyHash> = keys.iter().map(|text| key(text)).collect();
    keys.sort_unstable();
    Workspace {
        name: name.into(),
        keys,
        priority,
        quota: None,
        homes: Vec::new(),
    }
}

fn credentials() -> Credentials {
    Credentials::new(&[
        workspace("acme", 2, &["key-a", "key-b"]),
        workspace("birch", 1, &["key-c"]),
        workspace("cedar", 3, &[]),
    ])
}

/// Guards against a request that counts as that of another workspace, and against a key that is refused
/// although it is in the configuration.
#[gtest]
fn judge_keys_of_workspaces() {
    let credentials = credentials();
    let (acme, birch) = (WorkspaceName::from("acme"), WorkspaceName::from("birch"));
    for (text, found) in [
        ("key-a", Verdict::Valid(&acme, 2)),
        ("key-b", Verdict::Valid(&acme, 2)),
        ("key-c", Verdict::Valid(&birch, 1)),
        ("key-d", Verdict::Unknown),
        ("KEY-A", Verdict::Unknown),
        ("key-", Verdict::Unknown),
        ("acme", Verdict::Unknown),
    ] {
        let verdict = credentials.judge(false, Some(key(text)), FRESH, &LIMITS);
        expect_that!(verdict, eq(found), "{text}");
    }
    let without = credentials.judge(false, None, FRESH, &LIMITS);
    expect_that!(without, eq(Verdict::Unknown));
}

/// Guards against a deployment without workspaces that asks for credentials, at any age of its view.
#[gtest]
fn judge_without_workspaces() {
    let credentials = Credentials::new(&[]);
    for view_age in [FRESH, None, Some(Duration::from_mins(1))] {
        for presented in [None, Some(key("key-a"))] {
            let verdict = credentials.judge(false, presented, view_age, &STRICT);
            expect_that!(verdict, eq(Verdict::NoWorkspaces));
        }
    }
    let workspace = credentials.workspace(Verdict::NoWorkspaces);
    expect_that!(
        workspace,
        ok(eq(&CallWorkspace {
            name: None,
            priority: 0
        }))
    );
}

/// Guards against a public route that refuses a request because of the credential that it happens to carry,
/// or that serves it as a request of a workspace.
#[gtest]
fn judge_public_route() {
    let credentials = credentials();
    for presented in [None, Some(key("key-a")), Some(key("key-d"))] {
        for view_age in [FRESH, None] {
            let verdict = credentials.judge(true, presented, view_age, &STRICT);
            expect_that!(verdict, eq(Verdict::Public));
        }
    }
}

/// Guards against 401, which is final for a caller, for a key that the node has not read yet.
#[gtest]
fn judge_unknown_key_with_old_view() {
    let credentials = credentials();
    let judge = |presented, view_age| credentials.judge(false, presented, view_age, &LIMITS);
    let at_limit = Some(Duration::from_secs(3));
    let beyond = Some(Duration::from_millis(3_001));
    expect_that!(judge(Some(key("key-d")), at_limit), eq(Verdict::Unknown));
    expect_that!(judge(Some(key("key-d")), beyond), eq(Verdict::CannotJudge));
    expect_that!(judge(Some(key("key-d")), None), eq(Verdict::CannotJudge));
    // No configuration makes a request valid that carries no key.
    expect_that!(judge(None, beyond), eq(Verdict::Unknown));
    let acme = WorkspaceName::from("acme");
    expect_that!(
        judge(Some(key("key-a")), None),
        eq(Verdict::Valid(&acme, 2))
    );
}

/// Guards against a node that accepts a credential although it may have been revoked long ago, where the
/// settings forbid this.
#[gtest]
fn judge_strict_revoke() {
    let credentials = credentials();
    let judge = |presented, view_age| credentials.judge(false, presented, view_age, &STRICT);
    let acme = WorkspaceName::from("acme");
    let at_limit = Some(Duration::from_secs(5));
    let beyond = Some(Duration::from_millis(5_001));
    expect_that!(
        judge(Some(key("key-a")), at_limit),
        eq(Verdict::Valid(&acme, 2))
    );
    for view_age in [beyond, None] {
        expect_that!(
            judge(Some(key("key-a")), view_age),
            eq(Verdict::CannotJudge)
        );
        expect_that!(
            judge(Some(key("key-d")), view_age),
            eq(Verdict::CannotJudge)
        );
        expect_that!(judge(None, view_age), eq(Verdict::Unknown));
    }
}

/// Guards against calls of running requests, which have no workspace, that wait behind new calls of workspaces.
#[gtest]
fn workspace_priorities() {
    let credentials = credentials();
    let public = credentials.workspace(Verdict::Public);
    expect_that!(public.map(|workspace| workspace.priority), ok(eq(1)));
    let acme = WorkspaceName::from("acme");
    let valid = credentials.workspace(Verdict::Valid(&acme, 2));
    expect_that!(
        valid,
        ok(eq(&CallWorkspace {
            name: Some(acme),
            priority: 2
        }))
    );
    let refused = |verdict| credentials.workspace(verdict).err();
    expect_that!(
        refused(Verdict::Unknown),
        some(eq(ResultCode::CredentialUnknown))
    );
    expect_that!(
        refused(Verdict::CannotJudge),
        some(eq(ResultCode::NotReady))
    );
}

/// Guards against debug output with a credential.
#[gtest]
fn debug_output_without_keys() {
    let text = format!("{:?}", credentials());
    expect_that!(text, contains_substring("acme"));
    expect_that!(text, not(contains_substring("key-a")));
}
