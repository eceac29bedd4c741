//! Compare-and-swap: one winner, guards, current state for the losers.

mod site;

use {
    site::{client, standin},
    sycamorerail_platform::{Expected, KeyValue, PlatformErrorKind, Swap},
};

#[tokio::test]
async fn swap_race() {
    let standin = standin().await;
    let platform = client(&standin);
    platform.swap("/k", Expected::Absent, "0", None, &[]).await.unwrap();
    let before = platform.get("/k").await.unwrap().unwrap();
    let expected = Expected::Modified(before.modified);
    let race = (0..8).map(|racer| {
        let platform = platform.clone();
        tokio::spawn(async move {
            let value = format!("racer {racer}");
            (platform.swap("/k", expected, &value, None, &[]).await.unwrap(), value)
        })
    });
    let mut winners = Vec::new();
    let mut seen_by_losers = Vec::new();
    for racer in race.collect::<Vec<_>>() {
        match racer.await.unwrap() {
            (Swap::Done { mark }, value) => winners.push((mark, value)),
            (Swap::Lost { current }, _) => seen_by_losers.push(current.unwrap()),
        }
    }
    let now = platform.get("/k").await.unwrap().unwrap();
    assert_eq!(winners, [(now.modified, now.value.clone())]);
    assert_eq!(now.created, before.created);
    assert!(seen_by_losers.iter().all(|seen| *seen == now), "{seen_by_losers:?}");
}

#[tokio::test]
async fn absent_guard() {
    let standin = standin().await;
    let platform = client(&standin);
    let guarded = || platform.swap("/agents/1", Expected::Absent, "a", None, &["/fenced/7"]);
    platform.swap("/fenced/7", Expected::Absent, "f", None, &[]).await.unwrap();
    assert_eq!(guarded().await.unwrap(), Swap::Lost { current: None });
    let fence = platform.get("/fenced/7").await.unwrap().unwrap();
    platform.delete("/fenced/7", fence.modified).await.unwrap();
    assert!(matches!(guarded().await.unwrap(), Swap::Done { .. }));
}

#[tokio::test]
async fn delete_current() {
    let standin = standin().await;
    let platform = client(&standin);
    platform.swap("/k", Expected::Absent, "1", None, &[]).await.unwrap();
    let old = platform.get("/k").await.unwrap().unwrap();
    platform.swap("/k", Expected::Modified(old.modified), "2", None, &[]).await.unwrap();
    let new = platform.get("/k").await.unwrap();
    let lost = platform.delete("/k", old.modified).await.unwrap();
    assert_eq!(lost, Swap::Lost { current: new.clone() });
    platform.delete("/k", new.unwrap().modified).await.unwrap();
    assert_eq!(platform.get("/k").await.unwrap(), None);
}

#[tokio::test]
async fn prefix_bounds() {
    let standin = standin().await;
    let platform = client(&standin);
    for key in ["/a", "/a/", "/a/1", "/a/é", "/a0", "/b"] {
        platform.swap(key, Expected::Absent, "", None, &[]).await.unwrap();
    }
    let keys = async |prefix: &str| -> Vec<String> {
        let range = platform.range(prefix).await.unwrap();
        range.items.into_iter().map(|item: KeyValue| item.key).collect()
    };
    assert_eq!(keys("/a/").await, ["/a/", "/a/1", "/a/é"]);
    assert_eq!(keys("/a/é").await, ["/a/é"]);
    assert_eq!(keys("").await.len(), 6);
}

#[tokio::test]
async fn lease_gone() {
    let standin = standin().await;
    let platform = client(&standin);
    let never_granted = Some(sycamorerail_platform::LeaseId(5));
    let refused = platform.swap("/k", Expected::Absent, "", never_granted, &[]).await.unwrap_err();
    assert_eq!(refused.kind, PlatformErrorKind::Status(404));
    assert_eq!(refused.effect, sycamorerail_platform::Effect::None);
    assert_eq!(platform.get("/k").await.unwrap(), None);
}
