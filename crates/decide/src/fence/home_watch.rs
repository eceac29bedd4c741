//! When a home is shown lost.
//!
//! Fencing a home that is alive costs its jobs in flight, so it must be shown
//! lost first. Nothing of what makes conclusions true depends on it.

/// What came of an attempt to reach the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachResult {
    /// It answered.
    Answered,
    /// Another incarnation answered at its address.
    OtherIncarnation,
    /// Its host refused the connection.
    Refused,
    /// No answer.
    Unreachable,
}

/// Where a home stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeState {
    /// It was reached last time.
    Reachable,
    /// It cannot be reached, and is not shown lost yet.
    InDoubt {
        /// When that may have changed, in milliseconds.
        retry_after_ms: u64,
    },
    /// It may be fenced.
    Lost,
}

/// A gap between attempts longer than this many times the time after which a
/// home is lost begins a new silence.
const MAX_GAP_FACTOR: u64 = 2;

/// A time without an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Silence {
    since_ms: Option<u64>,
    last_ms: u64,
}

impl Silence {
    /// A gap between sightings longer than `gap_ms` begins a new silence.
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

/// Sightings of one home by this entry and by a witness: a peer, or the
/// platform where the home's lease has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeWatch {
    lost_after_ms: u64,
    own: Silence,
    witness: Silence,
    lost: bool,
}

impl HomeWatch {
    /// A home not seen yet.
    #[must_use]
    pub fn new(lost_after_ms: u64) -> Self {
        Self { lost_after_ms, own: Silence::default(), witness: Silence::default(), lost: false }
    }

    /// Takes this entry's own attempt.
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

    /// Takes a witness's attempt. Where there is no witness to ask, the own
    /// attempts count for it.
    pub fn note_witness_attempt(&mut self, result: ReachResult, now_ms: u64) {
        match result {
            ReachResult::Answered => self.witness = Silence::default(),
            ReachResult::OtherIncarnation => self.lost = true,
            ReachResult::Refused | ReachResult::Unreachable => {
                self.witness.note(MAX_GAP_FACTOR * self.lost_after_ms, now_ms);
            }
        }
    }

    /// Where the home stands. Once lost it stays so.
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
