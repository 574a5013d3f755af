//! The configuration in force and its transfer between nodes, see `docs/design.md`, section 4.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::invariant;
use crate::protocol::codec;
use crate::protocol::document::Region;
use crate::protocol::document::Route;
use crate::protocol::document::Service;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::record::ServiceSince;
use crate::protocol::record::VersionedDocument;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::state::validate;
use crate::state::validate::MAX_PATH_PREFIX_BYTES;

/// Number of snapshots that a store keeps as bases of deltas, including the one in force. At the
/// target rate of 1,100 changes per day a node that is further behind has missed several minutes of
/// gossip.
pub const KEPT_SNAPSHOTS: usize = 4;

/// A complete, validated and immutable configuration version.
#[derive(Debug)]
pub struct Snapshot {
    versioned: VersionedDocument,
    digest: u64,
    /// Indices of all routes, sorted by host and path prefix.
    by_prefix: Vec<usize>,
}

impl Snapshot {
    /// Validates a configuration version, normalises it and builds its route index.
    ///
    /// # Errors
    /// The first failure of the document, or [`ResultCode::InvalidField`] if the version or a
    /// `since` entry is impossible.
    pub fn build(mut versioned: VersionedDocument) -> Result<Self, Failure> {
        check_versioned(&versioned)?;
        validate::normalise(&mut versioned.document);
        versioned.since.sort_by(|a, b| a.service.cmp(&b.service));
        if !invariant::check(2, references_resolve(&versioned), "a reference is dangling") {
            let text =
                "a route or rollout refers to a service or version that is not in the document";
            return Err(Failure::new(ResultCode::DanglingReference, text));
        }
        let routes = &versioned.document.routes;
        let mut by_prefix: Vec<usize> = (0..routes.len()).collect();
        let key = |i: usize| (&routes[i].host, &routes[i].path_prefix);
        by_prefix.sort_by(|&a, &b| key(a).cmp(&key(b)));
        Ok(Self {
            digest: digest_of(&versioned)?,
            versioned,
            by_prefix,
        })
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.versioned.version
    }

    /// Returns the digest of version, document and `since`. It is equal on all nodes that have this
    /// version.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the document with its version.
    #[must_use]
    pub fn versioned(&self) -> &VersionedDocument {
        &self.versioned
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let services = &self.versioned.document.services;
        let at = services.binary_search_by(|service| service.name.as_str().cmp(name));
        Some(&services[at.ok()?])
    }

    /// Returns the version in which the section of a service last changed, or
    /// [`ConfigVersion::NONE`] for a service that the document does not have.
    #[must_use]
    pub fn since(&self, service: &str) -> ConfigVersion {
        since_of(&self.versioned, service).unwrap_or(ConfigVersion::NONE)
    }

    /// Returns the route of a request: the one with the longest matching path prefix among the
    /// routes for exactly this host, otherwise among the routes for any host. Host names are compared
    /// without case and port (RFC 9110, section 4.2.3), paths without the query.
    #[must_use]
    pub fn find_route(&self, host: &str, method: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).as_bytes();
        let path = path.split('?').next().unwrap_or(path).as_bytes();
        self.find_in_host(host, method, path)
            .or_else(|| self.find_in_host(b"*", method, path))
    }

    fn find_in_host(&self, host: &[u8], method: &str, path: &[u8]) -> Option<&Route> {
        let routes = &self.versioned.document.routes;
        let host_order = |i: usize| {
            let lowercase_host = host.iter().map(u8::to_ascii_lowercase);
            routes[i].host.bytes().cmp(lowercase_host)
        };
        let start = self
            .by_prefix
            .partition_point(|&i| host_order(i) == Ordering::Less);
        let len = self.by_prefix[start..].partition_point(|&i| host_order(i) == Ordering::Equal);
        let host_routes = &self.by_prefix[start..start + len];
        if host_routes.is_empty() {
            return None;
        }
        let ends = (1..=path.len().min(MAX_PATH_PREFIX_BYTES)).rev();
        for end in ends.filter(|&end| is_segment_boundary(path, end)) {
            let prefix_order = |i: usize| routes[i].path_prefix.as_bytes().cmp(&path[..end]);
            let first = host_routes.partition_point(|&i| prefix_order(i) == Ordering::Less);
            let found = host_routes[first..]
                .iter()
                .take_while(|&&i| prefix_order(i) == Ordering::Equal)
                .map(|&i| &routes[i])
                .find(|route| {
                    route.methods.is_empty() || route.methods.iter().any(|m| m == method)
                });
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Returns the changes since `base`.
    #[must_use]
    pub fn delta_from(&self, base: &Self) -> Delta {
        let (old, new) = (&base.versioned, &self.versioned);
        let (services, removed_services) = diff(
            &old.document.services,
            &new.document.services,
            |service: &Service| &service.name,
        );
        let (routes, removed_routes) = diff(
            &old.document.routes,
            &new.document.routes,
            |route: &Route| &route.name,
        );
        // A service may have changed and changed back between the two versions; its section is then
        // equal, but its `since` is not.
        let (since, _) = diff(&old.since, &new.since, |entry: &ServiceSince| {
            &entry.service
        });
        Delta {
            base: base.version(),
            base_digest: base.digest,
            version: self.version(),
            digest: self.digest,
            regions: (old.document.regions != new.document.regions)
                .then(|| new.document.regions.clone()),
            services,
            removed_services,
            routes,
            removed_routes,
            since,
        }
    }
}

/// Difference between two configuration versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Version to which the delta applies.
    pub base: ConfigVersion,
    /// Digest of the base.
    pub base_digest: u64,
    /// Version of the result.
    pub version: ConfigVersion,
    /// Digest of the result.
    pub digest: u64,
    /// All regions, if any of them changed.
    pub regions: Option<Vec<Region>>,
    /// New and changed services.
    pub services: Vec<Service>,
    /// Services that are not in the result.
    pub removed_services: Vec<ServiceName>,
    /// New and changed routes.
    pub routes: Vec<Route>,
    /// Routes that are not in the result.
    pub removed_routes: Vec<RouteName>,
    /// New and changed entries of `since`.
    pub since: Vec<ServiceSince>,
}

/// Applies a delta to its base snapshot.
///
/// # Errors
/// [`ResultCode::DeltaMismatch`] if the version or digest of the base, or the digest of the result,
/// differs from the one in the delta, [`ResultCode::VersionNotNewer`] if the result is not newer than
/// the base, or a failure of [`Snapshot::build`].
pub fn apply_delta(base: &Snapshot, delta: &Delta) -> Result<Snapshot, Failure> {
    if (delta.base, delta.base_digest) != (base.version(), base.digest) {
        let text = format!(
            "the delta applies to version {} with digest {:016x}, but the base is version {} with \
             digest {:016x}",
            delta.base,
            delta.base_digest,
            base.version(),
            base.digest
        );
        return Err(Failure::new(ResultCode::DeltaMismatch, text));
    }
    if delta.version <= base.version() {
        return Err(not_newer(delta.version, base.version()));
    }
    let mut versioned = base.versioned.clone();
    versioned.version = delta.version;
    let document = &mut versioned.document;
    if let Some(regions) = &delta.regions {
        document.regions.clone_from(regions);
    }
    patch(
        &mut document.services,
        &delta.services,
        &delta.removed_services,
        |service| &service.name,
    );
    patch(
        &mut document.routes,
        &delta.routes,
        &delta.removed_routes,
        |route| &route.name,
    );
    patch(
        &mut versioned.since,
        &delta.since,
        &delta.removed_services,
        |entry| &entry.service,
    );
    let snapshot = Snapshot::build(versioned)?;
    if snapshot.digest != delta.digest {
        let text = format!(
            "version {} computed from a delta has digest {:016x}, but the delta has digest {:016x}",
            delta.version, snapshot.digest, delta.digest
        );
        return Err(Failure::new(ResultCode::DeltaMismatch, text));
    }
    Ok(snapshot)
}

/// Response of a node to a peer that requests the configuration in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigTransfer {
    /// The node has nothing newer.
    Unchanged,
    /// The changes since the version that the peer has.
    Delta(Delta),
    /// The complete configuration.
    Whole {
        /// The configuration.
        versioned: VersionedDocument,
        /// Its digest.
        digest: u64,
    },
}

/// The snapshot in force and the most recent ones before it.
#[derive(Debug, Default)]
pub struct ConfigStore {
    current: Option<Rc<Snapshot>>,
    /// Oldest first; the last one is in force.
    kept: VecDeque<Rc<Snapshot>>,
}

impl ConfigStore {
    /// Creates a store without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the snapshot in force. Installing a later version does not change it.
    #[must_use]
    pub fn current(&self) -> Option<Rc<Snapshot>> {
        self.current.clone()
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.current
            .as_ref()
            .map_or(ConfigVersion::NONE, |current| current.version())
    }

    /// Puts a snapshot in force.
    ///
    /// # Errors
    /// [`ResultCode::VersionNotNewer`] if its version is not higher than the one in force, or
    /// [`ResultCode::InvariantViolated`] if it is inconsistent. The store is unchanged then.
    pub fn install(&mut self, snapshot: Snapshot) -> Result<Rc<Snapshot>, Failure> {
        let version = self.version();
        if snapshot.version() <= version {
            return Err(not_newer(snapshot.version(), version));
        }
        let is_newer = snapshot.version() > version;
        if !invariant::check(1, is_newer, "the configuration version would not increase") {
            return Err(not_newer(snapshot.version(), version));
        }
        if !invariant::check(3, is_consistent(&snapshot), "the snapshot is inconsistent") {
            let text = format!(
                "the snapshot of version {} is inconsistent",
                snapshot.version()
            );
            return Err(Failure::new(ResultCode::InvariantViolated, text));
        }
        let snapshot = Rc::new(snapshot);
        self.current = Some(Rc::clone(&snapshot));
        self.kept.push_back(Rc::clone(&snapshot));
        if self.kept.len() > KEPT_SNAPSHOTS {
            self.kept.pop_front();
        }
        Ok(snapshot)
    }

    /// Returns what a peer needs that has version `have` with digest `have_digest`.
    ///
    /// A peer with the same version and another digest gets the complete configuration. It does not
    /// apply it but reports the mismatch, see [`ConfigStore::receive`].
    #[must_use]
    pub fn transfer(&self, have: ConfigVersion, have_digest: u64) -> ConfigTransfer {
        let Some(current) = &self.current else {
            return ConfigTransfer::Unchanged;
        };
        let same = have == current.version() && have_digest == current.digest;
        if same || have > current.version() {
            return ConfigTransfer::Unchanged;
        }
        let base = self
            .kept
            .iter()
            .find(|kept| kept.version() == have && kept.digest == have_digest);
        match base {
            Some(base) => ConfigTransfer::Delta(current.delta_from(base)),
            None => ConfigTransfer::Whole {
                versioned: current.versioned.clone(),
                digest: current.digest,
            },
        }
    }

    /// Applies the response of a peer. Returns the new snapshot, or `None` if the response contains
    /// nothing newer, as is normal for late and repeated responses.
    ///
    /// # Errors
    /// [`ResultCode::DeltaMismatch`] if the delta does not apply; the caller then requests again with
    /// [`ConfigVersion::NONE`] and gets the complete configuration. [`ResultCode::DigestMismatch`] if
    /// the peer has another configuration under the version in force, or sent one that does not
    /// match its digest. Failures of [`Snapshot::build`]. The store is unchanged in all cases.
    pub fn receive(&mut self, transfer: ConfigTransfer) -> Result<Option<Rc<Snapshot>>, Failure> {
        let (version, digest) = match &transfer {
            ConfigTransfer::Unchanged => return Ok(None),
            ConfigTransfer::Delta(delta) => (delta.version, delta.digest),
            ConfigTransfer::Whole { versioned, digest } => (versioned.version, *digest),
        };
        if let Some(current) = &self.current
            && version <= current.version()
        {
            if version == current.version() && digest != current.digest {
                return Err(digest_mismatch(version, current.digest, digest));
            }
            return Ok(None);
        }
        let snapshot = match transfer {
            ConfigTransfer::Unchanged => return Ok(None),
            ConfigTransfer::Delta(delta) => {
                let Some(current) = &self.current else {
                    let text = format!(
                        "a delta from version {} cannot be applied without a configuration",
                        delta.base
                    );
                    return Err(Failure::new(ResultCode::DeltaMismatch, text));
                };
                apply_delta(current, &delta)?
            }
            ConfigTransfer::Whole { versioned, .. } => Snapshot::build(versioned)?,
        };
        if snapshot.digest != digest {
            return Err(digest_mismatch(version, snapshot.digest, digest));
        }
        self.install(snapshot).map(Some)
    }
}

/// Returns the digest of a normalised configuration version.
///
/// # Errors
/// [`ResultCode::EncodeFailed`] if it cannot be encoded.
pub fn digest_of(versioned: &VersionedDocument) -> Result<u64, Failure> {
    codec::encode(versioned).map(|bytes| xxh3_64(&bytes))
}

/// Returns the version in which the section of a service last changed.
#[must_use]
pub fn since_of(versioned: &VersionedDocument, service: &str) -> Option<ConfigVersion> {
    let since = &versioned.since;
    let at = since.binary_search_by(|entry| entry.service.as_str().cmp(service));
    Some(since[at.ok()?].since)
}

/// Checks a configuration version from a peer or a checkpoint.
///
/// # Errors
/// The first failure of the document, or [`ResultCode::InvalidField`] if the version or a `since`
/// entry is impossible.
pub fn check_versioned(versioned: &VersionedDocument) -> Result<(), Failure> {
    validate::validate(&versioned.document).map_err(first_failure)?;
    let version = versioned.version;
    let invalid = |text: String| Err(Failure::new(ResultCode::InvalidField, text));
    if version == ConfigVersion::NONE {
        return invalid("found a document of version 0, allowed are 1 and more".to_owned());
    }
    let mut found: Vec<&ServiceName> = versioned.since.iter().map(|e| &e.service).collect();
    let services = &versioned.document.services;
    let mut expected: Vec<&ServiceName> = services.iter().map(|s| &s.name).collect();
    found.sort();
    expected.sort();
    if found != expected {
        return invalid("since: each service must have exactly one entry".to_owned());
    }
    let possible = ConfigVersion(1)..=version;
    if let Some(entry) = versioned
        .since
        .iter()
        .find(|e| !possible.contains(&e.since))
    {
        return invalid(format!(
            "since of {}: found {}, allowed are 1 to {version}",
            entry.service, entry.since
        ));
    }
    Ok(())
}

/// Returns the first failure of a document, with the number of further failures in its text.
#[must_use]
pub fn first_failure(failures: Vec<Failure>) -> Failure {
    let more = failures.len().saturating_sub(1);
    let Some(mut first) = failures.into_iter().next() else {
        return Failure::new(ResultCode::InvalidField, "the failure is unknown");
    };
    if more > 0 {
        first.text = format!("{} (and {more} more)", first.text);
    }
    first
}

fn not_newer(found: ConfigVersion, current: ConfigVersion) -> Failure {
    let text = format!("found version {found}, allowed are versions newer than {current}");
    Failure::new(ResultCode::VersionNotNewer, text)
}

fn digest_mismatch(version: ConfigVersion, ours: u64, theirs: u64) -> Failure {
    let text =
        format!("version {version} has digest {ours:016x} here, but {theirs:016x} at the peer");
    Failure::new(ResultCode::DigestMismatch, text)
}

/// Checks invariant 2 independently of `validate`, so that a fault there is detected.
fn references_resolve(versioned: &VersionedDocument) -> bool {
    let document = &versioned.document;
    let is_service = |name: &ServiceName| {
        let at = document.services.binary_search_by(|s| s.name.cmp(name));
        at.is_ok()
    };
    let rollouts_resolve = document.services.iter().all(|s| {
        s.rollout.as_ref().is_none_or(|rollout| {
            [&rollout.from, &rollout.to]
                .into_iter()
                .all(|name| s.versions.iter().any(|v| &v.name == name))
        })
    });
    rollouts_resolve
        && document
            .routes
            .iter()
            .all(|route| is_service(&route.service))
}

/// Checks invariant 3: the document is valid, all routes are indexed and the digest matches.
fn is_consistent(snapshot: &Snapshot) -> bool {
    let versioned = &snapshot.versioned;
    check_versioned(versioned).is_ok()
        && snapshot.by_prefix.len() == versioned.document.routes.len()
        && digest_of(versioned).is_ok_and(|digest| digest == snapshot.digest)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Returns whether a prefix that ends at `end` consists of whole segments of the path.
fn is_segment_boundary(path: &[u8], end: usize) -> bool {
    end == path.len() || path[end] == b'/' || path[end - 1] == b'/'
}

/// Returns the entries of `new` that are missing or different in `old`, and the names that are only
/// in `old`. Both lists are sorted by name, as `old` and `new` are.
fn diff<T: Clone + PartialEq, N: Clone + Ord>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &N,
) -> (Vec<T>, Vec<N>) {
    let find = |list: &[T], key: &N| list.binary_search_by(|entry| name(entry).cmp(key));
    let changed = new
        .iter()
        .filter(|entry| !find(old, name(entry)).is_ok_and(|at| old[at] == **entry))
        .cloned()
        .collect();
    let removed = old
        .iter()
        .filter(|entry| find(new, name(entry)).is_err())
        .map(|entry| name(entry).clone())
        .collect();
    (changed, removed)
}

/// Applies the result of [`diff`] to a list that is sorted by name.
fn patch<T: Clone, N: Ord>(
    list: &mut Vec<T>,
    changed: &[T],
    removed: &[N],
    name: impl Fn(&T) -> &N,
) {
    // `diff` returns the removed names sorted. If a peer sends them unsorted, the digest of the
    // result differs.
    list.retain(|entry| removed.binary_search(name(entry)).is_err());
    for entry in changed {
        match list.binary_search_by(|old| name(old).cmp(name(entry))) {
            Ok(at) => list[at] = entry.clone(),
            Err(at) => list.insert(at, entry.clone()),
        }
    }
}
