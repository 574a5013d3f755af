//! Parses and validates configuration documents, see `docs/configuration.md`.
//!
//! Every reader of the log runs [`validate`] on the same records, so its result must depend on the
//! document alone. Changing a limit changes which publications take effect, so the change must be
//! deployed to the whole fleet before a document that needs it is published.

pub use crate::jsonc::MAX_FAILURES;

use crate::jsonc::Findings;
use crate::jsonc::Schema;
use crate::jsonc::Source;
use crate::jsonc::U8;
use crate::jsonc::U32;
use crate::jsonc::U64;
use crate::jsonc::join_path;
use crate::jsonc::optional;
use crate::jsonc::quote;
use crate::jsonc::required;
use crate::protocol::codec;
use crate::protocol::document::Document;
use crate::protocol::document::Rollout;
use crate::protocol::document::Route;
use crate::protocol::document::Service;
use crate::protocol::name::ServiceName;
use crate::protocol::time::WallMs;
use crate::result_code::Failure;
use crate::result_code::ResultCode;

/// Largest document, bytes, as text and encoded. A checkpoint that contains it fits in
/// [`codec::MAX_MESSAGE_BYTES`].
pub const MAX_DOCUMENT_BYTES: usize = 2 << 20;
/// Maximum number of regions of a document.
pub const MAX_REGIONS: usize = 16;
/// Maximum number of failure domains of a region.
pub const MAX_DOMAINS_PER_REGION: usize = 16;
/// Maximum number of services of a document.
pub const MAX_SERVICES: usize = 1_000;
/// Maximum number of routes of a document.
pub const MAX_ROUTES: usize = 10_000;
/// Maximum number of versions of a service.
pub const MAX_VERSIONS_PER_SERVICE: usize = 16;
/// Longest name, bytes; the limit of a DNS label (RFC 1035).
pub const MAX_NAME_BYTES: usize = 63;
/// Longest host of a route, bytes; the limit of a DNS name (RFC 1035).
pub const MAX_HOST_BYTES: usize = 253;
/// Longest path prefix, bytes; bounds the cost of a route lookup.
pub const MAX_PATH_PREFIX_BYTES: usize = 256;
/// Maximum number of methods of a route.
pub const MAX_METHODS: usize = 16;
/// Longest method, bytes.
pub const MAX_METHOD_BYTES: usize = 16;
/// Maximum number of steps of a rollout.
pub const MAX_STEPS: usize = 16;
/// Largest first step, percent; limits the traffic that an unproven version receives.
pub const MAX_FIRST_STEP_PERCENT: u8 = 10;
/// Minimum duration of a step, milliseconds. Evidence is exchanged once per second, so a shorter
/// step would be decided on a single report.
pub const MIN_STEP_MS: u64 = 2_000;
/// Longest hold period, seconds (7 days).
pub const MAX_HOLD_S: u64 = 7 * 24 * 3_600;
/// Largest number of calls that a step may require as evidence.
pub const MAX_MIN_CALLS: u32 = 1_000_000;
/// Maximum number of slots of a backend server.
pub const MAX_SLOTS: u32 = 10_000;
/// Longest cold start, milliseconds (10 min).
pub const MAX_COLD_START_MS: u64 = 600_000;
/// Longest deadline or attempt time limit, milliseconds (10 min).
pub const MAX_DEADLINE_MS: u64 = 600_000;

const REGION: Schema = Schema::Object(&[
    required("name", Schema::String),
    required("failure_domains", Schema::List(&Schema::String)),
]);
const VERSION: Schema = Schema::Object(&[required("name", Schema::String), required("share", U8)]);
const ROLLOUT: Schema = Schema::Object(&[
    required("from", Schema::String),
    required("to", Schema::String),
    required("start_ms", U64),
    required("finish_by_ms", U64),
    required("steps", Schema::List(&U8)),
    optional("hold_s", U64),
    optional("min_calls", U32),
]);
const SERVICE: Schema = Schema::Object(&[
    required("name", Schema::String),
    optional("slots", U32),
    optional("cold_start_ms", U64),
    required("versions", Schema::List(&VERSION)),
    optional("rollout", ROLLOUT),
]);
const ROUTE: Schema = Schema::Object(&[
    required("name", Schema::String),
    optional("host", Schema::String),
    optional("methods", Schema::List(&Schema::String)),
    required("path_prefix", Schema::String),
    required("service", Schema::String),
    required("idempotent", Schema::Bool),
    optional("deadline_ms", U64),
    optional("attempt_timeout_ms", U64),
]);
/// Structure of the document. It is checked separately, since serde stops at the first failure.
const DOCUMENT: Schema = Schema::Object(&[
    required("regions", Schema::List(&REGION)),
    required("services", Schema::List(&SERVICE)),
    required("routes", Schema::List(&ROUTE)),
]);

/// Parses a document in JSON with comments, validates it and normalises it.
///
/// # Errors
/// Every failure found, each with file, line, column (in characters, from 1) and field path. The
/// syntax is checked first, then fields and types, then the rules of [`validate`]; a stage runs
/// only if the previous stages found no failure.
pub fn parse_document(text: &str, file: &str) -> Result<Document, Vec<Failure>> {
    let source = Source::parse(text, file, MAX_DOCUMENT_BYTES)?;
    source.check(&DOCUMENT)?;
    let mut document: Document = source.deserialize()?;
    // Checked before sorting, so that the indices in field paths are those of the text.
    let findings = check_document(&document);
    if !findings.is_empty() {
        return Err(source.failures(findings));
    }
    normalise(&mut document);
    Ok(document)
}

/// Checks a document against all rules of `docs/configuration.md`.
///
/// # Errors
/// Every failure found with its field path, at most [`MAX_FAILURES`] and a count of the others.
pub fn validate(document: &Document) -> Result<(), Vec<Failure>> {
    let findings = check_document(document);
    if findings.is_empty() {
        Ok(())
    } else {
        Err(findings.into_failures(|_| String::new()))
    }
}

/// Sorts services, routes and versions by name, so that documents that differ only in the order of
/// their sections are equal and lookups can use binary search.
pub fn normalise(document: &mut Document) {
    document.services.sort_by(|a, b| a.name.cmp(&b.name));
    document.routes.sort_by(|a, b| a.name.cmp(&b.name));
    for service in &mut document.services {
        service.versions.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

fn check_document(document: &Document) -> Findings {
    let mut findings = Findings::default();
    check_regions(document, &mut findings);
    check_services(document, &mut findings);
    check_routes(document, &mut findings);
    if findings.is_empty() {
        check_encoded_size(document, &mut findings);
    }
    findings
}

/// Checks the encoded size, since the limits on counts and lengths together allow a document that
/// does not fit in a message between nodes.
fn check_encoded_size(document: &Document, findings: &mut Findings) {
    match codec::encode(document) {
        Ok(bytes) if bytes.len() <= MAX_DOCUMENT_BYTES => {}
        Ok(bytes) => {
            let text = format!(
                "the document has {} bytes encoded, allowed are at most {MAX_DOCUMENT_BYTES}",
                bytes.len()
            );
            findings.add(ResultCode::LimitExceeded, "", text);
        }
        Err(failure) => findings.add(failure.code, "", failure.text),
    }
}

fn check_count(path: &str, count: usize, min: usize, max: usize, findings: &mut Findings) {
    if count < min || count > max {
        let text = format!("found {count} entries, allowed are {min} to {max}");
        findings.add(ResultCode::LimitExceeded, path, text);
    }
}

fn check_range(path: String, found: u64, min: u64, max: u64, unit: &str, findings: &mut Findings) {
    if found < min || found > max {
        let text = format!("found {found}, allowed are {min} to {max}{unit}");
        findings.add(ResultCode::LimitExceeded, path, text);
    }
}

/// Checks a name from the document or from a node's settings.
pub(crate) fn check_name(path: String, name: &str, findings: &mut Findings) {
    let is_name_byte = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'.' | b'_' | b'-')
    };
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_name_byte) {
        let text = format!(
            "found {}, allowed are 1 to {MAX_NAME_BYTES} characters from a-z, 0-9, '.', '_' and '-'",
            quote(name)
        );
        findings.add(ResultCode::InvalidField, path, text);
    }
}

/// Reports every name that an earlier entry already uses.
fn check_unique(names: &mut [(&str, String)], findings: &mut Findings) {
    // The sort is stable, so the first of equal names is the first one in the document.
    names.sort_by(|a, b| a.0.cmp(b.0));
    for pair in names.windows(2) {
        if pair[0].0 == pair[1].0 {
            let text = format!(
                "found {}, which {} already uses; names must be unique",
                quote(pair[1].0),
                pair[0].1
            );
            findings.add(ResultCode::DuplicateName, pair[1].1.as_str(), text);
        }
    }
}

fn check_regions(document: &Document, findings: &mut Findings) {
    check_count("regions", document.regions.len(), 1, MAX_REGIONS, findings);
    let mut names = Vec::new();
    let mut domains = Vec::new();
    for (i, region) in document.regions.iter().enumerate() {
        let path = format!("regions[{i}]");
        check_name(join_path(&path, "name"), region.name.as_str(), findings);
        names.push((region.name.as_str(), join_path(&path, "name")));
        let list = join_path(&path, "failure_domains");
        let count = region.failure_domains.len();
        check_count(&list, count, 1, MAX_DOMAINS_PER_REGION, findings);
        for (j, domain) in region.failure_domains.iter().enumerate() {
            check_name(format!("{list}[{j}]"), domain.as_str(), findings);
            domains.push((domain.as_str(), format!("{list}[{j}]")));
        }
    }
    check_unique(&mut names, findings);
    check_unique(&mut domains, findings);
}

fn check_services(document: &Document, findings: &mut Findings) {
    let services = &document.services;
    check_count("services", services.len(), 0, MAX_SERVICES, findings);
    let mut names = Vec::new();
    for (i, service) in services.iter().enumerate() {
        let path = format!("services[{i}]");
        check_name(join_path(&path, "name"), service.name.as_str(), findings);
        names.push((service.name.as_str(), join_path(&path, "name")));
        check_service(service, &path, findings);
    }
    check_unique(&mut names, findings);
}

fn check_service(service: &Service, path: &str, findings: &mut Findings) {
    let slots = u64::from(service.slots);
    check_range(
        join_path(path, "slots"),
        slots,
        1,
        u64::from(MAX_SLOTS),
        "",
        findings,
    );
    let cold_start = join_path(path, "cold_start_ms");
    check_range(
        cold_start,
        service.cold_start_ms,
        0,
        MAX_COLD_START_MS,
        " ms",
        findings,
    );

    let list = join_path(path, "versions");
    let count = service.versions.len();
    check_count(&list, count, 1, MAX_VERSIONS_PER_SERVICE, findings);
    let mut names = Vec::new();
    for (i, version) in service.versions.iter().enumerate() {
        check_name(format!("{list}[{i}].name"), version.name.as_str(), findings);
        names.push((version.name.as_str(), format!("{list}[{i}].name")));
    }
    check_unique(&mut names, findings);
    let sum: u64 = service.versions.iter().map(|v| u64::from(v.share)).sum();
    if sum != 100 {
        let text = format!("found shares that add up to {sum}; they must add up to 100");
        findings.add(ResultCode::InvalidShares, list, text);
    }
    if let Some(rollout) = &service.rollout {
        check_rollout(service, rollout, &join_path(path, "rollout"), findings);
    }
}

fn check_rollout(service: &Service, rollout: &Rollout, path: &str, findings: &mut Findings) {
    let share_of = |name| {
        let version = service.versions.iter().find(|v| &v.name == name);
        version.map(|v| v.share)
    };
    for (field, name) in [("from", &rollout.from), ("to", &rollout.to)] {
        if share_of(name).is_none() {
            let text = format!(
                "found {}, allowed are the versions of the service",
                quote(name.as_str())
            );
            findings.add(ResultCode::DanglingReference, join_path(path, field), text);
        }
    }
    if rollout.from == rollout.to {
        let text = format!(
            "found {}, which is also the version of from; allowed is a different version",
            quote(rollout.to.as_str())
        );
        findings.add(ResultCode::InvalidRollout, join_path(path, "to"), text);
    } else if let Some(share) = share_of(&rollout.to).filter(|&share| share > 0) {
        let text = format!(
            "found a version with share {share}; its share must be 0, since it applies before the \
             first step"
        );
        findings.add(ResultCode::InvalidRollout, join_path(path, "to"), text);
    }
    check_steps(rollout, path, findings);
    let hold = join_path(path, "hold_s");
    check_range(hold, rollout.hold_s, 0, MAX_HOLD_S, " s", findings);
    let (min_calls, max) = (u64::from(rollout.min_calls), u64::from(MAX_MIN_CALLS));
    check_range(
        join_path(path, "min_calls"),
        min_calls,
        1,
        max,
        "",
        findings,
    );
}

fn check_steps(rollout: &Rollout, path: &str, findings: &mut Findings) {
    let list = join_path(path, "steps");
    let steps = &rollout.steps;
    check_count(&list, steps.len(), 1, MAX_STEPS, findings);
    let mut report = |path: String, text: String| {
        findings.add(ResultCode::InvalidRollout, path, text);
    };
    if let Some(&first) = steps.first()
        && !(1..=MAX_FIRST_STEP_PERCENT).contains(&first)
    {
        let text = format!("found {first}, allowed are 1 to {MAX_FIRST_STEP_PERCENT} percent");
        report(format!("{list}[0]"), text);
    }
    for (i, pair) in steps.windows(2).enumerate() {
        if pair[0] >= pair[1] {
            let text = format!(
                "found {} after {}; each step must be larger than the one before it",
                pair[1], pair[0]
            );
            report(format!("{list}[{}]", i + 1), text);
        }
    }
    if let Some(&last) = steps.last()
        && last != 100
    {
        let text = format!("found {last}; the last step must be 100 percent");
        report(format!("{list}[{}]", steps.len() - 1), text);
    }
    let min_duration = MIN_STEP_MS.saturating_mul(steps.len().max(1) as u64);
    let WallMs(start) = rollout.start_ms;
    let WallMs(finish) = rollout.finish_by_ms;
    if finish < start.saturating_add(min_duration) {
        let text = format!(
            "found {finish}, allowed is start_ms ({start}) plus at least {min_duration} ms, which is \
             {MIN_STEP_MS} ms for each of {} steps",
            steps.len()
        );
        report(join_path(path, "finish_by_ms"), text);
    }
}

fn check_routes(document: &Document, findings: &mut Findings) {
    let routes = &document.routes;
    check_count("routes", routes.len(), 0, MAX_ROUTES, findings);
    let mut services: Vec<&ServiceName> = document.services.iter().map(|s| &s.name).collect();
    services.sort();
    let mut names = Vec::new();
    for (i, route) in routes.iter().enumerate() {
        let path = format!("routes[{i}]");
        check_name(join_path(&path, "name"), route.name.as_str(), findings);
        names.push((route.name.as_str(), join_path(&path, "name")));
        if services.binary_search(&&route.service).is_err() {
            let text = format!(
                "found {}, allowed are the names of the document's services",
                quote(route.service.as_str())
            );
            findings.add(
                ResultCode::DanglingReference,
                join_path(&path, "service"),
                text,
            );
        }
        check_route(route, &path, findings);
    }
    check_unique(&mut names, findings);
    check_overlap(routes, findings);
}

fn check_route(route: &Route, path: &str, findings: &mut Findings) {
    let host = &route.host;
    let is_host_byte = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'.' | b'-')
    };
    let is_host_name = (1..=MAX_HOST_BYTES).contains(&host.len()) && host.bytes().all(is_host_byte);
    if host != "*" && !is_host_name {
        let text = format!(
            "found {}, allowed are '*' or 1 to {MAX_HOST_BYTES} characters from a-z, 0-9, '.' and '-'",
            quote(host)
        );
        findings.add(ResultCode::InvalidField, join_path(path, "host"), text);
    }

    let list = join_path(path, "methods");
    check_count(&list, route.methods.len(), 0, MAX_METHODS, findings);
    let mut names = Vec::new();
    for (i, method) in route.methods.iter().enumerate() {
        let at = format!("{list}[{i}]");
        let is_method_byte = |byte: u8| byte.is_ascii_uppercase() || byte == b'-';
        let length = method.len();
        if !(1..=MAX_METHOD_BYTES).contains(&length) || !method.bytes().all(is_method_byte) {
            let text = format!(
                "found {}, allowed are 1 to {MAX_METHOD_BYTES} characters from A-Z and '-'",
                quote(method)
            );
            findings.add(ResultCode::InvalidField, at.as_str(), text);
        }
        names.push((method.as_str(), at));
    }
    check_unique(&mut names, findings);

    let prefix = &route.path_prefix;
    let is_path_byte = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    if !prefix.starts_with('/')
        || prefix.len() > MAX_PATH_PREFIX_BYTES
        || !prefix.bytes().all(is_path_byte)
    {
        let text = format!(
            "found {}, allowed is '/' followed by up to {} visible ASCII characters except '?' and '#'",
            quote(prefix),
            MAX_PATH_PREFIX_BYTES - 1
        );
        findings.add(
            ResultCode::InvalidField,
            join_path(path, "path_prefix"),
            text,
        );
    }

    let deadline = route.deadline_ms;
    check_range(
        join_path(path, "deadline_ms"),
        deadline,
        1,
        MAX_DEADLINE_MS,
        " ms",
        findings,
    );
    let at = join_path(path, "attempt_timeout_ms");
    let attempt = route.attempt_timeout_ms;
    check_range(at.clone(), attempt, 1, MAX_DEADLINE_MS, " ms", findings);
    if attempt > deadline {
        let text = format!("found {attempt}, allowed is at most deadline_ms ({deadline})");
        findings.add(ResultCode::LimitExceeded, at, text);
    }
}

/// Reports routes that match the same requests, since choosing between them would be arbitrary.
fn check_overlap(routes: &[Route], findings: &mut Findings) {
    let mut order: Vec<usize> = (0..routes.len()).collect();
    let key = |i: usize| (routes[i].host.as_str(), routes[i].path_prefix.as_str());
    order.sort_by(|&a, &b| key(a).cmp(&key(b)));
    for group in order.chunk_by(|&a, &b| key(a) == key(b)) {
        let any = group.iter().find(|&&i| routes[i].methods.is_empty());
        let mut methods: Vec<(&str, usize)> = group
            .iter()
            .flat_map(|&i| routes[i].methods.iter().map(move |m| (m.as_str(), i)))
            .collect();
        methods.sort_unstable();
        let same_method = methods
            .windows(2)
            .filter(|pair| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1)
            .map(|pair| (pair[0].1, pair[1].1));
        let any_method = any
            .into_iter()
            .flat_map(|&first| group.iter().map(move |&i| (first, i)))
            .filter(|(first, i)| first != i);
        for (a, b) in same_method.chain(any_method) {
            let (first, second) = (a.min(b), a.max(b));
            let text = format!(
                "the route matches the same host, path prefix and method as routes[{first}]; only \
                 one of them is allowed"
            );
            findings.add(
                ResultCode::AmbiguousRoute,
                format!("routes[{second}]"),
                text,
            );
        }
    }
}
