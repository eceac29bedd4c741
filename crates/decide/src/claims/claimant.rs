//! Claims of this entry, on their way or granted.

use {
    super::{ClaimLimits, holders},
    std::{collections::HashMap, net::SocketAddr},
    sycamorerail_wire::runs::{CallerJobId, ClaimAnswer},
};

/// Longest time between two looks that counts towards the patience of a claim, in milliseconds. A
/// process that stood still has not read the answers of that time.
const MAX_WAIT_STEP_MS: u64 = 40;

/// A claim to be sent to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The holder.
    pub holder: SocketAddr,
    /// The job.
    pub job: CallerJobId,
    /// Time for which the claim is requested, in milliseconds.
    pub for_ms: u64,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This entry may run the job.
    Granted,
    /// Another entry has it.
    Denied {
        /// The entry that says so.
        holder: SocketAddr,
    },
}

/// What a holder has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vote {
    /// Nothing yet.
    Pending,
    /// It grants nothing before this time.
    NotYet { until_ms: u64 },
    /// It has granted the claim.
    Granted,
    /// Its process is gone.
    Gone,
}

#[derive(Debug)]
struct Claim {
    votes: Vec<(SocketAddr, Vote)>,
    /// When runs of the job are over at the latest.
    ends_ms: u64,
    /// How long it has been undecided, less the time in which this process stood still.
    waited_ms: u64,
    is_granted: bool,
}

impl Claim {
    /// Whether enough holders have granted the claim. Holders that are gone have no vote.
    fn is_decided(&self, limits: &ClaimLimits) -> bool {
        let count = |wanted| self.votes.iter().filter(|(_, vote)| *vote == wanted).count();
        let (granted, gone) = (count(Vote::Granted), count(Vote::Gone));
        let voting = self.votes.len() - gone;
        let is_patient = self.waited_ms < limits.patience_ms;
        granted * 2 > voting || !is_patient && (granted > 0 || voting == 0)
    }
}

/// A holder that can't be reached.
#[derive(Clone, Copy, Debug)]
struct LostHolder {
    since_ms: u64,
    /// Whether its process is gone.
    is_gone: bool,
}

/// State of an entry that claims jobs.
#[derive(Debug)]
pub struct Claims {
    limits: ClaimLimits,
    claims: HashMap<CallerJobId, Claim>,
    lost: HashMap<SocketAddr, LostHolder>,
    looked_ms: u64,
}

impl Claims {
    /// Creates the state of an entry without claims.
    #[must_use]
    pub fn new(limits: ClaimLimits) -> Self {
        Self { limits, claims: HashMap::new(), lost: HashMap::new(), looked_ms: 0 }
    }

    /// Begins a claim on a job whose caller waits until `deadline_ms`. Returns what to ask the
    /// holders among `entries`. Those that have been lost for so long that the claims which they
    /// granted are over are no holders.
    pub fn begin(
        &mut self,
        job: CallerJobId,
        entries: &[SocketAddr],
        deadline_ms: u64,
        now_ms: u64,
    ) -> Vec<ClaimRequest> {
        let ends_ms = deadline_ms + self.limits.run_over_ms;
        let is_holder = |entry: &&SocketAddr| {
            let lost = self.lost.get(entry);
            lost.is_none_or(|lost| now_ms < lost.since_ms + self.limits.forget_holder_ms)
        };
        let entries: Vec<_> = entries.iter().filter(is_holder).copied().collect();
        let first_vote = |holder| {
            let is_gone = self.lost.get(&holder).is_some_and(|lost| lost.is_gone);
            (holder, if is_gone { Vote::Gone } else { Vote::Pending })
        };
        let votes: Vec<_> = holders(job, &entries).into_iter().map(first_vote).collect();
        let for_ms = ends_ms.saturating_sub(now_ms);
        let requests =
            votes.iter().map(|&(holder, _)| ClaimRequest { holder, job, for_ms }).collect();
        self.claims.insert(job, Claim { votes, ends_ms, waited_ms: 0, is_granted: false });
        requests
    }

    /// Records a holder's answer. Returns the decision, if it is made by this answer.
    pub fn answered(
        &mut self,
        job: CallerJobId,
        holder: SocketAddr,
        answer: ClaimAnswer,
        now_ms: u64,
    ) -> Option<ClaimDecision> {
        let vote = match answer {
            ClaimAnswer::Granted => Vote::Granted,
            ClaimAnswer::NotYet { in_ms } => Vote::NotYet { until_ms: now_ms + u64::from(in_ms) },
            ClaimAnswer::Held => {
                // A granted claim is not taken back: its tasks may run.
                let claim = self.claims.get(&job)?;
                return (!claim.is_granted).then_some(ClaimDecision::Denied { holder });
            }
        };
        self.record(job, holder, vote)
    }

    /// Records that a holder is reached again.
    pub fn holder_reached(&mut self, holder: SocketAddr) {
        self.lost.remove(&holder);
    }

    /// Whether a holder can't be reached.
    #[must_use]
    pub fn is_lost(&self, holder: SocketAddr) -> bool {
        self.lost.contains_key(&holder)
    }

    /// Records that a holder can't be reached, and whether its process is gone. Returns the claims
    /// that are granted by that.
    pub fn holder_lost(
        &mut self,
        holder: SocketAddr,
        is_gone: bool,
        now_ms: u64,
    ) -> Vec<CallerJobId> {
        let lost = self.lost.entry(holder);
        lost.or_insert(LostHolder { since_ms: now_ms, is_gone }).is_gone = is_gone;
        if !is_gone {
            return Vec::new();
        }
        let jobs: Vec<_> = self.claims.keys().copied().collect();
        let is_granted = |job: &CallerJobId| {
            self.record(*job, holder, Vote::Gone) == Some(ClaimDecision::Granted)
        };
        jobs.into_iter().filter(is_granted).collect()
    }

    fn record(
        &mut self,
        job: CallerJobId,
        holder: SocketAddr,
        vote: Vote,
    ) -> Option<ClaimDecision> {
        let claim = self.claims.get_mut(&job)?;
        let (_, known) = claim.votes.iter_mut().find(|(of, _)| *of == holder)?;
        *known = vote;
        if claim.is_granted {
            return None;
        }
        claim.is_granted = claim.is_decided(&self.limits);
        claim.is_granted.then_some(ClaimDecision::Granted)
    }

    /// Returns the claims that count as granted by now without the answers of all holders, and
    /// what to ask holders again that can answer now.
    pub fn tick(&mut self, now_ms: u64) -> (Vec<CallerJobId>, Vec<ClaimRequest>) {
        let step_ms = (now_ms - self.looked_ms.min(now_ms)).min(MAX_WAIT_STEP_MS);
        self.looked_ms = now_ms;
        let (mut granted, mut requests) = (Vec::new(), Vec::new());
        for (&job, claim) in &mut self.claims {
            for (holder, vote) in &mut claim.votes {
                if matches!(*vote, Vote::NotYet { until_ms } if until_ms <= now_ms) {
                    *vote = Vote::Pending;
                    let for_ms = claim.ends_ms.saturating_sub(now_ms);
                    requests.push(ClaimRequest { holder: *holder, job, for_ms });
                }
            }
            if claim.is_granted {
                continue;
            }
            claim.waited_ms += step_ms;
            claim.is_granted = claim.is_decided(&self.limits);
            if claim.is_granted {
                granted.push(job);
            }
        }
        (granted, requests)
    }

    /// Returns the claims to send again to a holder, over a new connection.
    #[must_use]
    pub fn renewals(&self, holder: SocketAddr, now_ms: u64) -> Vec<ClaimRequest> {
        let is_holder = |claim: &Claim| claim.votes.iter().any(|(of, _)| *of == holder);
        let claims = self.claims.iter().filter(|(_, claim)| is_holder(claim));
        let renewal = |(&job, claim): (&CallerJobId, &Claim)| {
            let for_ms = claim.ends_ms.saturating_sub(now_ms);
            ClaimRequest { holder, job, for_ms }
        };
        claims.map(renewal).collect()
    }

    /// Ends a claim. Returns the holders to tell.
    pub fn end(&mut self, job: CallerJobId) -> Vec<SocketAddr> {
        let votes = self.claims.remove(&job).map_or_else(Vec::new, |claim| claim.votes);
        votes.into_iter().map(|(holder, _)| holder).collect()
    }

    /// Whether a holder has not answered a claim.
    #[must_use]
    pub fn is_pending(&self, holder: SocketAddr) -> bool {
        let mut votes = self.claims.values().flat_map(|claim| &claim.votes);
        votes.any(|vote| *vote == (holder, Vote::Pending))
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
