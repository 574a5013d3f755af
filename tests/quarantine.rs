//! Quarantine of requests that crash backend servers.

use sycamorewick::coordination::quarantine::ANSWERED_TIME;
use sycamorewick::coordination::quarantine::MAX_FINGERPRINTS;
use sycamorewick::coordination::quarantine::QUARANTINE_TIME;
use sycamorewick::coordination::quarantine::Quarantine;
use sycamorewick::coordination::quarantine::QuarantineAction;
use sycamorewick::coordination::quarantine::fingerprint;
use sycamorewick::protocol::gossip::CrashReport;
use sycamorewick::protocol::time::WallMs;

const START: WallMs = WallMs(1_000_000);

fn crash(fingerprint: u64, node: &str, backend_start: u64, at: WallMs) -> CrashReport {
    CrashReport {
        fingerprint,
        node: node.into(),
        backend_start,
        at,
    }
}

fn is_quarantining(actions: &[QuarantineAction]) -> bool {
    let found = |a: &QuarantineAction| matches!(a, QuarantineAction::Quarantined { .. });
    actions.iter().any(found)
}

/// Requests whose parts concatenate to the same bytes must have different fingerprints.
#[test]
fn fingerprint_parts() {
    let prints = [
        fingerprint("GET", "r", "/ab", b"c"),
        fingerprint("GET", "r", "/a", b"bc"),
        fingerprint("GET", "r/", "ab", b"c"),
        fingerprint("POST", "r", "/ab", b"c"),
    ];
    for (i, print) in prints.iter().enumerate() {
        assert!(!prints[..i].contains(print));
    }
}

/// A request must not be quarantined after one crash, even if the crash is reported twice.
#[test]
fn crash_second_quarantines() {
    let mut quarantine = Quarantine::new();
    let first = crash(7, "a", 1, START);
    assert!(!is_quarantining(&quarantine.on_crash(&first, START)));
    assert!(quarantine.on_report(&first, START).is_empty());
    assert!(!quarantine.is_quarantined(7, START));
    assert!(is_quarantining(
        &quarantine.on_report(&crash(7, "a", 2, START), START)
    ));
    assert!(quarantine.is_quarantined(7, START) && quarantine.is_known_cause(7));
    assert!(!quarantine.is_quarantined(8, START));
}

/// A quarantine must end after its time, and a later crash must extend it.
#[test]
fn crash_expiry() {
    let mut quarantine = Quarantine::new();
    quarantine.on_crash(&crash(7, "a", 1, START), START);
    quarantine.on_crash(&crash(7, "b", 1, START), START);
    let later = START.plus(QUARANTINE_TIME / 2);
    quarantine.on_report(&crash(7, "c", 1, later), later);
    let end = later.plus(QUARANTINE_TIME);
    assert!(quarantine.is_quarantined(7, WallMs(end.0 - 1)));
    assert!(!quarantine.is_quarantined(7, end));
    assert!(
        quarantine
            .on_report(&crash(7, "a", 1, START), end)
            .is_empty(),
        "too old"
    );
    quarantine.tick(end);
    assert!(quarantine.reports(end).is_empty());
}

/// Nodes must not send the same reports to each other for ever.
#[test]
fn crash_reports_settle() {
    let mut quarantine = Quarantine::new();
    let nodes = ["a", "b", "c", "d", "e", "f"];
    let reports = nodes.map(|node| crash(7, node, 1, START));
    for report in &reports {
        quarantine.on_report(report, START);
    }
    let again = reports.iter().map(|r| quarantine.on_report(r, START));
    assert!(again.flatten().next().is_none());
}

/// A report from a clock that is ahead must not extend the quarantine.
#[test]
fn crash_future_time() {
    let mut quarantine = Quarantine::new();
    let ahead = START.plus(QUARANTINE_TIME * 10);
    quarantine.on_report(&crash(7, "a", 1, ahead), START);
    quarantine.on_report(&crash(7, "b", 1, ahead), START);
    assert!(!quarantine.is_quarantined(7, START.plus(QUARANTINE_TIME)));
}

/// A request that ran during two crashes but was answered in between must not be quarantined.
#[test]
fn crash_answered_clears() {
    let mut quarantine = Quarantine::new();
    quarantine.on_crash(&crash(7, "a", 1, START), START);
    quarantine.on_answered(7, START);
    assert!(!is_quarantining(
        &quarantine.on_crash(&crash(7, "b", 1, START), START)
    ));
}

/// A version that crashes on any request must not get frequent requests refused everywhere.
#[test]
fn crash_of_answered_request_is_not_counted() {
    let mut quarantine = Quarantine::new();
    quarantine.on_answered(7, START);
    let reports = [crash(7, "a", 1, START), crash(7, "b", 1, START)];
    for report in &reports {
        assert!(quarantine.on_crash(report, START).is_empty());
    }
    assert!(!quarantine.is_quarantined(7, START));
    // A request without an answer for that time may be the cause again.
    let later = START.plus(ANSWERED_TIME);
    assert!(is_quarantining(
        &quarantine.on_crash(&crash(7, "c", 1, later), later)
    ));
}

/// The table must be bounded, and many single crashes must not evict a quarantined request.
#[test]
fn table_bound() {
    let mut quarantine = Quarantine::new();
    quarantine.on_crash(&crash(7, "a", 1, START), START);
    quarantine.on_crash(&crash(7, "b", 1, START), START);
    let later = WallMs(START.0 + 1);
    for print in 100..100 + 2 * MAX_FINGERPRINTS as u64 {
        quarantine.on_crash(&crash(print, "a", 1, later), later);
    }
    assert!(quarantine.is_quarantined(7, later));
    assert_eq!(quarantine.reports(later).len(), MAX_FINGERPRINTS + 1);
}
