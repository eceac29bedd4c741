//! One attempt at one task.

use {
    super::{PlacementKey, TaskAttempt},
    crate::view::UpstreamKey,
};

/// How long other attempts avoid an upstream where this one ended without a result, in
/// milliseconds: the upstream may be busy for a moment, or gone.
const AVOID_AFTER_END_MS: u64 = 100;

/// What is unknown of an attempt whose end was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LostEnd {
    /// It started; its end will not be known.
    EndUnknown,
    /// It may have started; this cannot be determined.
    StartUnknown,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits at the entry.
    Waiting,
    /// Sent to an upstream, no reply yet.
    Open {
        upstream: UpstreamKey,
        since_ms: u64,
        /// Sent more than once, so an earlier copy may still be in transit.
        resent: bool,
        revoked: bool,
        /// No report can be obtained for now.
        unreachable: bool,
    },
    /// Ended with a result.
    Finished,
    /// Ended with a definite failure.
    Failed,
    /// Its end is lost.
    EndLost(LostEnd),
    /// Proven not started, and will never start.
    NeverStarts,
}

impl State {
    /// Whether an event is expected that decides the attempt.
    pub(super) fn is_awaited(self) -> bool {
        matches!(self, Self::Waiting | Self::Open { unreachable: false, .. })
    }
}

/// One attempt at one task.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) key: TaskAttempt,
    pub(super) state: State,
    /// When the attempt ended without a result.
    pub(super) ended_at_ms: u64,
    last_upstream: Option<UpstreamKey>,
    serial: u16,
    /// Upstreams that refused the attempt, each with the time until which to avoid it.
    refused_by: Vec<(UpstreamKey, u64)>,
}

impl Attempt {
    pub(super) fn new(index: u16, attempt: u8) -> Self {
        Self {
            key: TaskAttempt { index, attempt },
            state: State::Waiting,
            ended_at_ms: 0,
            last_upstream: None,
            serial: 0,
            refused_by: Vec::new(),
        }
    }

    pub(super) fn start_placement(&mut self, upstream: UpstreamKey, now_ms: u64) -> PlacementKey {
        self.serial = self.serial.wrapping_add(1);
        self.last_upstream = Some(upstream);
        self.state = State::Open {
            upstream,
            since_ms: now_ms,
            resent: false,
            revoked: false,
            unreachable: false,
        };
        PlacementKey { task: self.key, serial: self.serial }
    }

    pub(super) fn is_open(&self, serial: u16) -> bool {
        self.serial == serial && matches!(self.state, State::Open { .. })
    }

    pub(super) fn is_open_at(&self, at: UpstreamKey) -> bool {
        matches!(self.state, State::Open { upstream, .. } if upstream == at)
    }

    pub(super) fn is_resent(&self) -> bool {
        matches!(self.state, State::Open { resent: true, .. })
    }

    pub(super) fn is_revoked(&self) -> bool {
        matches!(self.state, State::Open { revoked: true, .. })
    }

    pub(super) fn set_resent(&mut self) {
        if let State::Open { resent, .. } = &mut self.state {
            *resent = true;
        }
    }

    pub(super) fn set_unreachable(&mut self, now: bool) {
        if let State::Open { unreachable, .. } = &mut self.state {
            *unreachable = now;
        }
    }

    /// Marks an open attempt as revoked. Returns its upstream if it was not revoked before.
    pub(super) fn revoke(&mut self) -> Option<UpstreamKey> {
        match &mut self.state {
            State::Open { upstream, revoked, .. } if !*revoked => {
                *revoked = true;
                Some(*upstream)
            }
            _ => None,
        }
    }

    /// Records that the upstream refused the attempt. Returns the number of its placements so
    /// far.
    pub(super) fn record_refusal(&mut self, avoid_until_ms: u64) -> u16 {
        if let State::Open { upstream, .. } = self.state {
            self.refused_by.retain(|&(other, _)| other != upstream);
            self.refused_by.push((upstream, avoid_until_ms));
        }
        self.serial
    }

    /// The upstream that other attempts must avoid because of this one.
    pub(super) fn upstream_blocked_for_others(&self, now_ms: u64) -> Option<UpstreamKey> {
        let avoid = match self.state {
            State::Open { .. } => true,
            State::Failed | State::EndLost(_) => now_ms < self.ended_at_ms + AVOID_AFTER_END_MS,
            _ => false,
        };
        self.last_upstream.filter(|_| avoid)
    }

    pub(super) fn refusing_upstreams(&self, now_ms: u64) -> impl Iterator<Item = UpstreamKey> {
        let still_avoided = self.refused_by.iter().filter(move |&&(_, until_ms)| now_ms < until_ms);
        still_avoided.map(|&(upstream, _)| upstream)
    }
}
