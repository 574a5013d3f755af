//! Applies records of the store's topics to the state of this process.

use std::rc::Rc;

use slog::info;
use slog::warn;

use crate::coordination::domains::evacuation::Evacuation;
use crate::coordination::domains::evacuation::Reading;
use crate::coordination::domains::homes;
use crate::coordination::room::cold_start::ProbeReason;
use crate::platform::config;
use crate::platform::config::OperatorKey;
use crate::platform::config::ParsedConfig;
use crate::platform::store::KeyedRecord;
use crate::protocol::codec;
use crate::protocol::fleet::FleetEntry;
use crate::protocol::fleet::MoveRecord;
use crate::protocol::mesh::Workspace;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::ServiceName;
use crate::protocol::time::millis;
use crate::sidecar::Sidecar;
use crate::sidecar::announcer;
use crate::sidecar::crashes;
use crate::sidecar::health_probe;
use crate::sidecar::usage_port;
use crate::sidecar::workspaces;
use crate::state::routing_table::RoutingTable;

/// Applies a record of the operator's topic: a configuration or an order to roll out a version. Returns whether it
/// stands for the earlier ones of its key: not if it is invalid, or a configuration that is not newer than the one in
/// force.
pub fn apply_operator(cx: &Rc<Sidecar>, record: &KeyedRecord) -> bool {
    match config::read_key(&record.key) {
        Some(OperatorKey::Config) => return apply_config(cx, record),
        Some(OperatorKey::Move(service)) => match config::read_order(&record.value) {
            Ok(order) => {
                let text = format!(
                    "{} to {} within {:?}",
                    order.service, order.target, order.within
                );
                let now = cx.clock.now();
                let new = cx
                    .state
                    .borrow_mut()
                    .moves
                    .on_order(now, record.offset, order);
                info!(cx.log, "rollout order received"; "order" => text, "offset" => record.offset, "new" => new);
            }
            Err(why) => {
                warn!(cx.log, "rollout order ignored"; "service" => service, "offset" => record.offset, "why" => why);
                // A removed order is not replaced by an earlier one.
                return record.value.is_empty();
            }
        },
        Some(OperatorKey::Evacuation(domain)) => apply_evacuation(cx, &domain.into(), record),
        None => {
            info!(cx.log, "record ignored"; "key" => &record.key, "offset" => record.offset);
        }
    }
    true
}

/// Begins the evacuation of a failure domain, or ends it if the record has no value. Any other value counts as an
/// evacuation, which does less harm than requests to servers that are about to be switched off.
fn apply_evacuation(cx: &Rc<Sidecar>, domain: &DomainName, record: &KeyedRecord) {
    let is_evacuated = !record.value.is_empty();
    let domains = &cx.settings.domains;
    if !domains.is_empty() && domains.iter().all(|known| known.domain != *domain) {
        warn!(cx.log, "evacuation ignored"; "domain" => domain.as_str(), "offset" => record.offset,
            "why" => "the failure domain is not in the settings' domains");
        return;
    }
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    let changed = state
        .evacuations
        .on_record(now, domain, record.offset, is_evacuated);
    drop(state);
    if changed {
        let offset = Some(record.offset);
        on_evacuation_change(cx, domain, is_evacuated, offset, "record of the operator");
    }
}

/// What a reading of a topic shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadingKind {
    /// The records after those that were read before.
    Changes,
    /// The newest record of each key, after which reading begins.
    Complete,
    /// The newest record of each key, once more.
    Recheck,
}

/// Ends the evacuations that a reading of the operator's topic shows as gone. Returns the keys of their records,
/// with the offsets.
pub fn finish_operator_reading(
    cx: &Rc<Sidecar>,
    kind: ReadingKind,
    records: &[KeyedRecord],
    end: u64,
) -> Vec<(String, u64)> {
    let with_value = records.iter().filter(|record| !record.value.is_empty());
    let shown = with_value.filter_map(|record| match config::read_key(&record.key) {
        Some(OperatorKey::Evacuation(domain)) => Some((domain.into(), record.offset)),
        _ => None,
    });
    let shown: Vec<(DomainName, u64)> = shown.collect();
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    let evacuations = &mut state.evacuations;
    let ended = match kind {
        ReadingKind::Recheck => evacuations.on_recheck(now, &shown),
        ReadingKind::Changes | ReadingKind::Complete => evacuations.on_reading(&Reading {
            is_complete: kind == ReadingKind::Complete,
            end,
            shown: &shown,
        }),
    };
    drop(state);
    let mut dropped = Vec::new();
    for Evacuation { domain, offset, .. } in ended {
        on_evacuation_change(cx, &domain, false, offset, "the store no longer has it");
        dropped.extend(offset.map(|offset| (config::evacuation_key(&domain), offset)));
    }
    dropped
}

/// Ends the evacuation whose key the store has dropped, as another node has found.
pub fn apply_dropped(cx: &Rc<Sidecar>, key: &str, offset: u64) {
    let Some(OperatorKey::Evacuation(domain)) = config::read_key(key) else {
        return;
    };
    let domain = domain.into();
    if cx
        .state
        .borrow_mut()
        .evacuations
        .on_dropped(&domain, offset)
    {
        let why = "another node found that the store no longer has it";
        on_evacuation_change(cx, &domain, false, Some(offset), why);
    }
}

/// Logs the begin or end of an evacuation. At the begin of its own one the node refuses the calls that wait, so that
/// they are offered elsewhere in time. At the end it asks whether its backend server has become cold meanwhile.
fn on_evacuation_change(
    cx: &Rc<Sidecar>,
    domain: &DomainName,
    is_evacuated: bool,
    offset: Option<u64>,
    why: &str,
) {
    let count = cx.state.borrow().evacuations.count();
    #[allow(clippy::cast_precision_loss, reason = "a gauge is a float")]
    cx.metrics.evacuated_domains.set(count as f64);
    let view_age_ms = cx.feed.view_age(cx.clock.now()).map(millis);
    if is_evacuated {
        info!(cx.log, "failure domain evacuated"; "domain" => domain.as_str(), "offset" => offset, "why" => why,
            "evacuated" => count, "view_age_ms" => view_age_ms);
        if *domain == cx.settings.failure_domain {
            cx.slots.refuse_waiting();
            cx.transfers.refuse_waiting();
        }
    } else {
        info!(cx.log, "evacuation ended"; "domain" => domain.as_str(), "offset" => offset, "why" => why,
            "evacuated" => count, "view_age_ms" => view_age_ms);
        if *domain == cx.settings.failure_domain {
            health_probe::consider(cx, ProbeReason::EvacuationRevoked);
        }
    }
}

/// Puts a configuration in force, unless it is invalid or not newer than the one in force. Returns whether it was put
/// in force: if not, an earlier record that it has replaced may be.
fn apply_config(cx: &Rc<Sidecar>, record: &KeyedRecord) -> bool {
    let ParsedConfig {
        config,
        unknown_kinds,
    } = match config::read_config(&record.value) {
        Ok(parsed) => parsed,
        Err(why) => {
            warn!(cx.log, "configuration refused"; "offset" => record.offset, "why" => why);
            return false;
        }
    };
    let domains = &cx.settings.domains;
    let is_known = |region: &RegionName| {
        domains.is_empty() || domains.iter().any(|domain| domain.region == *region)
    };
    if let Some(why) = homes::unknown_home(&config, is_known) {
        warn!(cx.log, "configuration refused"; "version" => config.version, "offset" => record.offset, "why" => why);
        return false;
    }
    if !unknown_kinds.is_empty() {
        warn!(cx.log, "routes of unknown kinds run requests at most once"; "version" => config.version,
            "offset" => record.offset, "kinds" => unknown_kinds.join(", "));
    }
    for Workspace { name, .. } in &config.workspaces {
        if let Err(code) = workspaces::check_name(Some(name)) {
            warn!(cx.log, "requests of a workspace are refused"; "version" => config.version, "offset" => record.offset,
                "workspace" => name.as_str(), "code" => code.number(), "why" => code.text());
        }
    }
    let mut state = cx.state.borrow_mut();
    let in_force = state.table.as_ref().map_or(0, |table| table.version());
    if state.table.is_some() && config.version <= in_force {
        info!(cx.log, "configuration ignored"; "version" => config.version, "in_force" => in_force,
            "offset" => record.offset);
        return false;
    }
    let table = RoutingTable::new(config);
    info!(cx.log, "configuration in force"; "version" => table.version(), "before" => in_force,
        "routes" => table.route_count(), "offset" => record.offset,
        "view_age_ms" => cx.feed.view_age(cx.clock.now()).map(millis));
    #[allow(clippy::cast_precision_loss, reason = "a gauge is a float")]
    cx.metrics.config_version.set(table.version() as f64);
    state.caller_ages.retain(&table.route_names());
    state.table = Some(Rc::new(table));
    drop(state);
    health_probe::apply_bound(cx);
    usage_port::on_config(cx);
    cx.config_changed.notify_waiters();
    true
}

/// Applies the entry of a node.
pub fn apply_fleet(cx: &Rc<Sidecar>, record: &KeyedRecord) {
    let now = cx.clock.now();
    let is_own = record.key == cx.settings.id.as_str();
    if record.value.is_empty() {
        if is_own {
            announcer::write_again(cx);
        } else {
            let node = NodeId::from(&*record.key);
            let mut state = cx.state.borrow_mut();
            state.placement.forget(&node);
            state.stopped_nodes.forget(&node);
            info!(cx.log, "node left"; "peer" => &record.key, "offset" => record.offset);
        }
        return;
    }
    let decoded = codec::decode::<FleetEntry>(&record.value).map_err(|failure| failure.text);
    let checked = decoded.and_then(|entry| match entry.defect() {
        _ if entry.node.as_str() != record.key => Err("the entry names another node".to_owned()),
        Some(why) => Err(why.to_owned()),
        None => Ok(entry),
    });
    let entry = match checked {
        Ok(entry) => entry,
        Err(why) => {
            warn!(cx.log, "node entry ignored"; "key" => &record.key, "offset" => record.offset, "why" => why);
            if is_own {
                // Nodes that start later would not know of this one.
                announcer::write_again(cx);
            }
            return;
        }
    };
    if is_own {
        apply_own_entry(cx, &entry, record.offset);
        return;
    }
    let mut state = cx.state.borrow_mut();
    if state.placement.is_outdated(&entry) {
        info!(cx.log, "node entry ignored"; "key" => &record.key, "offset" => record.offset, "why" => "a later one is known");
        return;
    }
    let quarantined = state.crashing.on_entry(now, &entry.node, &entry.crashes);
    crashes::log_quarantined(cx, &quarantined);
    if entry.is_stopped {
        state.placement.on_stopped(&entry);
        state.stopped_nodes.on_stopped(now, &entry.node);
        info!(cx.log, "node left"; "peer" => entry.node.as_str(), "offset" => record.offset);
        return;
    }
    state.stopped_nodes.forget(&entry.node);
    if state.placement.on_entry(now, &entry) {
        let backend = entry.backend.as_ref();
        info!(cx.log, "peer changed"; "peer" => entry.node.as_str(), "offset" => record.offset,
            "backend" => backend.map_or("none".into(), |b| format!("{} {} {:?}", b.instance, b.version, b.phase)));
    }
    #[allow(clippy::cast_precision_loss, reason = "a gauge is a float")]
    cx.metrics.nodes.set(state.placement.nodes() as f64);
    // The other nodes forget a node whose address another one names, so this one says that it is there:
    // once, since two nodes with the same address would answer each other for ever.
    let process = (entry.node, entry.run);
    if entry.addr == cx.settings.advertised_addr() && state.contested_by.as_ref() != Some(&process)
    {
        warn!(cx.log, "address named by another node"; "peer" => process.0.as_str(), "offset" => record.offset);
        state.contested_by = Some(process);
        drop(state);
        announcer::write_again(cx);
    }
}

/// Applies an entry of this node that the store has.
fn apply_own_entry(cx: &Rc<Sidecar>, entry: &FleetEntry, offset: u64) {
    if entry.run == cx.run {
        announcer::on_stored(cx, entry, offset);
        return;
    }
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    let quarantined = state
        .crashing
        .on_earlier_entry(now, &cx.settings.id, &entry.crashes);
    crashes::log_quarantined(cx, &quarantined);
    for left in entry.leaves() {
        let text = format!("{} of {}", left.incarnation.0, left.incarnation.1);
        let is_current = state.backend.on_earlier_leave(now, left.clone());
        info!(cx.log, "leave acknowledged by an earlier process"; "instance" => text,
            "current" => is_current, "offset" => offset);
    }
    drop(state);
    // A late write of an earlier process of this node is overwritten.
    announcer::write_again(cx);
}

/// Applies the progress of a rollout.
pub fn apply_moves(cx: &Rc<Sidecar>, record: &KeyedRecord) {
    let service = ServiceName::from(&*record.key);
    match codec::decode::<MoveRecord>(&record.value) {
        Ok(progress) => {
            let now = cx.clock.now();
            let text = format!("{:?} by {}", progress.state, progress.author);
            let new = cx
                .state
                .borrow_mut()
                .moves
                .on_record(now, &service, progress);
            info!(cx.log, "rollout progress received"; "service" => service.as_str(), "state" => text,
                "offset" => record.offset, "new" => new);
        }
        Err(failure) => {
            warn!(cx.log, "rollout progress ignored"; "key" => &record.key, "offset" => record.offset, "why" => failure.text);
            let now = cx.clock.now();
            let mut state = cx.state.borrow_mut();
            state.moves.on_unreadable_record(now, &service);
        }
    }
}
