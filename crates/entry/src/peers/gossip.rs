//! Tells the other entries the demand on quotas here: what has changed, to those
//! that hold the rest.

use {
    super::{Inner, sessions},
    crate::{dispatch, shared::Shared},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Weak},
        time::Duration,
    },
    sycamorerail_decide::share::REFRESH_INTERVAL_MS,
    sycamorerail_wire::message::{EntryReplyBody, ToEntry},
    tokio::time::sleep,
};

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// What a peer holds of this entry's demand.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    /// Number of the report; 0 for none.
    number: u64,
    told_at_ms: u64,
}

/// Tells for as long as the entry runs.
pub(super) async fn tell_usage(inner: Weak<Inner>, shared: Arc<Shared>) {
    let mut held: HashMap<SocketAddr, Held> = HashMap::new();
    loop {
        sleep(WINDOW).await;
        let Some(inner) = inner.upgrade() else { return };
        let number = dispatch::close_usage_window(&shared);
        let others = inner.others(&shared);
        held.retain(|address, _| others.contains(address));
        let now_ms = shared.now_ms();
        let tell = |address: SocketAddr| {
            let known = held.get(&address).copied().unwrap_or_default();
            let due = known.number != number || now_ms >= known.told_at_ms + REFRESH_INTERVAL_MS;
            let (inner, shared) = (&inner, &shared);
            async move { (address, if due { inner.tell(shared, address, known).await } else { known }) }
        };
        let told = futures::future::join_all(others.iter().copied().map(tell)).await;
        held.extend(told);
    }
}

impl Inner {
    /// Tells one peer, all if it does not hold what it was told before. One
    /// that does not hear it takes an equal part for this entry.
    async fn tell(&self, shared: &Shared, address: SocketAddr, known: Held) -> Held {
        let within = sessions::short(shared);
        for since in [known.number, 0] {
            let report = dispatch::usage_since(shared, since);
            let number = report.number;
            let call = ToEntry::Usage(report);
            let Ok(reply) = self.sessions.call(shared, address, &call, within).await else {
                return Held::default();
            };
            if !matches!(reply.body, EntryReplyBody::BaseReportMissing) {
                return Held { number, told_at_ms: shared.now_ms() };
            }
        }
        Held::default()
    }
}
