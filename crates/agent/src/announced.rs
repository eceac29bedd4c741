//! What an agent knows of its upstream.

use {
    std::sync::atomic::{AtomicU64, Ordering},
    sycamorerail_wire::message::UpstreamInfo,
};

/// What the upstream announced.
#[derive(Debug)]
pub(crate) struct Announced {
    pub(crate) info: UpstreamInfo,
    pub(crate) base_url: reqwest::Url,
    renewed_at_ms: AtomicU64,
}

impl Announced {
    pub(crate) fn new(info: UpstreamInfo, base_url: reqwest::Url) -> Self {
        Self { info, base_url, renewed_at_ms: AtomicU64::new(0) }
    }

    /// Notes that it was announced again.
    pub(crate) fn renew(&self, now_ms: u64) {
        self.renewed_at_ms.store(now_ms, Ordering::Release);
    }

    /// When it was announced last.
    pub(crate) fn renewed_at_ms(&self) -> u64 {
        self.renewed_at_ms.load(Ordering::Acquire)
    }
}
