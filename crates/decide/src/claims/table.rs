//! Claims that other entries, and this one, have been granted here.

use {
    std::collections::HashMap,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{AnsweredClaim, CallerJobId, ClaimAnswer, ClaimRelease, JobClaim},
    },
};

/// Time within which entries claim their jobs again at a holder that has started, in milliseconds:
/// that of a connection attempt after a refused one.
const RENEWAL_MS: u64 = 150;

/// Time by which the longest pause between two messages of a claimant may exceed that of its runs, in
/// milliseconds.
const SILENCE_SLACK_MS: u64 = 20;
/// Longest pause between two looks at what is due in which this process has not stood still, in
/// milliseconds.
const MAX_TICK_MS: u64 = 100;

/// A claim that is known here.
#[derive(Clone, Copy, Debug)]
struct Claim {
    claimant: Incarnation,
    number: u64,
    ends_ms: u64,
    /// When it came.
    claimed_ms: u64,
    /// Whether it is granted, by this holder or by others. Otherwise, one that others have granted
    /// replaces it.
    is_granted: bool,
}

/// The entry that has the claim on a job, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimOwner {
    /// The entry.
    pub claimant: Incarnation,
    /// Number of the claim.
    pub number: u64,
    /// Time since the entry was heard, in milliseconds; 0 if it is not connected.
    pub silent_ms: u64,
}

/// State of a holder.
#[derive(Debug)]
pub struct ClaimTable {
    claims: HashMap<CallerJobId, Claim>,
    /// Number of the last connection of each claimant.
    connections: HashMap<Incarnation, u64>,
    last_connection: u64,
    /// When each connected claimant was heard last, later by the time in which this process stood
    /// still since.
    heard_ms: HashMap<Incarnation, u64>,
    ticked_ms: u64,
    /// Claims that an earlier process of this entry has granted are over, or known, by this time.
    grants_from_ms: u64,
    run_over_ms: u64,
}

impl ClaimTable {
    /// Creates the table of an entry that has granted nothing before.
    #[must_use]
    pub fn new(run_over_ms: u64) -> Self {
        Self {
            claims: HashMap::new(),
            connections: HashMap::new(),
            last_connection: 0,
            heard_ms: HashMap::new(),
            ticked_ms: 0,
            grants_from_ms: 0,
            run_over_ms,
        }
    }

    /// Creates the table of an entry that starts again. It grants nothing before the claims are
    /// over which it does not know: those of entries that were gone before they could claim their
    /// jobs again.
    #[must_use]
    pub fn restarted(run_over_ms: u64, now_ms: u64) -> Self {
        Self { grants_from_ms: now_ms + RENEWAL_MS + run_over_ms, ..Self::new(run_over_ms) }
    }

    /// Grants a claim for some time, unless another entry has one on the job. A claimant that asks
    /// again is granted the new time.
    pub fn claim(&mut self, asked: JobClaim, claimant: Incarnation, now_ms: u64) -> AnsweredClaim {
        let JobClaim { job, number, .. } = asked;
        AnsweredClaim { job, number, answer: self.grant(asked, claimant, now_ms) }
    }

    fn grant(&mut self, asked: JobClaim, claimant: Incarnation, now_ms: u64) -> ClaimAnswer {
        let is_live = |claim: &&Claim| claim.ends_ms > now_ms && !self.is_silent(claim, now_ms);
        let held = self.claims.get(&asked.job).filter(is_live);
        let is_held = |claim: &Claim| {
            if claim.claimant == claimant {
                // A connection that was replaced may deliver an earlier claim.
                claim.number > asked.number
            } else {
                claim.is_granted || !asked.is_granted
            }
        };
        if held.is_some_and(is_held) {
            return ClaimAnswer::Held;
        }
        let is_granted = asked.is_granted || now_ms >= self.grants_from_ms;
        let known = self.claims.get(&asked.job).filter(|claim| claim.number == asked.number);
        let claim = Claim {
            claimant,
            number: asked.number,
            ends_ms: now_ms + asked.for_ms,
            claimed_ms: known.map_or(now_ms, |claim| claim.claimed_ms),
            is_granted,
        };
        self.claims.insert(asked.job, claim);
        if is_granted {
            return ClaimAnswer::Granted;
        }
        let in_ms = u32::try_from(self.grants_from_ms - now_ms).unwrap_or(u32::MAX);
        ClaimAnswer::NotYet { in_ms }
    }

    /// Ends a claim after the time that its claimant names, or when it ends anyway.
    pub fn release(&mut self, release: ClaimRelease, claimant: Incarnation, now_ms: u64) {
        let Some(claim) = self.claims.get_mut(&release.job) else { return };
        if claim.claimant == claimant && claim.number <= release.number {
            claim.ends_ms = claim.ends_ms.min(now_ms + release.after_ms);
        }
    }

    /// Records a connection of a claimant, which claims its jobs again over it. What it may have
    /// given up over an earlier one ends when its runs are over. Returns the connection's number.
    pub fn connected(&mut self, claimant: Incarnation, now_ms: u64) -> u64 {
        self.last_connection += 1;
        self.connections.insert(claimant, self.last_connection);
        self.shorten(claimant, now_ms);
        self.heard_ms.entry(claimant).or_insert(now_ms);
        self.last_connection
    }

    /// Records that a claimant still wants its jobs.
    pub fn heard(&mut self, claimant: Incarnation, now_ms: u64) {
        self.heard_ms.insert(claimant, now_ms);
    }

    /// Whether a claimant has been silent for so long that its runs are over: it may stand still.
    fn is_silent(&self, claim: &Claim, now_ms: u64) -> bool {
        let Some(&heard_ms) = self.heard_ms.get(&claim.claimant) else { return false };
        // What came while this process stood still is not read yet.
        let own_stall_ms = own_stall_ms(self.ticked_ms, now_ms);
        let heard_ms = heard_ms.max(claim.claimed_ms) + own_stall_ms;
        now_ms.saturating_sub(heard_ms) >= self.run_over_ms + SILENCE_SLACK_MS
    }

    /// Records the end of a connection. A claimant whose last one it was may be gone: its claims
    /// end when its runs are over, unless it claims the jobs again.
    pub fn disconnected(&mut self, claimant: Incarnation, connection: u64, now_ms: u64) {
        if self.connections.get(&claimant) == Some(&connection) {
            self.connections.remove(&claimant);
            self.heard_ms.remove(&claimant);
            self.shorten(claimant, now_ms);
        }
    }

    fn shorten(&mut self, claimant: Incarnation, now_ms: u64) {
        let over_ms = now_ms + self.run_over_ms;
        for claim in self.claims.values_mut().filter(|claim| claim.claimant == claimant) {
            claim.ends_ms = claim.ends_ms.min(over_ms);
        }
    }

    /// Forgets claims that have ended.
    pub fn tick(&mut self, now_ms: u64) {
        let stall_ms = own_stall_ms(self.ticked_ms, now_ms);
        self.heard_ms.values_mut().for_each(|heard_ms| *heard_ms += stall_ms);
        self.ticked_ms = now_ms;
        self.claims.retain(|_, claim| claim.ends_ms > now_ms);
    }

    /// The entry that has the claim on a job.
    #[must_use]
    pub fn owner(&self, job: CallerJobId, now_ms: u64) -> Option<ClaimOwner> {
        let Claim { claimant, number, .. } = *self.claims.get(&job)?;
        let heard_ms = self.heard_ms.get(&claimant).copied().unwrap_or(now_ms);
        Some(ClaimOwner { claimant, number, silent_ms: now_ms.saturating_sub(heard_ms) })
    }

    /// Number of claims of an entry.
    #[must_use]
    pub fn count_of(&self, claimant: Incarnation) -> usize {
        self.claims.values().filter(|claim| claim.claimant == claimant).count()
    }

    /// Number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

/// Returns for how long this process has stood still since the last look at what is due.
fn own_stall_ms(ticked_ms: u64, now_ms: u64) -> u64 {
    let pause_ms = now_ms.saturating_sub(ticked_ms);
    if pause_ms > MAX_TICK_MS { pause_ms } else { 0 }
}
