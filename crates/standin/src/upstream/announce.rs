//! Announcements to the agent, as any upstream makes them.

use {
    super::state::State,
    reqwest::Client,
    serde::Serialize,
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
    sycamorerail_telemetry::event,
    tokio::time::{MissedTickBehavior, interval},
};

const PATH: &str = "/v1/upstream";
const TIMEOUT_MS: u64 = 2_000;

#[derive(Serialize)]
struct Announcement<'a> {
    name: &'a str,
    address: String,
    slots: u16,
    max_task_bytes: u64,
    kinds: &'a [String],
}

/// Announces the upstream again and again, until it leaves or is dropped.
pub(super) async fn announce_on(state: Weak<State>) {
    let Some(pause_ms) = state.upgrade().map(|state| state.config.announce_ms) else { return };
    let Ok(client) = client() else { return };
    let mut tick = interval(Duration::from_millis(u64::from(pause_ms.max(1))));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let Some(state) = state.upgrade() else { return };
        state.thawed().await;
        let turn = state.announcing.lock().await;
        if *turn == Presence::Left {
            return;
        }
        if let Err(error) = announce(&client, &state).await {
            event!(Debug, "announcement_failed", error = error);
        }
    }
}

/// Whether the upstream still announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Here,
    Left,
}

async fn announce(client: &Client, state: &State) -> Result<(), reqwest::Error> {
    let config = &state.config;
    let announcement = Announcement {
        name: &config.name,
        address: state.url(),
        slots: config.slots,
        max_task_bytes: config.max_task_bytes,
        kinds: &config.kinds,
    };
    let url = format!("{}{PATH}", config.agent_url);
    client.put(url).json(&announcement).send().await?.error_for_status()?;
    Ok(())
}

/// Tells the agent that the upstream leaves. No announcement follows.
pub(super) async fn leave(state: &Arc<State>) -> Result<(), reqwest::Error> {
    let mut turn = state.announcing.lock().await;
    *turn = Presence::Left;
    let url = format!("{}{PATH}", state.config.agent_url);
    let told = client()?.delete(url).send().await?.error_for_status();
    state.starts.lock().leave();
    told.map(drop)
}

fn client() -> Result<Client, reqwest::Error> {
    Client::builder().no_proxy().timeout(Duration::from_millis(TIMEOUT_MS)).build()
}
