//! Claims of this entry, on their way or granted.

use {
    super::{ClaimLimits, holders},
    crate::voters::VoterSets,
    std::{cmp::Reverse, collections::HashMap, net::SocketAddr},
    sycamorerail_wire::runs::{
        AnsweredClaim, CallerJobId, ClaimAnswer, ClaimStanding, EntryAddress, JobClaim,
    },
};

/// Pause before a claim is sent again to a holder where another one is about to end, in
/// milliseconds: that one may end sooner than at the latest.
const ENDING_PAUSE_MS: u64 = 100;
/// Pause before a claim is sent again to a holder that has no vote, in milliseconds.
const NO_VOTE_PAUSE_MS: u64 = 100;

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
    /// Another entry has had it, and its claim is about to end.
    Postponed,
}

/// What a holder has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vote {
    /// Nothing yet.
    Pending,
    /// It has started lately, and grants nothing before this time.
    NotYet { until_ms: u64 },
    /// Another entry's claim is about to end there. To be asked again at this time.
    Ending { until_ms: u64 },
    /// It has granted the claim.
    Granted,
    /// Another entry has the job there.
    Held,
    /// It has not kept the claim as this entry stood still.
    NotKept,
    /// It can't tell whether its list of voters is in force. To be asked again at this time.
    Voteless { until_ms: u64 },
}

#[derive(Debug)]
struct Claim {
    number: u64,
    /// Its holders in each set of voters. A majority of each has to grant it.
    holders: Vec<Vec<SocketAddr>>,
    /// Of all holders.
    votes: Vec<(SocketAddr, Vote)>,
    /// Former holders, which know of the claim.
    told: Vec<SocketAddr>,
    /// When holders were asked first, or all of them again.
    asked_ms: u64,
    /// When runs of the job are over at the latest.
    ends_ms: u64,
    /// When a majority was last certain to keep it, or holders were first asked.
    confirmed_ms: u64,
    is_granted: bool,
    /// Whether it was granted before this process stood still.
    was_granted: bool,
    /// Whether its job is given up, or has ended.
    is_given_up: bool,
    /// Whether no task is placed by it until a majority confirms it again.
    is_on_hold: bool,
    /// Whether it had not been granted when this process stood still for so long that another entry
    /// may have been granted the job since, and be done with it.
    is_outlived: bool,
    /// It does not lapse before this time, as holders were asked again after this process stood
    /// still.
    lapses_from_ms: u64,
}

impl Claim {
    /// What to ask a holder. The claimant's word that the claim is granted counts with holders that
    /// have started again: it is given only as long as they can't have granted the job to another
    /// entry.
    fn request(
        &self,
        job: CallerJobId,
        holder: SocketAddr,
        limits: ClaimLimits,
        now_ms: u64,
    ) -> ClaimRequest {
        let for_ms = self.ends_ms.saturating_sub(now_ms);
        let confirmed_ago_ms = now_ms.saturating_sub(self.confirmed_ms);
        let standing = if !self.is_granted && !self.was_granted {
            ClaimStanding::New
        } else if confirmed_ago_ms < limits.give_up_ms {
            ClaimStanding::Granted
        } else {
            ClaimStanding::Renewed { confirmed_ago_ms }
        };
        ClaimRequest { holder, claim: JobClaim { job, number: self.number, for_ms, standing } }
    }

    fn votes_of<'a>(
        &'a self,
        holders: &'a [SocketAddr],
    ) -> impl Iterator<Item = (SocketAddr, Vote)> + 'a {
        let vote_of = |holder| self.votes.iter().find(|(of, _)| of == holder).copied();
        holders.iter().filter_map(vote_of)
    }

    /// Holders of a set that have granted it.
    fn granted_by<'a>(
        &'a self,
        holders: &'a [SocketAddr],
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let granted = self.votes_of(holders).filter(|(_, vote)| *vote == Vote::Granted);
        granted.map(|(holder, _)| holder)
    }

    /// Whether this entry runs the job, as far as the claim tells.
    fn may_run(&self) -> bool {
        (self.is_granted || self.was_granted) && !self.is_given_up
    }

    /// Entries that know of it, or should.
    fn known_to(&self) -> impl Iterator<Item = SocketAddr> {
        self.votes.iter().map(|(holder, _)| *holder).chain(self.told.iter().copied())
    }

    /// Replaces its holders. Votes of former ones are dropped. Returns the new ones, which are to
    /// be asked.
    fn move_to(&mut self, holders: Vec<Vec<SocketAddr>>) -> Vec<SocketAddr> {
        let known: Vec<_> = self.known_to().collect();
        let votes = std::mem::take(&mut self.votes);
        let all = union(&holders);
        let vote_of = |holder: SocketAddr| votes.iter().find(|(of, _)| *of == holder).copied();
        self.votes =
            all.iter().map(|&holder| vote_of(holder).unwrap_or((holder, Vote::Pending))).collect();
        self.told = known.into_iter().filter(|entry| !all.contains(entry)).collect();
        self.holders = holders;
        all.into_iter().filter(|&holder| vote_of(holder).is_none()).collect()
    }

    /// Whether a majority of each set has granted it, and keeps it for long enough.
    fn is_decided(&self, reach: &Reach, now_ms: u64) -> bool {
        let is_granted_by = |holders: &Vec<SocketAddr>| {
            is_majority(self.granted_by(holders).count(), holders)
                || self.casting_vote(holders).is_some()
        };
        !self.holders.is_empty()
            && !self.is_outlived
            && self.holders.iter().all(is_granted_by)
            && now_ms < self.last_confirmed_ms(reach) + reach.limits.grant_within_ms()
    }

    /// Grants it if it is decided. Its tasks are placed then, also of one that was on hold.
    fn decide(&mut self, reach: &Reach, now_ms: u64) -> bool {
        self.is_granted = self.is_decided(reach, now_ms);
        self.is_on_hold &= !self.is_granted;
        self.is_granted
    }

    /// The first holder of two, if it has granted the claim: its vote decides.
    fn casting_vote(&self, holders: &[SocketAddr]) -> Option<SocketAddr> {
        let [first, _] = *holders else { return None };
        self.votes_of(&[first]).any(|(_, vote)| vote == Vote::Granted).then_some(first)
    }

    /// Returns when a majority of each set was last certain to keep it.
    fn last_confirmed_ms(&self, reach: &Reach) -> u64 {
        let by_set = self.holders.iter().map(|holders| self.confirmed_by_ms(holders, reach));
        by_set.min().unwrap_or(0).max(self.confirmed_ms)
    }

    fn confirmed_by_ms(&self, holders: &[SocketAddr], reach: &Reach) -> u64 {
        let contact_ms = |holder| reach.contacts_ms.get(&holder).copied();
        let mut contacts_ms: Vec<_> = self.granted_by(holders).filter_map(contact_ms).collect();
        contacts_ms.sort_unstable_by_key(|&contact_ms| Reverse(contact_ms));
        let by_majority_ms = contacts_ms.get(holders.len() / 2).copied();
        let by_first_ms =
            self.casting_vote(holders).and_then(|holder| reach.contacts_ms.get(&holder));
        by_majority_ms.max(by_first_ms.copied()).unwrap_or(0)
    }

    /// The holder of a set that has the job for another entry, if those that are left can't grant
    /// it. Two copies that come at one time may each hold a part of the holders: one of them has
    /// a majority, or may still get one.
    fn denied_by(&self, reach: &Reach, now_ms: u64) -> Option<SocketAddr> {
        let may_grant = |&(holder, vote): &(SocketAddr, Vote)| {
            let is_reached = vote == Vote::Granted || !reach.is_given_up(holder, now_ms);
            !matches!(vote, Vote::Held | Vote::NotKept) && is_reached
        };
        let held_in = |holders: &Vec<SocketAddr>| {
            let mut votes = self.votes_of(holders);
            let (held_by, _) = votes.find(|(_, vote)| *vote == Vote::Held)?;
            let left = self.votes_of(holders).filter(may_grant).count();
            let has_casting_vote =
                holders.len() == 2 && self.votes_of(&holders[..1]).any(|vote| may_grant(&vote));
            (!has_casting_vote && !is_majority(left, holders)).then_some(held_by)
        };
        self.holders.iter().find_map(held_in)
    }

    /// Whether most holders of a set have the job for another entry.
    fn is_lost(&self) -> bool {
        let is_held = |holders: &Vec<SocketAddr>| {
            let held = self.votes_of(holders).filter(|(_, vote)| *vote == Vote::Held);
            is_majority(held.count(), holders)
        };
        self.holders.iter().any(is_held)
    }
}

/// Whether so many are most of the holders of a set. Nothing takes a holder out of the count: what
/// one has granted that has left, is lost or has started again counts until it is over.
fn is_majority(count: usize, holders: &[SocketAddr]) -> bool {
    count * 2 > holders.len()
}

/// Holders of a job in each set of voters.
fn holders_of(job: CallerJobId, sets: VoterSets) -> Vec<Vec<SocketAddr>> {
    sets.iter().map(|voters| holders(job, voters)).collect()
}

/// All holders in the order of their sets.
fn union(holders: &[Vec<SocketAddr>]) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = Vec::new();
    for &holder in holders.iter().flatten() {
        if !all.contains(&holder) {
            all.push(holder);
        }
    }
    all
}

/// A holder that has left or can't be reached.
#[derive(Clone, Copy, Debug)]
struct LostHolder {
    /// When it left, or could not be reached first.
    since_ms: u64,
    /// Whether it has said that it ends as planned.
    has_left: bool,
}

/// What is known of the holders.
#[derive(Debug)]
struct Reach {
    limits: ClaimLimits,
    lost: HashMap<SocketAddr, LostHolder>,
    /// When the last message was sent that each holder has answered. Holders keep claims for a
    /// while after it.
    contacts_ms: HashMap<SocketAddr, u64>,
    /// Since when holders that are reached have had no vote.
    voteless_ms: HashMap<SocketAddr, u64>,
}

impl Reach {
    /// Whether a holder has not been reached for so long that its vote is not waited for.
    fn is_given_up(&self, holder: SocketAddr, now_ms: u64) -> bool {
        let lost_after_ms = self.limits.lost_after_ms;
        let is_voteless = |since_ms: &u64| now_ms >= since_ms + lost_after_ms;
        if self.voteless_ms.get(&holder).is_some_and(is_voteless) {
            return true;
        }
        let is_gone = |lost: &LostHolder| lost.has_left || now_ms >= lost.since_ms + lost_after_ms;
        self.lost.get(&holder).is_some_and(is_gone)
    }

    /// Whether a holder may soon drop a claim that it was asked for at some time, as it hears nothing
    /// of this entry. Over a connection that lasts nobody would tell.
    fn may_be_dropped(&self, holder: SocketAddr, asked_ms: u64, now_ms: u64) -> bool {
        let contact_ms = self.contacts_ms.get(&holder).copied().unwrap_or(0);
        // Sooner than the claim lasts by the longest stall that a process may not notice.
        now_ms >= contact_ms.max(asked_ms) + self.limits.run_over_ms
    }

    /// Why a holder has not granted a claim, for the log.
    fn reason(&self, holder: SocketAddr, vote: Vote) -> &'static str {
        match (self.lost.get(&holder), vote) {
            (Some(LostHolder { has_left: true, .. }), _) => "left",
            (Some(_), _) => "out_of_reach",
            (None, Vote::Pending) => "not_answered",
            (None, Vote::NotYet { .. }) => "started_lately",
            (None, Vote::Ending { .. }) => "other_claim_ends",
            (None, Vote::Granted) => "granted",
            (None, Vote::Held) => "held",
            (None, Vote::NotKept) => "not_kept",
            (None, Vote::Voteless { .. }) => "no_vote",
        }
    }
}

/// State of a claim, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimState {
    /// Its number.
    pub number: u64,
    /// Holders that have granted it.
    pub granted_by: Vec<SocketAddr>,
    /// Its other holders, and what keeps each of them from having granted it.
    pub others: Vec<(SocketAddr, &'static str)>,
    /// When a majority was last certain to keep it.
    pub confirmed_ms: u64,
}

/// State of an entry that claims jobs.
#[derive(Debug)]
pub struct Claims {
    reach: Reach,
    claims: HashMap<CallerJobId, Claim>,
    /// Number of the last claim.
    last_number: u64,
    /// Since when messages of agents are not acknowledged, as a claim is unconfirmed.
    paused_ms: Option<u64>,
}

impl Claims {
    /// Creates the state of an entry without claims.
    #[must_use]
    pub fn new(limits: ClaimLimits) -> Self {
        let reach = Reach {
            limits,
            lost: HashMap::new(),
            contacts_ms: HashMap::new(),
            voteless_ms: HashMap::new(),
        };
        Self { reach, claims: HashMap::new(), last_number: 0, paused_ms: None }
    }

    /// Begins a claim on a job whose caller waits until `deadline_ms`. Returns what to ask the
    /// holders among the voters.
    pub fn begin<'a>(
        &mut self,
        job: CallerJobId,
        sets: impl Into<VoterSets<'a>>,
        deadline_ms: u64,
        now_ms: u64,
    ) -> Vec<ClaimRequest> {
        let holders = holders_of(job, sets.into());
        let votes = union(&holders).into_iter().map(|holder| (holder, Vote::Pending)).collect();
        self.last_number += 1;
        let claim = Claim {
            number: self.last_number,
            holders,
            votes,
            told: Vec::new(),
            asked_ms: now_ms,
            ends_ms: deadline_ms + self.reach.limits.run_over_ms,
            confirmed_ms: now_ms,
            is_granted: false,
            was_granted: false,
            is_given_up: false,
            is_on_hold: false,
            is_outlived: false,
            lapses_from_ms: now_ms,
        };
        let limits = self.reach.limits;
        let request = |&(holder, _): &_| claim.request(job, holder, limits, now_ms);
        let requests = claim.votes.iter().map(request).collect();
        self.claims.insert(job, claim);
        requests
    }

    /// Whether so many holders of a job can be reached that they may grant it.
    #[must_use]
    pub fn can_be_granted<'a>(
        &self,
        job: CallerJobId,
        sets: impl Into<VoterSets<'a>>,
        now_ms: u64,
    ) -> bool {
        let holders = holders_of(job, sets.into());
        !holders.is_empty() && holders.iter().all(|holders| self.may_decide(holders, now_ms))
    }

    fn may_decide(&self, holders: &[SocketAddr], now_ms: u64) -> bool {
        let is_reached = |holder: &SocketAddr| !self.reach.is_given_up(*holder, now_ms);
        // The first of two has the casting vote.
        if let [first, _] = holders
            && is_reached(first)
        {
            return true;
        }
        is_majority(holders.iter().filter(|holder| is_reached(holder)).count(), holders)
    }

    /// Whether this entry is without contact to most voters, itself included, or knows of none.
    #[must_use]
    pub fn is_apart<'a>(&self, sets: impl Into<VoterSets<'a>>, now_ms: u64) -> bool {
        let sets = sets.into();
        let is_apart_from = |voters: &[EntryAddress]| {
            let is_lost = |voter: &&EntryAddress| self.reach.is_given_up(voter.address, now_ms);
            voters.iter().filter(is_lost).count() * 2 > voters.len()
        };
        sets.iter().next().is_none() || sets.iter().any(is_apart_from)
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
            ClaimAnswer::Ending { .. } if claim.is_granted => Vote::Held,
            ClaimAnswer::Held => Vote::Held,
            ClaimAnswer::Ending { in_ms } => {
                let until_ms = now_ms + u64::from(in_ms).min(ENDING_PAUSE_MS);
                self.record(job, holder, Vote::Ending { until_ms }, now_ms);
                return Some(ClaimDecision::Postponed);
            }
            ClaimAnswer::NotKept => Vote::NotKept,
            ClaimAnswer::NoVote => Vote::Voteless { until_ms: now_ms + NO_VOTE_PAUSE_MS },
        };
        self.record(job, holder, vote, now_ms)
    }

    /// Drops all votes as this process has stood still, and numbers the claims anew, so that answers
    /// of before count for nothing either: holders may have taken this entry for lost and granted a
    /// job to another one. A claim that was not granted, and whose turn may have come after another
    /// entry was done with the job, ends with the next look at lapsed claims.
    pub fn suspend(&mut self, now_ms: u64) {
        let outlast_ms = self.reach.limits.outlast_ms();
        for claim in self.claims.values_mut() {
            claim.was_granted |= claim.is_granted;
            claim.is_granted = false;
            claim.is_outlived |= !claim.was_granted && now_ms >= claim.confirmed_ms + outlast_ms;
            self.last_number += 1;
            claim.number = self.last_number;
            claim.votes.iter_mut().for_each(|(_, vote)| *vote = Vote::Pending);
        }
    }

    /// Claims all jobs again that this process had before it stood still. Returns what to ask.
    pub fn claim_again(&mut self, now_ms: u64) -> Vec<ClaimRequest> {
        self.suspend(now_ms);
        let (limits, mut requests) = (self.reach.limits, Vec::new());
        for (&job, claim) in self.claims.iter_mut().filter(|(_, claim)| !claim.is_outlived) {
            claim.lapses_from_ms = now_ms + self.reach.limits.lost_after_ms;
            claim.asked_ms = now_ms;
            requests.extend(
                claim.votes.iter().map(|(holder, _)| claim.request(job, *holder, limits, now_ms)),
            );
        }
        requests
    }

    /// Takes note of other voters: claims have the holders that rank first among these, and go on
    /// as far as they are granted once new holders have confirmed them. Returns what to send.
    pub fn set_entries<'a>(
        &mut self,
        sets: impl Into<VoterSets<'a>>,
        now_ms: u64,
    ) -> Vec<ClaimRequest> {
        let sets = sets.into();
        let (limits, mut requests) = (self.reach.limits, Vec::new());
        for (&job, claim) in &mut self.claims {
            // What the former holders have confirmed stays so.
            claim.confirmed_ms = claim.last_confirmed_ms(&self.reach);
            let to_ask = claim.move_to(holders_of(job, sets));
            requests.extend(
                to_ask.into_iter().map(|holder| claim.request(job, holder, limits, now_ms)),
            );
        }
        requests
    }

    /// Records that a holder has answered a message of some time.
    pub fn confirmed(&mut self, holder: SocketAddr, sent_ms: u64) {
        let contact_ms = self.reach.contacts_ms.entry(holder).or_default();
        *contact_ms = sent_ms.max(*contact_ms);
    }

    /// Records whether a holder has a vote, as it says.
    pub fn set_vote(&mut self, holder: SocketAddr, has_vote: bool, now_ms: u64) {
        if has_vote {
            self.reach.voteless_ms.remove(&holder);
        } else {
            self.reach.voteless_ms.entry(holder).or_insert(now_ms);
        }
    }

    /// Whether a holder had no vote when it answered last.
    #[must_use]
    pub fn is_voteless(&self, holder: SocketAddr) -> bool {
        self.reach.voteless_ms.contains_key(&holder)
    }

    /// Records that a holder is no entry any more, or is reached again.
    pub fn holder_reached(&mut self, holder: SocketAddr) {
        self.reach.lost.remove(&holder);
    }

    /// Whether a holder can't be reached.
    #[must_use]
    pub fn is_lost(&self, holder: SocketAddr) -> bool {
        self.reach.lost.contains_key(&holder)
    }

    /// Records that a holder can't be reached, and whether nobody listens there: what it has
    /// granted may be forgotten.
    pub fn holder_lost(&mut self, holder: SocketAddr, is_gone: bool, now_ms: u64) {
        self.reach.lost.entry(holder).or_insert(LostHolder { since_ms: now_ms, has_left: false });
        let undecided = self.claims.values_mut().filter(|claim| is_gone && !claim.is_granted);
        let votes = undecided.flat_map(|claim| &mut claim.votes);
        let granted = votes.filter(|(of, vote)| *of == holder && *vote == Vote::Granted);
        granted.for_each(|(_, vote)| *vote = Vote::Pending);
    }

    /// Records that a holder ends as planned, and grants nothing any more.
    pub fn holder_left(&mut self, holder: SocketAddr, now_ms: u64) {
        self.reach.lost.insert(holder, LostHolder { since_ms: now_ms, has_left: true });
    }

    fn record(
        &mut self,
        job: CallerJobId,
        holder: SocketAddr,
        vote: Vote,
        now_ms: u64,
    ) -> Option<ClaimDecision> {
        let claim = self.claims.get_mut(&job)?;
        let (_, known) = claim.votes.iter_mut().find(|(of, _)| *of == holder)?;
        *known = vote;
        if claim.is_granted {
            // Holders that did not hear this entry have granted the job to another one.
            return claim.is_lost().then_some(ClaimDecision::Denied { holder });
        }
        if claim.decide(&self.reach, now_ms) {
            return Some(ClaimDecision::Granted);
        }
        let denied_by = claim.denied_by(&self.reach, now_ms);
        denied_by.map(|holder| ClaimDecision::Denied { holder })
    }

    /// Returns the claims that can't be granted any more, as some holders have the job for another
    /// entry and too many of the others are lost, with one of the former.
    #[must_use]
    pub fn denied(&self, now_ms: u64) -> Vec<(CallerJobId, SocketAddr)> {
        let undecided =
            self.claims.iter().filter(|(_, claim)| !claim.is_granted && !claim.is_given_up);
        let denied = undecided
            .filter_map(|(job, claim)| Some((*job, claim.denied_by(&self.reach, now_ms)?)));
        denied.collect()
    }

    /// Returns the claims that are granted now, as majorities are in contact again, and what to ask
    /// holders again that can answer now.
    pub fn tick(&mut self, now_ms: u64) -> (Vec<CallerJobId>, Vec<ClaimRequest>) {
        let limits = self.reach.limits;
        let (mut granted, mut requests) = (Vec::new(), Vec::new());
        for (&job, claim) in &mut self.claims {
            let mut ask_again = Vec::new();
            for (holder, vote) in &mut claim.votes {
                let is_due = match *vote {
                    // A holder that grants nothing takes note of a granted claim.
                    Vote::NotYet { until_ms } => claim.is_granted || until_ms <= now_ms,
                    Vote::Ending { until_ms } => claim.is_granted || until_ms <= now_ms,
                    Vote::Voteless { until_ms } => until_ms <= now_ms,
                    // The other entry is about to give its claim up. The holder has to know of
                    // this one, should those that granted it be lost.
                    Vote::Held | Vote::NotKept => claim.is_granted,
                    Vote::Granted => self.reach.may_be_dropped(*holder, claim.asked_ms, now_ms),
                    Vote::Pending => false,
                };
                if is_due {
                    *vote = Vote::Pending;
                    ask_again.push(*holder);
                }
            }
            requests.extend(
                ask_again.into_iter().map(|holder| claim.request(job, holder, limits, now_ms)),
            );
            if !claim.is_granted && claim.decide(&self.reach, now_ms) {
                granted.push(job);
            }
        }
        (granted, requests)
    }

    /// Returns the granted jobs to give up, each once: no majority has confirmed their claims
    /// lately, so that another entry may be granted them soon. After this process has stood still,
    /// claims are granted again before.
    pub fn take_lapsed(&mut self, now_ms: u64) -> Vec<CallerJobId> {
        let reach = &self.reach;
        let limits = reach.limits;
        let mark = |(&job, claim): (&CallerJobId, &mut Claim)| {
            claim.is_given_up = true;
            job
        };
        // Kept, as a holder that is back and has a vote again has confirmed nothing yet.
        for claim in self.claims.values_mut() {
            claim.confirmed_ms = claim.last_confirmed_ms(reach);
        }
        let is_paused = now_ms > self.acknowledge_until_ms();
        self.paused_ms = is_paused.then(|| self.paused_ms.unwrap_or(now_ms));
        // Jobs that lose their majorities one after the other share one pause, or agents would take
        // this entry for silent.
        let pause_ms = limits.give_up_ms - limits.margin_ms;
        let is_pause_over = self.paused_ms.is_some_and(|since_ms| now_ms >= since_ms + pause_ms);
        let is_lapsed = |(_, claim): &(&CallerJobId, &mut Claim)| {
            let may_wait_ms = if is_pause_over { limits.margin_ms } else { limits.give_up_ms };
            let is_unconfirmed =
                now_ms >= claim.lapses_from_ms && now_ms >= claim.confirmed_ms + may_wait_ms;
            claim.may_run() && is_unconfirmed || claim.is_outlived && !claim.is_given_up
        };
        self.claims.iter_mut().filter(is_lapsed).map(mark).collect()
    }

    /// Returns the granted jobs of which no task may be placed from now on, as no majority has
    /// confirmed their claims lately, and those that go on. An agent that has just connected would
    /// run a task longer than the claim lasts.
    pub fn take_holds(&mut self, now_ms: u64) -> (Vec<CallerJobId>, Vec<CallerJobId>) {
        let (mut held, mut resumed) = (Vec::new(), Vec::new());
        let running = self.claims.iter_mut().filter(|(_, claim)| claim.may_run());
        for (&job, claim) in running.filter(|(_, claim)| claim.is_granted) {
            claim.confirmed_ms = claim.last_confirmed_ms(&self.reach);
            let is_old = now_ms >= claim.confirmed_ms + self.reach.limits.grant_within_ms();
            let was_on_hold = std::mem::replace(&mut claim.is_on_hold, is_old);
            match (was_on_hold, is_old) {
                (false, true) => held.push(job),
                (true, false) => resumed.push(job),
                _ => {}
            }
        }
        (held, resumed)
    }

    /// Up to when messages of agents may be acknowledged. Runs end so long after the last one that
    /// those of this entry are over as its claims end, also if it is killed, or an agent goes out
    /// of reach.
    #[must_use]
    pub fn acknowledge_until_ms(&self) -> u64 {
        let running = self.claims.values().filter(|claim| claim.may_run());
        let oldest_ms = running.map(|claim| claim.confirmed_ms).min();
        oldest_ms.map_or(u64::MAX, |oldest_ms| oldest_ms + self.reach.limits.margin_ms)
    }

    /// Returns the claims to send again to a holder, over a new connection.
    #[must_use]
    pub fn renewals(&self, holder: SocketAddr, now_ms: u64) -> Vec<ClaimRequest> {
        let of_holder =
            self.claims.iter().filter(|(_, claim)| claim.known_to().any(|entry| entry == holder));
        let limits = self.reach.limits;
        of_holder.map(|(&job, claim)| claim.request(job, holder, limits, now_ms)).collect()
    }

    /// Whether there are claims that a holder has, or should have.
    #[must_use]
    pub fn has_claims_at(&self, holder: SocketAddr) -> bool {
        self.claims.values().any(|claim| claim.known_to().any(|entry| entry == holder))
    }

    /// Ends a claim at some time, unless it ends sooner. Returns its number and the holders to
    /// tell.
    pub fn end_by(&mut self, job: CallerJobId, over_ms: u64) -> Option<(u64, Vec<SocketAddr>)> {
        let claim = self.claims.get_mut(&job)?;
        claim.ends_ms = claim.ends_ms.min(over_ms);
        claim.is_given_up = true;
        Some((claim.number, claim.known_to().collect()))
    }

    /// Ends a claim. Returns its number and the holders to tell.
    pub fn end(&mut self, job: CallerJobId) -> Option<(u64, Vec<SocketAddr>)> {
        let claim = self.claims.remove(&job)?;
        Some((claim.number, claim.known_to().collect()))
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
        let (granted_by, others): (Vec<_>, Vec<_>) =
            claim.votes.iter().partition(|(_, vote)| *vote == Vote::Granted);
        let missing =
            |(holder, vote): (SocketAddr, Vote)| (holder, self.reach.reason(holder, vote));
        Some(ClaimState {
            number: claim.number,
            granted_by: granted_by.into_iter().map(|(holder, _)| holder).collect(),
            others: others.into_iter().map(missing).collect(),
            confirmed_ms: claim.last_confirmed_ms(&self.reach),
        })
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
