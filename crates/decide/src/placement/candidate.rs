//! Filters the upstreams that a task may go to, and keeps the best one examined.

use {
    super::{
        Choice, PlacementQuery,
        spread::{SpreadRank, SpreadRule},
    },
    crate::view::{UpstreamKey, UpstreamRow, View},
};

/// Longest delay before a waiting task queries again, in milliseconds.
const MAX_RETRY_AFTER_MS: u32 = 50;

/// Number of free rows after which the search ends. The best of several random
/// rows has more free slots than a single random row, so that entries compete
/// less often for the last slot of an upstream. The best of all rows would attract
/// all entries to the same upstream.
const SUFFICIENT_FREE_ROWS: u32 = 8;

/// Number of rows with room only in their queue, after which the search considers
/// only rows with a free slot. The shortest wait of that many random rows is close
/// to the shortest of all, and costs a fraction of it in a full fleet.
const SUFFICIENT_QUEUE_ONLY_ROWS: u32 = 32;

/// An upstream that a task may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) key: UpstreamKey,
    /// Expected wait for a slot there, in microseconds.
    wait_us: f32,
    rank: SpreadRank,
    free_slots: i64,
}

impl Candidate {
    /// Compares by the earlier start, then the better spread, then more free slots.
    pub(super) fn is_better_than(&self, other: &Self) -> bool {
        if self.wait_us != other.wait_us {
            return self.wait_us < other.wait_us;
        }
        if self.rank != other.rank {
            return self.rank < other.rank;
        }
        self.free_slots > other.free_slots
    }

    fn is_preferred_and_free(&self) -> bool {
        self.free_slots > 0 && self.rank == SpreadRank::Preferred
    }

    fn is_queue_only(&self) -> bool {
        self.free_slots <= 0 && self.rank < SpreadRank::OverShare
    }
}

/// Search for the best row for one task.
#[derive(Debug)]
pub(super) struct RowSearch<'a> {
    query: &'a PlacementQuery<'a>,
    rule: SpreadRule<'a>,
    now_ms: u64,
    best: Option<Candidate>,
    best_over_share: Option<Candidate>,
    preferred_free: u32,
    queue_only: u32,
    /// A row has room if it has more free slots than this; negative where tasks may
    /// queue at the upstream.
    full_slots: i64,
}

impl<'a> RowSearch<'a> {
    pub(super) fn new(view: &'a View, query: &'a PlacementQuery<'a>, now_ms: u64) -> Self {
        Self {
            query,
            rule: SpreadRule::new(view, query),
            now_ms,
            best: None,
            best_over_share: None,
            preferred_free: 0,
            queue_only: 0,
            full_slots: -i64::from(query.max_queued),
        }
    }

    /// Returns the row as a candidate if it has room and is preferred by the spread.
    pub(super) fn preferred(&self, row: &UpstreamRow) -> Option<Candidate> {
        self.candidate(row).filter(|it| it.rank == SpreadRank::Preferred)
    }

    /// Examines a row and keeps the best. Returns whether to continue the search.
    pub(super) fn consider(&mut self, row: &UpstreamRow) -> bool {
        let Some(candidate) = self.candidate(row) else { return true };
        let is_over = candidate.rank == SpreadRank::OverShare;
        let best = if is_over { &mut self.best_over_share } else { &mut self.best };
        if best.is_none_or(|best| candidate.is_better_than(&best)) {
            *best = Some(candidate);
        }
        self.count(&candidate);
        self.preferred_free < SUFFICIENT_FREE_ROWS
    }

    fn count(&mut self, candidate: &Candidate) {
        self.preferred_free += u32::from(candidate.is_preferred_and_free());
        self.queue_only += u32::from(candidate.is_queue_only());
        if self.queue_only >= SUFFICIENT_QUEUE_ONLY_ROWS {
            self.full_slots = 0;
        }
    }

    /// Returns the choice after the search.
    pub(super) fn choice(&self, view: &View) -> Choice {
        if let Some(best) = self.best {
            return Choice::Place(best.key);
        }
        match self.best_over_share {
            Some(best) if !self.has_row_below_share(view) => Choice::Place(best.key),
            _ if self.is_unplaceable(view) => Choice::Never,
            _ => Choice::Wait { retry_after_ms: self.retry_after_ms(view) },
        }
    }

    /// Returns the row as a candidate if the task may go there now. Checks for room
    /// first, because most rows of a loaded fleet have none.
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

    /// Returns whether the task may go there, now or once there is room.
    fn is_allowed(&self, row: &UpstreamRow) -> bool {
        row.takes_work(self.now_ms) && self.is_eligible(row) && !self.query.tried.contains(&row.key)
    }

    fn is_eligible(&self, row: &UpstreamRow) -> bool {
        row.can_serve(self.query.kind, self.query.size_bytes) && !self.rule.forbids(row)
    }

    fn has_row_below_share(&self, view: &View) -> bool {
        let is_below = |row: &UpstreamRow| self.rule.rank(row) < SpreadRank::OverShare;
        view.rows.iter().any(|row| self.is_allowed(row) && is_below(row))
    }

    fn is_unplaceable(&self, view: &View) -> bool {
        !view.rows.is_empty() && !view.rows.iter().any(|row| self.is_eligible(row))
    }

    /// Returns the shortest wait of the first 64 full rows that the task may go to;
    /// examining more costs more than another query.
    fn retry_after_ms(&self, view: &View) -> u32 {
        let allowed = view.rows.iter().filter(|row| self.is_allowed(row));
        let waits_us = allowed.map(|row| row.expected_wait_us(self.run_hint_us()));
        let soonest_us = waits_us.filter(|wait| *wait > 0.0).take(64).fold(f32::INFINITY, f32::min);
        ((soonest_us / 1_000.0) as u32).clamp(1, MAX_RETRY_AFTER_MS)
    }
}
