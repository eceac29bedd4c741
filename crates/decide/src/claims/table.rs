//! Claims that other entries, and this one, have been granted here.

use {
    std::collections::HashMap,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{AnsweredClaim, CallerJobId, ClaimAnswer, ClaimRelease, JobClaim},
    },
};

/// A granted claim.
#[derive(Clone, Copy, Debug)]
struct Claim {
    claimant: Incarnation,
    number: u64,
    ends_ms: u64,
}

/// State of a holder.
#[derive(Debug)]
pub struct ClaimTable {
    claims: HashMap<CallerJobId, Claim>,
    /// Number of connections of each claimant.
    connections: HashMap<Incarnation, usize>,
    /// Claims that an earlier process of this entry has granted are over by this time.
    grants_from_ms: u64,
    run_over_ms: u64,
}

impl ClaimTable {
    /// Creates the table of an entry that grants claims from `grants_from_ms` on.
    #[must_use]
    pub fn new(run_over_ms: u64, grants_from_ms: u64) -> Self {
        Self { claims: HashMap::new(), connections: HashMap::new(), grants_from_ms, run_over_ms }
    }

    /// Grants a claim for some time, unless another entry has one on the job. A claimant that asks
    /// again is granted the new time.
    pub fn claim(&mut self, asked: JobClaim, claimant: Incarnation, now_ms: u64) -> AnsweredClaim {
        let JobClaim { job, number, .. } = asked;
        AnsweredClaim { job, number, answer: self.grant(asked, claimant, now_ms) }
    }

    fn grant(&mut self, asked: JobClaim, claimant: Incarnation, now_ms: u64) -> ClaimAnswer {
        let held = self.claims.get(&asked.job).filter(|claim| claim.ends_ms > now_ms);
        if held.is_some_and(|claim| claim.claimant != claimant) {
            return ClaimAnswer::Held;
        }
        // What others have granted is taken note of at once, before new claims on the job.
        if now_ms < self.grants_from_ms && !asked.is_granted {
            let in_ms = u32::try_from(self.grants_from_ms - now_ms).unwrap_or(u32::MAX);
            return ClaimAnswer::NotYet { in_ms };
        }
        let claim = Claim { claimant, number: asked.number, ends_ms: now_ms + asked.for_ms };
        self.claims.insert(asked.job, claim);
        ClaimAnswer::Granted
    }

    /// Ends a claim after the time that its claimant names, or when it ends anyway.
    pub fn release(&mut self, release: ClaimRelease, claimant: Incarnation, now_ms: u64) {
        let Some(claim) = self.claims.get_mut(&release.job) else { return };
        if claim.claimant == claimant && claim.number <= release.number {
            claim.ends_ms = claim.ends_ms.min(now_ms + release.after_ms);
        }
    }

    /// Records a connection of a claimant, which claims its jobs again over it. What it may have
    /// given up over an earlier one ends when its runs are over.
    pub fn connected(&mut self, claimant: Incarnation, now_ms: u64) {
        *self.connections.entry(claimant).or_default() += 1;
        self.shorten(claimant, now_ms);
    }

    /// Records the end of a connection. A claimant without connections may be gone: its claims end
    /// when its runs are over, unless it claims the jobs again.
    pub fn disconnected(&mut self, claimant: Incarnation, now_ms: u64) {
        let Some(connections) = self.connections.get_mut(&claimant) else { return };
        *connections -= 1;
        if *connections == 0 {
            self.connections.remove(&claimant);
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
        self.claims.retain(|_, claim| claim.ends_ms > now_ms);
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
