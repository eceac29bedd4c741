//! Parts of a planned stop of an entry, with checks that come late.

use sycamorerail_decide::planned_stop::{PlannedStop, StopPart, Traffic};

const GRACE_MS: u64 = 6_000;

/// Checks a stop that began at 0, each check this much later than it is due, until it is over.
/// Returns when each part began.
fn play(
    grace_ms: u64,
    delay_ms: u64,
    traffic: impl Fn(u64, StopPart) -> Traffic,
) -> Vec<(StopPart, u64)> {
    let mut stop = PlannedStop::new(0, grace_ms);
    let (mut now_ms, mut part) = (0, StopPart::Leaving);
    let mut begun = Vec::new();
    while part != StopPart::Over {
        assert!(now_ms < 60_000, "the stop does not end: {begun:?}");
        let next = stop.check(traffic(now_ms, part), delay_ms, now_ms);
        if next != part {
            part = next;
            begun.push((part, now_ms));
        }
        now_ms += stop.check_interval_ms() + delay_ms;
    }
    begun
}

/// Requests that never cease, on connections that were open before.
fn busy(now_ms: u64, part: StopPart) -> Traffic {
    let is_listening = part < StopPart::Refusing;
    Traffic { in_flight: 1, received: now_ms, connections: 5, is_listening }
}

fn began(parts: &[(StopPart, u64)], wanted: StopPart) -> u64 {
    parts.iter().find(|(part, _)| *part == wanted).unwrap().1
}

#[test]
fn a_stop_without_traffic_ends_after_the_balancers_notice() {
    let listening =
        |_, part| Traffic { is_listening: part < StopPart::Refusing, ..Traffic::default() };
    let parts = play(GRACE_MS, 0, listening);
    assert_eq!(began(&parts, StopPart::Closing), 2_600);
    assert!(began(&parts, StopPart::Over) < 3_000, "{parts:?}");
}

/// Guards against an end that lies as far behind its time as all checks together are late.
#[test]
fn late_checks_do_not_delay_the_end() {
    for delay_ms in [0, 20, 50, 100, 150, 200] {
        let parts = play(GRACE_MS, delay_ms, |now_ms, part| {
            // The last answers are written once the jobs are given up.
            let in_flight = usize::from(now_ms < 5_500);
            Traffic { in_flight, received: 0, ..busy(now_ms, part) }
        });
        let over_ms = began(&parts, StopPart::Over);
        assert!(over_ms <= GRACE_MS - 100, "delay {delay_ms} ms: {parts:?}");
    }
}

/// Guards against a process that is killed in a stall of 0.3 s shortly before its end.
#[test]
fn an_answered_stop_leaves_time_for_a_stall() {
    let parts = play(GRACE_MS, 0, |now_ms, part| {
        let in_flight = usize::from(now_ms < 5_500);
        Traffic { in_flight, received: 0, ..busy(now_ms, part) }
    });
    assert!(began(&parts, StopPart::Over) <= GRACE_MS - 300, "{parts:?}");
}

#[test]
fn a_delayed_process_ends_its_jobs_earlier() {
    let stop = PlannedStop::new(0, GRACE_MS);
    assert!(stop.jobs_end_ms(150) + 300 <= stop.jobs_end_ms(0));
    // A stall early in the stop leaves most of the time for jobs.
    assert!(stop.jobs_end_ms(3_000) >= GRACE_MS * 2 / 3);
}

/// Guards against an end beside requests that arrived while the process was suspended.
#[test]
fn a_suspended_process_reads_its_connections_before_it_ends() {
    let mut stop = PlannedStop::new(0, GRACE_MS);
    let mut checks = Vec::new();
    let mut now_ms = 8_000;
    for received in [0, 0, 100, 100, 100, 100] {
        let in_flight = usize::from(checks.len() == 2);
        let traffic = Traffic { in_flight, received, connections: 100, is_listening: false };
        checks.push(stop.check(traffic, 0, now_ms));
        now_ms += stop.check_interval_ms();
    }
    let over = checks.iter().position(|part| *part == StopPart::Over);
    assert!(over > Some(2), "{checks:?}");
}

/// Guards against waiting for connections once all of them are closed.
#[test]
fn a_stop_ends_with_its_last_connection() {
    let parts = play(GRACE_MS, 0, |now_ms, part| {
        let connections = usize::from(part < StopPart::Refusing);
        Traffic { connections, received: now_ms, ..busy(now_ms, part) }
    });
    let (refusing_ms, over_ms) = (began(&parts, StopPart::Refusing), began(&parts, StopPart::Over));
    assert!(over_ms <= refusing_ms + 20, "{parts:?}");
}

/// Guards against a request that never ends and keeps the process until it is killed.
#[test]
fn requests_without_end_do_not_keep_the_process() {
    let parts = play(GRACE_MS, 0, busy);
    let over_ms = began(&parts, StopPart::Over);
    assert!((GRACE_MS - 100..GRACE_MS).contains(&over_ms), "{parts:?}");
}

#[test]
fn a_short_grace_period_has_all_parts() {
    for grace_ms in [500, 1_000, 2_000] {
        let parts = play(grace_ms, 0, |now_ms, part| Traffic {
            in_flight: 0,
            received: 0,
            ..busy(now_ms, part)
        });
        assert!(began(&parts, StopPart::Over) <= grace_ms, "{grace_ms}: {parts:?}");
    }
}
