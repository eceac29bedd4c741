//! One attempt at one task.

use {
    super::{PlacementKey, TaskAttempt},
    crate::view::UpstreamKey,
};

/// How long another attempt avoids an upstream where this one ended without a
/// result, in milliseconds: the others may be busy for a moment, or gone.
const AVOID_AFTER_END_MS: u64 = 100;

/// Why an attempt has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Without {
    /// Started; its end won't be known.
    EndUnknown,
    /// It may have started; nobody can tell.
    StartUnknown,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits at the entry.
    Waiting,
    /// Sent, and not replied to.
    Open {
        upstream: UpstreamKey,
        since_ms: u64,
        /// Sent more than once, so that an earlier copy may be on its way.
        resent: bool,
        revoked: bool,
        /// No report can be had for now.
        unreachable: bool,
    },
    /// Ended with a result.
    Finished,
    /// Ended without one, definitely.
    Failed,
    /// Has no end.
    Without(Without),
    /// Proven not started, and never will be.
    Never,
}

impl State {
    /// Whether something is expected to decide it.
    pub(super) fn is_awaited(self) -> bool {
        matches!(self, Self::Waiting | Self::Open { unreachable: false, .. })
    }
}

/// One attempt at one task.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) key: TaskAttempt,
    pub(super) state: State,
    /// When it ended without a result.
    pub(super) ended_at_ms: u64,
    last_upstream: Option<UpstreamKey>,
    serial: u16,
    /// Upstreams that refused it, each with the time until which to avoid it.
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

    pub(super) fn open(&mut self, upstream: UpstreamKey, now_ms: u64) -> PlacementKey {
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

    /// Marks an open attempt as revoked; the upstream if it was not before.
    pub(super) fn revoke(&mut self) -> Option<UpstreamKey> {
        match &mut self.state {
            State::Open { upstream, revoked, .. } if !*revoked => {
                *revoked = true;
                Some(*upstream)
            }
            _ => None,
        }
    }

    /// Its upstream refused it. Returns how often that happened so far.
    pub(super) fn refused(&mut self, avoid_until_ms: u64) -> u16 {
        if let State::Open { upstream, .. } = self.state {
            self.refused_by.retain(|&(other, _)| other != upstream);
            self.refused_by.push((upstream, avoid_until_ms));
        }
        self.serial
    }

    /// The upstream that another attempt must avoid for this one.
    pub(super) fn occupies(&self, now_ms: u64) -> Option<UpstreamKey> {
        let avoid = match self.state {
            State::Open { .. } => true,
            State::Failed | State::Without(_) => now_ms < self.ended_at_ms + AVOID_AFTER_END_MS,
            _ => false,
        };
        self.last_upstream.filter(|_| avoid)
    }

    pub(super) fn avoided(&self, now_ms: u64) -> impl Iterator<Item = UpstreamKey> {
        let held = self.refused_by.iter().filter(move |&&(_, until_ms)| now_ms < until_ms);
        held.map(|&(upstream, _)| upstream)
    }
}
