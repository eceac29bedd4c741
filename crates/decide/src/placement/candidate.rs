//! Which rows a task may go to, and the best among those looked at.

use {
    super::{
        Choice, PlacementQuery,
        spread::{SpreadRank, SpreadRule},
    },
    crate::view::{UpstreamKey, UpstreamRow, View},
};

/// Longest time until a waiting task asks again, in milliseconds.
const MAX_RETRY_AFTER_MS: u32 = 50;

/// Free rows after which no better one is looked for. The best of several
/// random ones has more slots free than one at random, so that entries which
/// share the upstreams meet less often in the last slot of one; the best of
/// all would draw all entries to the same.
const ENOUGH_FREE: u32 = 8;

/// Rows with room in their queue only, after which just rows with a free slot
/// are looked for: the shortest wait of that many random ones is close to the
/// shortest of all, at a fraction of the cost in a fleet that is full.
const ENOUGH_WAITING: u32 = 32;

/// A row that a task may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) key: UpstreamKey,
    /// Expected wait for a slot there, in microseconds.
    wait_us: f32,
    rank: SpreadRank,
    free_slots: i64,
}

impl Candidate {
    /// The earlier start is better, then the spread, then more room.
    pub(super) fn is_better_than(&self, other: &Self) -> bool {
        if self.wait_us != other.wait_us {
            return self.wait_us < other.wait_us;
        }
        if self.rank != other.rank {
            return self.rank < other.rank;
        }
        self.free_slots > other.free_slots
    }

    fn is_settling(&self) -> bool {
        self.free_slots > 0 && self.rank == SpreadRank::Preferred
    }

    fn is_waiting(&self) -> bool {
        self.free_slots <= 0 && self.rank < SpreadRank::OverShare
    }
}

/// What was seen of the rows for one task.
#[derive(Debug)]
pub(super) struct Survey<'a> {
    query: &'a PlacementQuery<'a>,
    rule: SpreadRule<'a>,
    now_ms: u64,
    best: Option<Candidate>,
    best_over_share: Option<Candidate>,
    settling: u32,
    waiting: u32,
    /// A row has room if it has more free slots than this.
    full_slots: i64,
}

impl<'a> Survey<'a> {
    pub(super) fn new(view: &'a View, query: &'a PlacementQuery<'a>, now_ms: u64) -> Self {
        Self {
            query,
            rule: SpreadRule::new(view, query),
            now_ms,
            best: None,
            best_over_share: None,
            settling: 0,
            waiting: 0,
            full_slots: -i64::from(query.max_queued),
        }
    }

    /// The row as a candidate, if it has room and stands best by the spread.
    pub(super) fn preferred(&self, row: &UpstreamRow) -> Option<Candidate> {
        self.candidate(row).filter(|it| it.rank == SpreadRank::Preferred)
    }

    /// Looks at a row and keeps the best. Returns whether to go on looking.
    pub(super) fn consider(&mut self, row: &UpstreamRow) -> bool {
        let Some(candidate) = self.candidate(row) else { return true };
        let is_over = candidate.rank == SpreadRank::OverShare;
        let best = if is_over { &mut self.best_over_share } else { &mut self.best };
        if best.is_none_or(|best| candidate.is_better_than(&best)) {
            *best = Some(candidate);
        }
        self.count(&candidate);
        self.settling < ENOUGH_FREE
    }

    fn count(&mut self, candidate: &Candidate) {
        self.settling += u32::from(candidate.is_settling());
        self.waiting += u32::from(candidate.is_waiting());
        if self.waiting >= ENOUGH_WAITING {
            self.full_slots = 0;
        }
    }

    /// The choice, once all rows were looked at or enough of them.
    pub(super) fn choice(&self, view: &View) -> Choice {
        if let Some(best) = self.best {
            return Choice::Place(best.key);
        }
        match self.best_over_share {
            Some(best) if !self.serves_below_share(view) => Choice::Place(best.key),
            _ if self.is_never(view) => Choice::Never,
            _ => Choice::Wait { retry_after_ms: self.retry_after_ms(view) },
        }
    }

    /// Most rows of a loaded fleet have no room: that is looked at first.
    fn candidate(&self, row: &UpstreamRow) -> Option<Candidate> {
        let free_slots = row.free_slots();
        if free_slots <= self.full_slots || !self.is_allowed(row) {
            return None;
        }
        let wait_us = row.expected_wait_us(self.run_hint_us());
        let rank = self.rule.rank(row);
        wait_us.is_finite().then_some(Candidate { key: row.key, wait_us, rank, free_slots })
    }

    fn run_hint_us(&self) -> f32 {
        self.query.run_ms as f32 * 1_000.0
    }

    /// Whether the task may go there, now or once there is room.
    fn is_allowed(&self, row: &UpstreamRow) -> bool {
        row.takes_work(self.now_ms) && self.could_go_to(row) && !self.query.tried.contains(&row.key)
    }

    fn could_go_to(&self, row: &UpstreamRow) -> bool {
        row.can_serve(self.query.kind, self.query.size_bytes) && !self.rule.forbids(row)
    }

    fn serves_below_share(&self, view: &View) -> bool {
        let is_below = |row: &UpstreamRow| self.rule.rank(row) < SpreadRank::OverShare;
        view.rows.iter().any(|row| self.is_allowed(row) && is_below(row))
    }

    fn is_never(&self, view: &View) -> bool {
        !view.rows.is_empty() && !view.rows.iter().any(|row| self.could_go_to(row))
    }

    /// The shortest wait of the first full rows that the task may go to: a
    /// longer look costs more than asking again.
    fn retry_after_ms(&self, view: &View) -> u32 {
        let allowed = view.rows.iter().filter(|row| self.is_allowed(row));
        let waits_us = allowed.map(|row| row.expected_wait_us(self.run_hint_us()));
        let soonest_us = waits_us.filter(|wait| *wait > 0.0).take(64).fold(f32::INFINITY, f32::min);
        ((soonest_us / 1_000.0) as u32).clamp(1, MAX_RETRY_AFTER_MS)
    }
}
