//! Claims of this entry, on their way or granted.

use {
    super::{ClaimLimits, holders},
    std::{collections::HashMap, net::SocketAddr},
    sycamorerail_wire::runs::{AnsweredClaim, CallerJobId, ClaimAnswer, JobClaim},
};

/// Longest time between two looks that counts towards the patience of a claim, in milliseconds. A
/// process that stood still has not read the answers of that time.
const MAX_WAIT_STEP_MS: u64 = 40;

/// A claim to be sent to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The holder.
    pub holder: SocketAddr,
    /// The claim.
    pub claim: JobClaim,
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
    /// Another entry has the job, though this one's claim is granted.
    Held,
    /// Its process was gone before it was asked.
    Absent,
    /// Its process is gone, and may have granted the job to another entry before.
    Lost,
}

#[derive(Debug)]
struct Claim {
    number: u64,
    votes: Vec<(SocketAddr, Vote)>,
    /// When runs of the job are over at the latest.
    ends_ms: u64,
    /// How long it has been undecided, less the time in which this process stood still.
    waited_ms: u64,
    is_granted: bool,
    /// Whether it was granted before this process stood still.
    was_granted: bool,
}

impl Claim {
    fn request(&self, job: CallerJobId, holder: SocketAddr, now_ms: u64) -> ClaimRequest {
        let for_ms = self.ends_ms.saturating_sub(now_ms);
        ClaimRequest {
            holder,
            claim: JobClaim {
                job,
                number: self.number,
                for_ms,
                is_granted: self.is_granted || self.was_granted,
            },
        }
    }

    fn count(&self, wanted: Vote) -> usize {
        self.votes.iter().filter(|(_, vote)| *vote == wanted).count()
    }

    /// Whether enough holders have granted the claim.
    fn is_decided(&self, limits: &ClaimLimits) -> bool {
        let granted = self.count(Vote::Granted);
        let is_new = |(_, vote): &&(_, Vote)| matches!(vote, Vote::NotYet { .. });
        // A holder that has not started lately knows of every claim, as each is sent to all.
        let new = if granted > 0 { self.votes.iter().filter(is_new).count() } else { 0 };
        let voting = self.votes.len() - self.count(Vote::Absent) - new;
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

/// State of a claim, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimState {
    /// Its number.
    pub number: u64,
    /// Holders that have granted it.
    pub granted_by: Vec<SocketAddr>,
    /// Its other holders.
    pub others: Vec<SocketAddr>,
}

/// State of an entry that claims jobs.
#[derive(Debug)]
pub struct Claims {
    limits: ClaimLimits,
    claims: HashMap<CallerJobId, Claim>,
    lost: HashMap<SocketAddr, LostHolder>,
    /// Number of the last claim.
    last_number: u64,
    looked_ms: u64,
}

impl Claims {
    /// Creates the state of an entry without claims.
    #[must_use]
    pub fn new(limits: ClaimLimits) -> Self {
        Self { limits, claims: HashMap::new(), lost: HashMap::new(), last_number: 0, looked_ms: 0 }
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
            (holder, if is_gone { Vote::Absent } else { Vote::Pending })
        };
        let votes: Vec<_> = holders(job, &entries).into_iter().map(first_vote).collect();
        self.last_number += 1;
        let number = self.last_number;
        let claim =
            Claim { number, votes, ends_ms, waited_ms: 0, is_granted: false, was_granted: false };
        let request = |&(holder, _): &_| claim.request(job, holder, now_ms);
        let requests = claim.votes.iter().map(request).collect();
        self.claims.insert(job, claim);
        requests
    }

    /// Records a holder's answer. Returns the decision, if it is made by this answer.
    pub fn answered(
        &mut self,
        AnsweredClaim { job, number, answer }: AnsweredClaim,
        holder: SocketAddr,
        now_ms: u64,
    ) -> Option<ClaimDecision> {
        let claim = self.claims.get(&job).filter(|claim| claim.number == number)?;
        let vote = match answer {
            ClaimAnswer::Granted => Vote::Granted,
            ClaimAnswer::NotYet { in_ms } => Vote::NotYet { until_ms: now_ms + u64::from(in_ms) },
            ClaimAnswer::Held if claim.is_granted => Vote::Held,
            ClaimAnswer::Held => return Some(ClaimDecision::Denied { holder }),
        };
        self.record(job, holder, vote)
    }

    /// Claims all jobs again after this process has stood still: holders may have taken it for lost
    /// and granted a job to another entry. Returns what to ask.
    pub fn claim_again(&mut self, now_ms: u64) -> Vec<ClaimRequest> {
        let mut requests = Vec::new();
        for (&job, claim) in &mut self.claims {
            claim.was_granted |= claim.is_granted;
            claim.is_granted = false;
            claim.waited_ms = 0;
            self.last_number += 1;
            claim.number = self.last_number;
            let votes = claim.votes.iter_mut().filter(|(_, vote)| *vote != Vote::Absent);
            votes.for_each(|(_, vote)| *vote = Vote::Pending);
            requests
                .extend(claim.votes.iter().map(|(holder, _)| claim.request(job, *holder, now_ms)));
        }
        requests
    }

    /// Takes note of other entries: claims that are not decided have the holders that rank first
    /// now. Returns what to ask new ones.
    pub fn set_entries(&mut self, entries: &[SocketAddr], now_ms: u64) -> Vec<ClaimRequest> {
        let mut requests = Vec::new();
        for (&job, claim) in self.claims.iter_mut().filter(|(_, claim)| !claim.is_granted) {
            let ranked = holders(job, entries);
            let is_new = |holder: &SocketAddr| claim.votes.iter().all(|(of, _)| of != holder);
            let new: Vec<_> = ranked.iter().copied().filter(is_new).collect();
            // Those that rank lower now have no vote; they are told of the claim's end.
            for (holder, vote) in &mut claim.votes {
                if !ranked.contains(holder) {
                    *vote = Vote::Absent;
                }
            }
            claim.votes.extend(new.iter().map(|&holder| (holder, Vote::Pending)));
            requests.extend(new.into_iter().map(|holder| claim.request(job, holder, now_ms)));
        }
        requests
    }

    /// Records that a holder is no entry any more, or is reached again.
    pub fn holder_reached(&mut self, holder: SocketAddr) {
        self.lost.remove(&holder);
    }

    /// Whether a holder can't be reached.
    #[must_use]
    pub fn is_lost(&self, holder: SocketAddr) -> bool {
        self.lost.contains_key(&holder)
    }

    /// Records that a holder can't be reached, and whether its process is gone.
    pub fn holder_lost(&mut self, holder: SocketAddr, is_gone: bool, now_ms: u64) {
        let lost = self.lost.entry(holder);
        lost.or_insert(LostHolder { since_ms: now_ms, is_gone }).is_gone = is_gone;
        if !is_gone {
            return;
        }
        let votes = self.claims.values_mut().flat_map(|claim| &mut claim.votes);
        let of_holder = votes.filter(|(of, vote)| *of == holder && *vote != Vote::Absent);
        of_holder.for_each(|(_, vote)| *vote = Vote::Lost);
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
            // The claim has lapsed where this entry could not be heard.
            let is_lapsed = claim.count(Vote::Held) * 2 > claim.votes.len();
            return is_lapsed.then_some(ClaimDecision::Denied { holder });
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
            let mut ask_again = Vec::new();
            for (holder, vote) in &mut claim.votes {
                let is_due = match *vote {
                    // A holder that grants nothing takes note of a granted claim.
                    Vote::NotYet { until_ms } => claim.is_granted || until_ms <= now_ms,
                    // The other entry is about to give its claim up. The holder has to know of
                    // this one, should those that granted it be lost.
                    Vote::Held => true,
                    _ => false,
                };
                if is_due {
                    *vote = Vote::Pending;
                    ask_again.push(*holder);
                }
            }
            requests.extend(ask_again.into_iter().map(|holder| claim.request(job, holder, now_ms)));
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
    pub fn renewals(&mut self, holder: SocketAddr, now_ms: u64) -> Vec<ClaimRequest> {
        let mut renewals = Vec::new();
        for (&job, claim) in &mut self.claims {
            let Some((_, vote)) = claim.votes.iter_mut().find(|(of, _)| *of == holder) else {
                continue;
            };
            if *vote == Vote::Absent {
                *vote = Vote::Pending;
            }
            renewals.push(claim.request(job, holder, now_ms));
        }
        renewals
    }

    /// Whether there are claims that a holder has, or should have.
    #[must_use]
    pub fn has_claims_at(&self, holder: SocketAddr) -> bool {
        let mut votes = self.claims.values().flat_map(|claim| &claim.votes);
        votes.any(|(of, _)| *of == holder)
    }

    /// Ends a claim at some time, unless it ends sooner. Returns its number and the holders to tell.
    pub fn end_by(&mut self, job: CallerJobId, over_ms: u64) -> Option<(u64, Vec<SocketAddr>)> {
        let claim = self.claims.get_mut(&job)?;
        claim.ends_ms = claim.ends_ms.min(over_ms);
        Some((claim.number, claim.votes.iter().map(|(holder, _)| *holder).collect()))
    }

    /// Ends a claim. Returns its number and the holders to tell.
    pub fn end(&mut self, job: CallerJobId) -> Option<(u64, Vec<SocketAddr>)> {
        let Claim { number, votes, .. } = self.claims.remove(&job)?;
        Some((number, votes.into_iter().map(|(holder, _)| holder).collect()))
    }

    /// Whether a holder has not answered a claim.
    #[must_use]
    pub fn is_pending(&self, holder: SocketAddr) -> bool {
        let mut votes = self.claims.values().flat_map(|claim| &claim.votes);
        votes.any(|vote| *vote == (holder, Vote::Pending))
    }

    /// The state of the claim on a job.
    #[must_use]
    pub fn state(&self, job: CallerJobId) -> Option<ClaimState> {
        let claim = self.claims.get(&job)?;
        let with = |is_granted: bool| {
            let votes = claim.votes.iter();
            let wanted = votes.filter(|(_, vote)| (*vote == Vote::Granted) == is_granted);
            wanted.map(|(holder, _)| *holder).collect()
        };
        let (granted_by, others) = (with(true), with(false));
        Some(ClaimState { number: claim.number, granted_by, others })
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
