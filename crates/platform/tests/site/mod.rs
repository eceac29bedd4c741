//! A stand-in and clients of it.

// Each test file uses a part.
#![allow(dead_code)]

use {
    std::time::{Duration, Instant},
    sycamorerail_platform::{Platform, PlatformConfig},
    sycamorerail_standin::platform::{PlatformStandin, PlatformStandinConfig},
    tokio::time::sleep,
};

/// Far longer than anything should take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

pub async fn standin() -> PlatformStandin {
    PlatformStandin::start(PlatformStandinConfig::default()).await.unwrap()
}

pub fn client(standin: &PlatformStandin) -> Platform {
    client_with(standin, 20_000, 100_000)
}

pub fn client_with(standin: &PlatformStandin, timeout_ms: u32, call_budget_per_s: u32) -> Platform {
    Platform::new(PlatformConfig { url: standin.url(), timeout_ms, call_budget_per_s }).unwrap()
}

pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "waited in vain until {what}");
        sleep(Duration::from_millis(5)).await;
    }
}
