//! A plain roster of entries: each keeps its address in the platform under a
//! lease, for whoever has to dial it. Nothing but dialling depends on it.

use {
    crate::lease_key::hold_key,
    std::{net::SocketAddr, time::Duration},
    sycamorerail_platform::{Mirror, Platform},
    sycamorerail_telemetry::event,
    tokio::time::sleep,
};

/// Prefix of the entries' addresses.
const PREFIX: &str = "sycamorerail/roster/";
/// A lease lasts so many of the platform's shortest ones: entries that lost
/// theirs in an outage write anew, and one that died goes in a few seconds.
const SHORTEST_LEASES: u32 = 3;
/// Pause between polls beside the watch.
const POLL_MS: u32 = 3_000;
/// Pause between two readings of an agent that no entry can be reached from.
const SEARCH_PAUSE: Duration = Duration::from_millis(1_500);

/// Keeps an entry's address in the roster, and tells of all addresses there.
pub fn announce(
    platform: &Platform,
    own: SocketAddr,
    shortest_lease_ms: u32,
    on_change: impl Fn(Vec<SocketAddr>) + Send + 'static,
) {
    let lease_ms = shortest_lease_ms * SHORTEST_LEASES;
    let key = format!("{PREFIX}{own}");
    let keeper = platform.clone();
    tokio::spawn(async move { hold_key(&keeper, &key, &own.to_string(), lease_ms).await });
    let mirror = Mirror::start(platform.clone(), PREFIX, POLL_MS);
    tokio::spawn(async move {
        let mut changed = mirror.subscribe();
        loop {
            changed.borrow_and_update();
            let items = mirror.list(PREFIX);
            let mut entries = addresses(items.iter().map(|item| &*item.value));
            if !entries.contains(&own) {
                entries.push(own);
            }
            on_change(entries);
            if changed.changed().await.is_err() {
                return;
            }
        }
    });
}

/// Reads the roster for an agent as long as it has no entry.
pub async fn search_on(
    platform: Platform,
    is_alone: impl Fn() -> bool,
    on_found: impl Fn(Vec<SocketAddr>),
) {
    loop {
        sleep(SEARCH_PAUSE).await;
        if !is_alone() {
            continue;
        }
        match platform.range(PREFIX).await {
            Ok(range) => on_found(addresses(range.items.iter().map(|item| &*item.value))),
            Err(error) => event!(Info, "roster_unread", error = error),
        }
    }
}

fn addresses<'a>(values: impl Iterator<Item = &'a str>) -> Vec<SocketAddr> {
    values.filter_map(|value| value.parse().ok()).collect()
}
