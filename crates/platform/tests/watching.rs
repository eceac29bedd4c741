//! Watches: resumed after a cut, nothing missed and nothing told twice.

mod site;

use {
    site::{client, standin},
    sycamorerail_platform::{
        Expected, Platform,
        table::Change,
        watch::{Told, Watch},
    },
    sycamorerail_standin::platform::{PlatformStandin, PlatformStandinConfig},
};

async fn write(platform: &Platform, key: &str) {
    let expected = match platform.get(key).await.unwrap() {
        Some(known) => Expected::Modified(known.modified),
        None => Expected::Absent,
    };
    platform.swap(key, expected, "v", None, &[]).await.unwrap();
}

async fn changes(watch: &mut Watch) -> Option<Vec<Change>> {
    loop {
        match watch.next().await {
            Ok(Told::Changes(changes)) => return Some(changes),
            Ok(Told::Progress(_)) => {}
            Ok(Told::Compacted) | Err(_) => return None,
        }
    }
}

#[tokio::test]
async fn resume_after_cut() {
    let standin = standin().await;
    let platform = client(&standin);
    let mut told = Vec::new();
    let mut watch = platform.watch("/w/", 1).await.unwrap();
    for round in 0..20 {
        write(&platform, &format!("/w/{}", round % 3)).await;
        write(&platform, "/other").await;
        if round % 4 == 1 {
            standin.cut_watches();
        }
        while told.len() <= round {
            match changes(&mut watch).await {
                Some(changes) => told.extend(changes.iter().map(Change::revision)),
                None => {
                    let next = told.last().copied().unwrap_or(0) + 1;
                    watch = platform.watch("/w/", next).await.unwrap();
                }
            }
        }
    }
    // The store begins at revision 1, and every other write is of this prefix.
    let expected: Vec<u64> = (0..20).map(|round| 2 + 2 * round).collect();
    assert_eq!(told, expected);
}

#[tokio::test]
async fn history_gone() {
    let config = PlatformStandinConfig { history_events: 2, ..Default::default() };
    let standin = PlatformStandin::start(config).await.unwrap();
    let platform = client(&standin);
    for number in 0..5 {
        write(&platform, &format!("/w/{number}")).await;
    }
    let mut watch = platform.watch("/w/", 2).await.unwrap();
    assert_eq!(watch.next().await.unwrap(), Told::Compacted);
}

#[tokio::test]
async fn progress_told() {
    let config = PlatformStandinConfig { progress_ms: 10, ..Default::default() };
    let standin = PlatformStandin::start(config).await.unwrap();
    let platform = client(&standin);
    let mut watch = platform.watch("/w/", 1).await.unwrap();
    write(&platform, "/other").await;
    while watch.next().await.unwrap() != Told::Progress(2) {}
}

#[tokio::test]
async fn waiting_counted() {
    let standin = standin().await;
    let platform = client(&standin);
    let watch = platform.watch("/w/", 1).await.unwrap();
    site::until("the watch waits", || standin.calls().waiting_watches == 1).await;
    drop(watch);
    site::until("no watch waits", || standin.calls().waiting_watches == 0).await;
}
