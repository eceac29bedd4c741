//! Tells the other entries, once a window, the demand on quotas here.

use {
    super::{Inner, sessions},
    crate::shared::Shared,
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
    sycamorerail_wire::message::ToEntry,
    tokio::time::sleep,
};

/// Length of a window.
pub(super) const WINDOW: Duration = Duration::from_secs(1);

/// Tells for as long as the entry runs.
pub(super) async fn tell_usage(inner: Weak<Inner>, shared: Arc<Shared>) {
    loop {
        sleep(WINDOW).await;
        let Some(inner) = inner.upgrade() else { return };
        let Some(report) = (inner.sources.usage)(&shared) else { continue };
        let call = ToEntry::Usage(report);
        let within = sessions::short(&shared);
        let others = inner.others(&shared);
        let tell = |address| inner.sessions.call(&shared, address, &call, within);
        // One that does not hear it takes an equal part for this entry.
        futures::future::join_all(others.into_iter().map(tell)).await;
    }
}
