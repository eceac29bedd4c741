//! Leases: keys end with them, renewals keep them.

mod site;

use {
    site::{client, standin},
    sycamorerail_platform::{Expected, LeaseId, Mirror, Platform},
    sycamorerail_standin::platform::PlatformFaults,
};

const LEASE_MS: u32 = 60_000;
const PART_MS: u64 = 40_000;

async fn bound_key(platform: &Platform) -> LeaseId {
    let lease = platform.grant(LEASE_MS).await.unwrap();
    platform.swap("/entries/1", Expected::Absent, "e", Some(lease), &[]).await.unwrap();
    let bound = platform.get("/entries/1").await.unwrap().unwrap();
    assert_eq!(LeaseId(bound.lease), lease);
    lease
}

#[tokio::test]
async fn lease_expiry() {
    let standin = standin().await;
    let platform = client(&standin);
    let lease = bound_key(&platform).await;
    let mirror = Mirror::start(platform.clone(), "/entries/", 3_600_000);
    site::until("the mirror has the key", || mirror.get("/entries/1").is_some()).await;
    let mark = mirror.mark();
    standin.advance(2 * PART_MS);
    site::until("the key is gone", || mirror.get("/entries/1").is_none()).await;
    assert!(mirror.mark() > mark);
    assert!(!platform.keep_alive(lease).await.unwrap());
}

#[tokio::test]
async fn lease_renewal() {
    let standin = standin().await;
    let platform = client(&standin);
    let lease = bound_key(&platform).await;
    for _ in 0..4 {
        standin.advance(PART_MS);
        assert!(platform.keep_alive(lease).await.unwrap());
    }
    assert!(platform.get("/entries/1").await.unwrap().is_some());
}

#[tokio::test]
async fn lapse_in_freeze() {
    let standin = standin().await;
    let platform = client(&standin);
    let lease = bound_key(&platform).await;
    standin.set_faults(PlatformFaults { freeze: true, ..Default::default() }).await.unwrap();
    standin.advance(2 * PART_MS);
    standin.heal().await.unwrap();
    assert!(!platform.keep_alive(lease).await.unwrap());
    assert_eq!(platform.get("/entries/1").await.unwrap(), None);
}
