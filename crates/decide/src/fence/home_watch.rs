//! Detects that a home is lost.
//!
//! Fencing a home that is alive costs its jobs in flight, so the home must be shown to be lost
//! first. The correctness of conclusions does not depend on this detection.

/// Result of an attempt to reach the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachResult {
    /// The home answered.
    Answered,
    /// Another incarnation answered at the home's address.
    OtherIncarnation,
    /// The home's host refused the connection.
    Refused,
    /// There was no answer.
    Unreachable,
}

/// State of a home as seen by this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeState {
    /// The last attempt reached the home.
    Reachable,
    /// The home is unreachable and not shown to be lost yet.
    InDoubt {
        /// Time until the state may change, in milliseconds.
        retry_after_ms: u64,
    },
    /// The home may be fenced.
    Lost,
}

/// A gap between attempts of more than this many times `lost_after_ms` starts a new silence.
const MAX_GAP_FACTOR: u64 = 2;

/// A period without an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Silence {
    since_ms: Option<u64>,
    last_ms: u64,
}

impl Silence {
    /// Records an attempt without an answer. A gap of more than `gap_ms` since the last attempt
    /// starts a new silence.
    fn note(&mut self, gap_ms: u64, now_ms: u64) {
        if now_ms.saturating_sub(self.last_ms) > gap_ms {
            self.since_ms = None;
        }
        self.since_ms.get_or_insert(now_ms);
        self.last_ms = now_ms;
    }

    fn lasted_ms(&self) -> u64 {
        self.since_ms.map_or(0, |since_ms| self.last_ms.saturating_sub(since_ms))
    }
}

/// Attempts to reach one home by this entry and by a witness. The witness is a peer or, where
/// the home's lease has ended, the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeWatch {
    lost_after_ms: u64,
    own: Silence,
    witness: Silence,
    lost: bool,
}

impl HomeWatch {
    /// Creates the watch of a home before the first attempt.
    #[must_use]
    pub fn new(lost_after_ms: u64) -> Self {
        Self { lost_after_ms, own: Silence::default(), witness: Silence::default(), lost: false }
    }

    /// Records an attempt of this entry.
    pub fn note_own_attempt(&mut self, result: ReachResult, now_ms: u64) {
        match result {
            ReachResult::Answered => {
                self.own = Silence::default();
                self.witness = Silence::default();
            }
            ReachResult::OtherIncarnation | ReachResult::Refused => self.lost = true,
            ReachResult::Unreachable => self.own.note(MAX_GAP_FACTOR * self.lost_after_ms, now_ms),
        }
    }

    /// Records an attempt of a witness. An entry without a witness to ask passes
    /// [`ReachResult::Unreachable`], so that its own attempts decide.
    pub fn note_witness_attempt(&mut self, result: ReachResult, now_ms: u64) {
        match result {
            ReachResult::Answered => self.witness = Silence::default(),
            ReachResult::OtherIncarnation => self.lost = true,
            ReachResult::Refused | ReachResult::Unreachable => {
                self.witness.note(MAX_GAP_FACTOR * self.lost_after_ms, now_ms);
            }
        }
    }

    /// Returns the state of the home. A lost home stays lost.
    #[must_use]
    pub fn state(&self) -> HomeState {
        if self.lost {
            return HomeState::Lost;
        }
        if self.own.since_ms.is_none() {
            return HomeState::Reachable;
        }
        let lasted_ms = self.own.lasted_ms().min(self.witness.lasted_ms());
        match self.lost_after_ms.checked_sub(lasted_ms) {
            None | Some(0) => HomeState::Lost,
            Some(retry_after_ms) => HomeState::InDoubt { retry_after_ms },
        }
    }
}
