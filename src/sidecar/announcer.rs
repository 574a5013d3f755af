//! Keeps the node's own entry in the store up to date. See `docs/platform.md`, "Membership".

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use slog::info;
use slog::warn;

use crate::coordination::backoff::exponential_delay;
use crate::platform::store::FLEET_TOPIC;
use crate::platform::store::StoreFailure;
use crate::protocol::codec;
use crate::protocol::fleet::FleetEntry;
use crate::sidecar::Sidecar;
use crate::sidecar::topic_follower;

/// Pause after the first failed write; doubled up to [`MAX_RETRY_PAUSE`].
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause after a failed write. Entries have to be written within 2 s after an outage of the
/// store.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_600);

/// Interval at which a new process checks whether the fleet's topic has been read.
const FLEET_READ_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Own entry as the store has acknowledged it.
pub struct WrittenEntry {
    /// The entry.
    pub entry: FleetEntry,
    /// Its offset.
    pub offset: u64,
}

/// Starts writing the node's entry whenever it changes.
pub fn start(cx: &Rc<Sidecar>) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        loop {
            cx.entry_changed.notified().await;
            // The entry of an earlier process of this node has to be read before it is overwritten.
            while !cx.state.borrow().fleet_read {
                actix_rt::time::sleep(FLEET_READ_CHECK_INTERVAL).await;
            }
            announce(&cx).await;
        }
    });
}

/// Whether the entry of an earlier process of this node has been read, so that it may be overwritten.
pub fn may_write(cx: &Sidecar) -> bool {
    cx.state.borrow().fleet_read && !cx.is_entry_final.get()
}

/// Waits after a failed call, longer after each one.
async fn pause_after_failure(cx: &Sidecar, failures: u32) {
    let factor = cx.state.borrow_mut().rng.random_range(0.5..1.0);
    let pause = exponential_delay(FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE, failures);
    actix_rt::time::sleep(pause.mul_f64(factor)).await;
    cx.feed.wait_for_store().await;
}

/// Returns the node's current entry.
fn own_entry(cx: &Sidecar) -> FleetEntry {
    let state = cx.state.borrow();
    let backend = state.backend.available(cx.clock.now());
    let mut leaves = state.backend.reported_leaves();
    FleetEntry {
        node: cx.settings.id.clone(),
        run: cx.run,
        revision: state.entry_revision,
        addr: cx.settings.advertised_addr(),
        region: cx.settings.region.clone(),
        domain: cx.settings.failure_domain.clone(),
        capacity: cx.settings.capacity(),
        backend: backend.filter(|_| !cx.stopping.get()).cloned(),
        left: leaves.pop(),
        earlier_left: leaves,
        crashes: state.crashing.reported(cx.clock.now()),
        is_stopped: cx.is_entry_final.get(),
    }
}

/// Returns the node's current entry with the number of its next write.
pub fn next_entry(cx: &Sidecar) -> FleetEntry {
    cx.state.borrow_mut().entry_revision += 1;
    own_entry(cx)
}

/// Handles an own entry that the store has acknowledged. Another node may have written a later one meanwhile.
pub fn on_written(cx: &Sidecar, written: WrittenEntry) {
    let mut state = cx.state.borrow_mut();
    let revision = written.entry.revision;
    if state
        .written
        .as_ref()
        .is_none_or(|last| last.entry.revision < revision)
    {
        state.written = Some(written);
    }
    drop(state);
    cx.entry_write_failed.set(false);
    cx.entry_tried.notify_waiters();
}

/// Makes the own backend server known to the choice of nodes, without waiting for a write of the entry. Does nothing
/// before the entry of an earlier process of this node has been read.
pub fn apply_locally(cx: &Sidecar) {
    if !cx.state.borrow().fleet_read {
        return;
    }
    let entry = own_entry(cx);
    let now = cx.clock.now();
    cx.state.borrow_mut().placement.on_entry(now, &entry);
}

/// Applies the own entry locally and writes it until the store has acknowledged it.
async fn announce(cx: &Rc<Sidecar>) {
    let mut failures = 0_u32;
    while !cx.is_entry_final.get() {
        let entry = own_entry(cx);
        let now = cx.clock.now();
        {
            let mut state = cx.state.borrow_mut();
            state.placement.on_entry(now, &entry);
            let is_written = |written: &WrittenEntry| is_equal(&written.entry, &entry);
            if state.written.as_ref().is_some_and(is_written) {
                return;
            }
        }
        let entry = next_entry(cx);
        let value = match codec::encode(&entry) {
            Ok(value) => value,
            Err(failure) => {
                warn!(cx.log, "node entry not encoded"; "why" => failure.text);
                return;
            }
        };
        let written = cx.store.put(FLEET_TOPIC, entry.node.as_str(), &value, None);
        let written = written.await;
        topic_follower::sync_history(cx);
        match written {
            Ok(offset) => {
                info!(cx.log, "node entry written"; "offset" => offset, "backend" => backend_text(&entry));
                on_written(cx, WrittenEntry { entry, offset });
            }
            Err(failure) => {
                cx.metrics.store_failures.increment(1);
                info!(cx.log, "node entry not written"; "why" => format!("{failure:?}"));
                cx.entry_write_failed.set(true);
                cx.entry_tried.notify_waiters();
                if matches!(failure, StoreFailure::Unreadable(_)) {
                    return;
                }
                pause_after_failure(cx, failures).await;
                failures += 1;
                cx.entry_write_failed.set(false);
            }
        }
    }
}

/// Writes the own entry again, since the store may not have the last one.
pub fn write_again(cx: &Sidecar) {
    cx.state.borrow_mut().written = None;
    cx.entry_changed.notify_one();
}

/// Handles an own entry of this process that the store has. A write without an answer may take effect after
/// a later one, and hide what that says.
pub fn on_stored(cx: &Sidecar, stored: &FleetEntry, offset: u64) {
    let state = cx.state.borrow();
    let is_late = state
        .written
        .as_ref()
        .is_some_and(|written| offset > written.offset && stored.revision < written.entry.revision);
    drop(state);
    if is_late {
        info!(cx.log, "node entry replaced by an earlier one"; "offset" => offset, "revision" => stored.revision);
        write_again(cx);
    }
}

/// Writes the own entry again unless the store has it, after the store has gone back to an earlier state.
/// `stored` is the value of its record.
pub fn verify_stored_entry(cx: &Sidecar, stored: Option<&[u8]>) {
    let stored = stored.and_then(|value| codec::decode::<FleetEntry>(value).ok());
    let state = cx.state.borrow();
    let is_stored = |WrittenEntry { entry, .. }: &WrittenEntry| {
        stored.is_some_and(|stored| stored.run == entry.run && stored.revision == entry.revision)
    };
    if state.written.as_ref().is_none_or(is_stored) {
        return;
    }
    info!(cx.log, "node entry lost"; "revision" => state.entry_revision);
    drop(state);
    write_again(cx);
}

/// Whether two entries are equal apart from the sequence number of the heartbeat.
fn is_equal(old: &FleetEntry, new: &FleetEntry) -> bool {
    old.run == new.run
        && old.leaves().eq(new.leaves())
        && old.crashes == new.crashes
        && match (&old.backend, &new.backend) {
            (None, None) => true,
            (Some(old), Some(new)) => !new.needs_announcement_after(old),
            _ => false,
        }
}

fn backend_text(entry: &FleetEntry) -> String {
    entry.backend.as_ref().map_or("none".into(), |backend| {
        format!(
            "{} {} {:?}",
            backend.instance, backend.version, backend.phase
        )
    })
}
