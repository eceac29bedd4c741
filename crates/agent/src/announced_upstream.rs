//! The upstream as it announced itself to the agent.

use {
    std::sync::atomic::{AtomicU64, Ordering},
    sycamorerail_wire::message::UpstreamInfo,
};

/// Announced upstream, with the time of its last announcement.
#[derive(Debug)]
pub(crate) struct AnnouncedUpstream {
    pub(crate) info: UpstreamInfo,
    pub(crate) base_url: reqwest::Url,
    renewed_at_ms: AtomicU64,
}

impl AnnouncedUpstream {
    pub(crate) fn new(info: UpstreamInfo, base_url: reqwest::Url) -> Self {
        Self { info, base_url, renewed_at_ms: AtomicU64::new(0) }
    }

    /// Records a repeated announcement, which renews the lease.
    pub(crate) fn renew(&self, now_ms: u64) {
        self.renewed_at_ms.store(now_ms, Ordering::Release);
    }

    /// Returns the time of the last announcement by the agent's clock.
    pub(crate) fn renewed_at_ms(&self) -> u64 {
        self.renewed_at_ms.load(Ordering::Acquire)
    }
}
