//! Planned stops of a job service whose VM is suspended: the clock leaps, while timers stand
//! still.

use {
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    sycamorerail_clock::Clock,
    sycamorerail_decide::dispatch::DispatchLimits,
    sycamorerail_entry::runs::{JobService, JobServiceSettings, STOP_ANSWER},
    tokio::{net::TcpListener, time::timeout},
};

const LEFT: Duration = Duration::from_secs(60);
/// Far below the time left, far above what a look at the clock takes.
const AT_ONCE: Duration = Duration::from_secs(5);

/// What waits beside the jobs must not wait longer than they do, for the time of a suspension.
#[tokio::test]
async fn a_suspension_over_the_end_ends_all_waits() {
    let leaps_ms: &'static AtomicU64 = Box::leak(Box::default());
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let own = listener.local_addr().unwrap();
    let limits = DispatchLimits::default();
    let settings = JobServiceSettings {
        name: "entry".to_owned(),
        limits,
        own,
        data_centre: "dc-1".to_owned(),
    };
    let clock = Clock::start_with_test_suspension(leaps_ms);
    let service = JobService::start_with(settings, listener, clock);
    service.stop_within(LEFT);
    let early = timeout(STOP_ANSWER, service.stopped()).await;
    assert!(early.is_err(), "it ended before its time");
    let leap = u64::try_from((LEFT + STOP_ANSWER).as_millis()).unwrap();
    leaps_ms.fetch_add(leap, Ordering::AcqRel);
    timeout(AT_ONCE, service.stopped()).await.expect("it waits for the time of the suspension");
}
