//! Claims that other entries, and this one, have been granted here.

use {
    super::ClaimLimits,
    std::collections::HashMap,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{AnsweredClaim, CallerJobId, ClaimAnswer, ClaimRelease, ClaimStanding, JobClaim},
    },
};

/// A message of a claimant may be on its way for so long, in milliseconds.
const SILENCE_SLACK_MS: u64 = 20;
/// Longest pause between two looks at what is due in which this process has not stood still, in
/// milliseconds.
const MAX_CALM_PAUSE_MS: u64 = 100;

/// A connection that was overtaken may be read for so long after the end of the last one, in
/// milliseconds: as long as a connection may stay silent.
const REMEMBER_CONNECTION_MS: u64 = 60_000;

/// A claim that is known here.
#[derive(Clone, Copy, Debug)]
struct Claim {
    claimant: Incarnation,
    number: u64,
    ends_ms: u64,
    /// When it came.
    claimed_ms: u64,
    /// Whether it is granted, by this holder or by others. Otherwise, one that others have granted
    /// goes before it.
    is_granted: bool,
    /// Since when this holder has granted it, and no other one, if it has.
    granted_ms: Option<u64>,
    /// Whether its claimant has given it up, or is not connected.
    is_ending: bool,
}

impl Claim {
    /// Whether the claimant may have runs left by this claim as it claims the job anew: it has not
    /// said that they are over. A claim that was not granted is numbered anew after a stall, and
    /// waits, too.
    fn may_have_runs_beside(&self, asked: &JobClaim) -> bool {
        let is_anew = asked.standing == ClaimStanding::New && self.number < asked.number;
        is_anew && self.granted_ms.is_some()
    }

    fn end_by(&mut self, over_ms: u64) {
        self.ends_ms = self.ends_ms.min(over_ms);
        self.is_ending = true;
    }
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

/// The last connection of a claimant.
#[derive(Clone, Copy, Debug)]
struct LastConnection {
    number: u64,
    /// When it ended, if it has.
    ended_ms: Option<u64>,
}

/// When a claim ends.
enum End {
    /// It has ended.
    Over,
    /// At the latest in so many milliseconds.
    In(u64),
    /// Its claimant goes on with the job.
    Open,
}

/// State of a holder.
#[derive(Debug)]
pub struct ClaimTable {
    /// Claims on each job in the order in which they came. The first one may be granted; the others
    /// wait for its end, since one of them may be granted by other holders.
    claims: HashMap<CallerJobId, Vec<Claim>>,
    /// The last connection of each claimant.
    connections: HashMap<Incarnation, LastConnection>,
    /// When each connected claimant was heard last, later by the time in which this process stood
    /// still since.
    heard_ms: HashMap<Incarnation, u64>,
    ticked_ms: u64,
    /// Claims that an earlier process of this entry has granted are over, or known, by this time.
    grants_from_ms: u64,
    limits: ClaimLimits,
}

impl ClaimTable {
    /// Creates the table of an entry that has granted nothing before.
    #[must_use]
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            claims: HashMap::new(),
            connections: HashMap::new(),
            heard_ms: HashMap::new(),
            ticked_ms: 0,
            grants_from_ms: 0,
            limits,
        }
    }

    /// Creates the table of an entry that starts again. It grants nothing before the claims that
    /// its process before has granted are over, or claimed again: some entries may be gone by now,
    /// others cut off.
    #[must_use]
    pub fn restarted(limits: ClaimLimits, now_ms: u64) -> Self {
        let grants_from_ms = now_ms + limits.outlast_ms();
        Self { grants_from_ms, ..Self::new(limits) }
    }

    /// Records that no earlier process of this entry has granted anything, so that it grants at once.
    pub fn rule_out_earlier_grants(&mut self) {
        self.grants_from_ms = 0;
    }

    /// How long this entry still grants nothing, in milliseconds.
    #[must_use]
    pub fn waits_ms(&self, now_ms: u64) -> u64 {
        self.grants_from_ms.saturating_sub(now_ms)
    }

    /// Grants a claim for some time, unless another entry has one on the job: then it waits for
    /// that one's end. A claimant that asks again is granted the new time.
    pub fn claim(&mut self, asked: JobClaim, claimant: Incarnation, now_ms: u64) -> AnsweredClaim {
        let JobClaim { job, number, .. } = asked;
        AnsweredClaim { job, number, answer: self.grant(asked, claimant, now_ms) }
    }

    fn grant(&mut self, asked: JobClaim, claimant: Incarnation, now_ms: u64) -> ClaimAnswer {
        let mut queue = self.claims.remove(&asked.job).unwrap_or_default();
        queue.retain(|claim| !matches!(self.end_of(claim, now_ms), End::Over));
        let known = queue.iter().position(|claim| claim.claimant == claimant);
        let is_overtaken = known.is_some_and(|known| queue[known].number > asked.number);
        // A connection that was replaced may deliver an earlier claim.
        let answer = if is_overtaken {
            ClaimAnswer::Held
        } else if let Some(earlier) = known.map(|known| &mut queue[known])
            && earlier.may_have_runs_beside(&asked)
        {
            earlier.end_by(now_ms + self.limits.outlast_ms());
            ClaimAnswer::Ending { in_ms: whole(earlier.ends_ms - now_ms) }
        } else if !self.is_kept(known.map(|known| &queue[known]), asked.standing, now_ms) {
            ClaimAnswer::NotKept
        } else {
            let before = known.map(|known| queue.remove(known));
            let same = before.filter(|claim| claim.number == asked.number);
            let is_granted = asked.standing != ClaimStanding::New;
            let claim = Claim {
                claimant,
                number: asked.number,
                ends_ms: now_ms + asked.for_ms,
                claimed_ms: same.map_or(now_ms, |claim| claim.claimed_ms),
                is_granted,
                granted_ms: before.and_then(|claim| claim.granted_ms),
                is_ending: false,
            };
            let is_first = queue.first().is_none_or(|first| is_granted && !first.is_granted);
            let place = if is_first { 0 } else { known.unwrap_or(queue.len()) };
            queue.insert(place, claim);
            self.answer(&mut queue, claimant, now_ms)
        };
        if !queue.is_empty() {
            self.claims.insert(asked.job, queue);
        }
        answer
    }

    /// Whether this holder may answer for a claim. For a renewed one, it must have granted it before
    /// another entry could be granted the job after the last confirmation, and to nobody else since.
    fn is_kept(&self, known: Option<&Claim>, standing: ClaimStanding, now_ms: u64) -> bool {
        let ClaimStanding::Renewed { confirmed_ago_ms } = standing else { return true };
        let granted_ms = known.and_then(|claim| claim.granted_ms);
        let is_early =
            |granted_ms: u64| granted_ms + confirmed_ago_ms <= now_ms + self.limits.give_up_ms;
        granted_ms.is_some_and(is_early)
    }

    /// Answers one of the claims on a job.
    fn answer(&self, queue: &mut [Claim], claimant: Incarnation, now_ms: u64) -> ClaimAnswer {
        let Some(first) = queue.first_mut() else { return ClaimAnswer::Held };
        if first.claimant != claimant {
            return match self.end_of(first, now_ms) {
                End::In(in_ms) => ClaimAnswer::Ending { in_ms: whole(in_ms) },
                End::Open | End::Over => ClaimAnswer::Held,
            };
        }
        first.is_granted |= now_ms >= self.grants_from_ms;
        if first.is_granted {
            first.granted_ms.get_or_insert(now_ms);
            ClaimAnswer::Granted
        } else {
            ClaimAnswer::NotYet { in_ms: whole(self.grants_from_ms - now_ms) }
        }
    }

    /// Ends a claim after the time that its claimant names, or when it ends anyway.
    pub fn release(&mut self, release: ClaimRelease, claimant: Incarnation, now_ms: u64) {
        let Some(queue) = self.claims.get_mut(&release.job) else { return };
        let is_released =
            |claim: &&mut Claim| claim.claimant == claimant && claim.number <= release.number;
        for claim in queue.iter_mut().filter(is_released) {
            claim.end_by(now_ms + release.after_ms);
        }
    }

    /// Records a connection of a claimant, by its number, over which the claimant claims its jobs
    /// again. What it may have given up over an earlier one ends as on a disconnect. A connection
    /// that a later one has overtaken changes nothing.
    pub fn connected(&mut self, claimant: Incarnation, connection: u64, now_ms: u64) {
        if self.is_overtaken(claimant, connection) {
            return;
        }
        self.connections.insert(claimant, LastConnection { number: connection, ended_ms: None });
        self.shorten(claimant, now_ms);
        self.heard_ms.entry(claimant).or_insert(now_ms);
    }

    /// Whether a claimant has made a later connection than this one. What comes over this one then is
    /// of before, and the claimant knows of no answer to it.
    #[must_use]
    pub fn is_overtaken(&self, claimant: Incarnation, connection: u64) -> bool {
        self.connections.get(&claimant).is_some_and(|last| last.number > connection)
    }

    /// Records that a claimant still wants its jobs.
    pub fn heard(&mut self, claimant: Incarnation, now_ms: u64) {
        self.heard_ms.insert(claimant, now_ms);
    }

    /// When a claim of another entry ends. It is about to end if only the longest time of runs is
    /// left of it, its claimant is not connected, or has been silent for so long that it may stand
    /// still or be cut off.
    fn end_of(&self, claim: &Claim, now_ms: u64) -> End {
        let silence_ms = self.silence_ms(claim, now_ms);
        let silent_from_ms = self.limits.outlast_ms() + SILENCE_SLACK_MS;
        let left_ms = claim.ends_ms.saturating_sub(now_ms);
        if left_ms == 0 || silence_ms >= silent_from_ms {
            End::Over
        } else if claim.is_ending || left_ms <= self.limits.run_over_ms {
            End::In(left_ms)
        } else if silence_ms >= self.limits.silent_from_ms {
            End::In(left_ms.min(silent_from_ms - silence_ms))
        } else {
            End::Open
        }
    }

    /// Time since the claimant of a claim was heard, or the claim came.
    fn silence_ms(&self, claim: &Claim, now_ms: u64) -> u64 {
        let Some(&heard_ms) = self.heard_ms.get(&claim.claimant) else { return 0 };
        // What came while this process stood still is not read yet.
        let own_stall_ms = own_stall_ms(self.ticked_ms, now_ms);
        now_ms.saturating_sub(heard_ms.max(claim.claimed_ms) + own_stall_ms)
    }

    /// Records the end of a connection. A claimant whose last one it was may be gone, or can't
    /// reach this holder: its claims end when it has given them up and its runs are over, unless it
    /// claims the jobs again.
    pub fn disconnected(&mut self, claimant: Incarnation, connection: u64, now_ms: u64) {
        let last = self.connections.get_mut(&claimant);
        if let Some(last) = last.filter(|last| last.number == connection) {
            last.ended_ms = Some(now_ms);
            self.heard_ms.remove(&claimant);
            self.shorten(claimant, now_ms);
        }
    }

    fn shorten(&mut self, claimant: Incarnation, now_ms: u64) {
        let over_ms = now_ms + self.limits.outlast_ms();
        let claims = self.claims.values_mut().flatten();
        claims.filter(|claim| claim.claimant == claimant).for_each(|claim| claim.end_by(over_ms));
    }

    /// Forgets claims that have ended.
    pub fn tick(&mut self, now_ms: u64) {
        let stall_ms = own_stall_ms(self.ticked_ms, now_ms);
        self.heard_ms.values_mut().for_each(|heard_ms| *heard_ms += stall_ms);
        self.ticked_ms = now_ms;
        let is_recent = |ended_ms: u64| now_ms < ended_ms + REMEMBER_CONNECTION_MS;
        self.connections.retain(|_, last| last.ended_ms.is_none_or(is_recent));
        self.claims.retain(|_, queue| {
            queue.retain(|claim| claim.ends_ms > now_ms);
            !queue.is_empty()
        });
    }

    /// The entry that has the claim on a job.
    #[must_use]
    pub fn owner(&self, job: CallerJobId, now_ms: u64) -> Option<ClaimOwner> {
        let Claim { claimant, number, .. } = *self.claims.get(&job)?.first()?;
        let heard_ms = self.heard_ms.get(&claimant).copied().unwrap_or(now_ms);
        Some(ClaimOwner { claimant, number, silent_ms: now_ms.saturating_sub(heard_ms) })
    }

    /// Number of claims of an entry.
    #[must_use]
    pub fn count_of(&self, claimant: Incarnation) -> usize {
        self.claims.values().flatten().filter(|claim| claim.claimant == claimant).count()
    }

    /// Number of jobs with claims.
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

fn whole(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Returns for how long this process has stood still since the last look at what is due.
fn own_stall_ms(ticked_ms: u64, now_ms: u64) -> u64 {
    let pause_ms = now_ms.saturating_sub(ticked_ms);
    if pause_ms > MAX_CALM_PAUSE_MS { pause_ms } else { 0 }
}
