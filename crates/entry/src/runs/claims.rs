//! Claims on jobs over connections between entries.
//!
//! An entry connects to a holder for its first claim there and keeps the connection. The holder
//! hears it as long as it has claims of it. A connection on which a message stays unanswered is
//! replaced, and the claims that the holder should have are sent again over the new one.

use {
    super::{JobService, query::is_process_gone, voters},
    parking_lot::Mutex,
    std::{
        collections::{HashMap, VecDeque},
        fmt,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    sycamorerail_clock::Clock,
    sycamorerail_decide::{
        claims::{ClaimDecision, ClaimLimits, ClaimRequest, ClaimTable, Claims},
        dispatch::{Dispatch, DispatchLimits, ReleasedJob},
        receipts,
        voters::VotersAnswer,
    },
    sycamorerail_telemetry::{build, event},
    sycamorerail_wire::{
        frames::{self, FrameError, FrameReader, FrameWriter},
        ids::Incarnation,
        runs::{
            AnsweredClaim, CallerJobId, ClaimAnswer, ClaimAnswers, ClaimRelease, ClaimRequests,
            ClaimantHello, RunsFirstMessage, StepPlacement, VoterList,
        },
    },
    tokio::{
        sync::{Notify, watch},
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// Time for a connection to another entry: fifty times the way there and back between data centres.
const CONNECT_WITHIN: Duration = Duration::from_millis(150);
/// Time for an answer, after which the connection counts as silent. The holder may wait for its
/// share of a processor, which is given out each 100 ms.
const ANSWER_WITHIN: Duration = Duration::from_millis(120);
/// Longest time for an answer of a holder that has left several connections unanswered.
const MAX_ANSWER_WITHIN: Duration = Duration::from_millis(960);
/// Pause between connection attempts to a holder that is lost.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// A holder closes a connection on which it has heard nothing for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time in which claimants are told that this entry ends.
const LEAVE_WITHIN: Duration = Duration::from_millis(20);
/// Pause between messages to a holder that has claims of this entry. Claims of jobs that have run
/// are given up with the next one: their callers come again later than that.
const BEAT_MS: u64 = 100;

/// Claims of this entry and of others.
pub(super) struct ClaimLinks {
    /// Locked after the dispatch.
    claims: Mutex<Claims>,
    /// Locked after the claims.
    table: Mutex<ClaimTable>,
    /// Connections to holders.
    holders: Mutex<HashMap<SocketAddr, Arc<Holder>>>,
    limits: ClaimLimits,
    /// Up to when this process has handled what was due. Agents acknowledge nothing later, so that
    /// the runs of a job that is given up are over a while after it.
    handled_ms: AtomicU64,
    /// When holders were last sent what is sent from time to time.
    beat_ms: AtomicU64,
    /// Number of connections to holders so far.
    connections: AtomicU64,
    /// Whether this entry is about to end as planned.
    leaving: watch::Sender<bool>,
    /// The list of voters among which claims have their holders. It follows the one in force with
    /// the next pass. Locked after the claims.
    list: Mutex<Option<Arc<VoterList>>>,
}

/// Messages on their way to a holder.
#[derive(Default)]
struct Holder {
    requests: Mutex<ClaimRequests>,
    filled: Notify,
}

impl Holder {
    fn release(&self, release: ClaimRelease, is_ending: bool) {
        let mut requests = self.requests.lock();
        if is_ending {
            // Releases go before the claims of the same message.
            let unsent = requests.claims.iter_mut().filter(|claim| claim.job == release.job);
            unsent.for_each(|claim| claim.for_ms = claim.for_ms.min(release.after_ms));
        } else {
            requests.claims.retain(|claim| claim.job != release.job);
        }
        requests.releases.push(release);
    }
}

impl ClaimLinks {
    pub(super) fn new(limits: &DispatchLimits) -> Self {
        let DispatchLimits { run_over_ms, owner_timeout_ms, heartbeat_ms, .. } = *limits;
        let limits = ClaimLimits::new(run_over_ms, owner_timeout_ms, heartbeat_ms);
        Self {
            claims: Mutex::new(Claims::new(limits)),
            table: Mutex::new(ClaimTable::new(limits)),
            holders: Mutex::default(),
            limits,
            handled_ms: AtomicU64::new(0),
            beat_ms: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            leaving: watch::Sender::default(),
            list: Mutex::default(),
        }
    }

    /// The list of voters among which claims have their holders.
    fn list(&self) -> Option<Arc<VoterList>> {
        self.list.lock().clone()
    }

    pub(super) fn set_list(&self, list: Option<Arc<VoterList>>) {
        *self.list.lock() = list;
    }

    /// Up to when this process has handled what was due.
    pub(super) fn handled_ms(&self) -> u64 {
        self.handled_ms.load(Ordering::Relaxed)
    }

    pub(super) fn limits(&self) -> ClaimLimits {
        self.limits
    }

    /// Lets holders hear of this entry that have claims of it, or of claims that it gives up.
    fn beat(&self, claims: &Claims, now_ms: u64) {
        if now_ms < self.beat_ms.load(Ordering::Relaxed) + BEAT_MS {
            return;
        }
        self.beat_ms.store(now_ms, Ordering::Relaxed);
        let holders = self.holders.lock();
        let is_heard = |(holder, link): &(&SocketAddr, &Arc<Holder>)| {
            claims.has_claims_at(**holder)
                || claims.is_voteless(**holder)
                || !link.requests.lock().releases.is_empty()
        };
        for (_, link) in holders.iter().filter(is_heard) {
            link.requests.lock().is_current = true;
            link.filled.notify_one();
        }
    }
}

impl JobService {
    /// Grants no claims until those are over that an earlier process of this entry may have
    /// granted.
    pub(super) fn wait_for_earlier_claims(&self) {
        *self.claims.table.lock() = ClaimTable::restarted(self.claims.limits, self.now_ms());
    }

    /// Grants claims at once, as there was no earlier process of this entry.
    pub(super) fn rule_out_earlier_claims(&self) {
        self.claims.table.lock().rule_out_earlier_grants();
    }

    /// How long this entry still grants no claims, in milliseconds.
    pub(super) fn grants_in_ms(&self) -> u64 {
        self.claims.table.lock().waits_ms(self.now_ms())
    }

    /// Tells claimants that this entry ends as planned. It answers no claims any more.
    pub async fn leave(&self) {
        self.claims.leaving.send_replace(true);
        // Connections that have not been told in time end with the process.
        let _ = timeout(LEAVE_WITHIN, self.claims.leaving.closed()).await;
    }

    /// Whether a majority of a job's holders may grant it to this entry.
    pub(super) fn can_be_claimed(&self, job: CallerJobId, now_ms: u64) -> bool {
        let has_vote = self.votes_for_itself(now_ms);
        let mut claims = self.claims.claims.lock();
        let list = self.claims.list();
        claims.set_vote(self.settings.own, has_vote, now_ms);
        claims.can_be_granted(job, voters::sets(list.as_deref()), now_ms)
    }

    /// Whether this entry votes on its own claims: by the list among which these have their holders.
    fn votes_for_itself(&self, now_ms: u64) -> bool {
        self.votes_on(self.claims.list().map_or(0, |list| list.number), now_ms)
    }

    /// Whether this entry can't reach most voters, or knows too little of them.
    pub(super) fn is_apart(&self) -> bool {
        if self.voters.electorate().is_unsettled() {
            return true;
        }
        let list = self.claims.list();
        let sets = voters::sets(list.as_deref());
        self.claims.claims.lock().is_apart(sets, self.clock.now_ms())
    }

    /// Claims a job that was just accepted.
    pub(super) fn begin_claim(
        self: &Arc<Self>,
        dispatch: &mut Dispatch,
        job: CallerJobId,
        deadline_ms: u64,
        now_ms: u64,
    ) {
        let mut claims = self.claims.claims.lock();
        let list = self.claims.list();
        let requests = claims.begin(job, voters::sets(list.as_deref()), deadline_ms, now_ms);
        let decided = self.send_claims(&mut claims, requests, now_ms);
        drop(claims);
        self.apply(dispatch, decided, now_ms);
    }

    /// Sends claims to their holders, of which this entry may be one.
    fn send_claims(
        self: &Arc<Self>,
        claims: &mut Claims,
        requests: Vec<ClaimRequest>,
        now_ms: u64,
    ) -> Vec<(CallerJobId, ClaimDecision)> {
        let mut decided = Vec::new();
        for ClaimRequest { holder, claim } in requests {
            if holder == self.settings.own {
                let has_vote = self.votes_for_itself(now_ms);
                let mut answer = self.claims.table.lock().claim(claim, self.incarnation, now_ms);
                if has_vote {
                    claims.confirmed(holder, now_ms);
                } else {
                    answer.answer = ClaimAnswer::NoVote;
                }
                let decision = claims.answered(answer, holder, now_ms);
                decided.extend(decision.map(|decision| (claim.job, decision)));
                continue;
            }
            let link = self.holder(holder);
            link.requests.lock().claims.push(claim);
            link.filled.notify_one();
        }
        decided
    }

    fn apply(
        &self,
        dispatch: &mut Dispatch,
        decided: Vec<(CallerJobId, ClaimDecision)>,
        now_ms: u64,
    ) {
        for (job, decision) in decided {
            let Some(key) = dispatch.find_job(job) else { continue };
            match decision {
                ClaimDecision::Granted => {
                    self.log_grant(job);
                    dispatch.claim_granted(key, now_ms);
                }
                ClaimDecision::Denied { holder } => {
                    event!(Info, "job_claim_denied", job = job, holder = holder);
                    metrics::counter!("sycamorerail_claims_denied_total").increment(1);
                    dispatch.claim_denied(key);
                }
                ClaimDecision::Postponed => dispatch.claim_postponed(key),
            }
        }
    }

    /// Logs which holders have granted a claim.
    fn log_grant(&self, job: CallerJobId) {
        let Some(state) = self.claims.claims.lock().state(job) else { return };
        let voter_list = self.claims.list();
        event!(
            Info,
            "job_claim_granted",
            job = job,
            claim = state.number,
            granted_by = list(&state.granted_by),
            others = list_others(&state.others),
            confirmed_ago_ms = self.clock.now_ms().saturating_sub(state.confirmed_ms),
            voters = voters::sets(voter_list.as_deref()).voters().count(),
            voters_number = voter_list.as_ref().map_or(0, |list| list.number),
        );
    }

    /// Logs an order with the claim that it rests on.
    pub(super) fn log_placement(&self, agent: &str, placement: &StepPlacement, before: &str) {
        let claim = self.claims.claims.lock().state(placement.job);
        let now_ms = self.clock.now_ms();
        event!(
            Info,
            "tasks_placed",
            build = build::code(),
            job = placement.job,
            claim = claim.as_ref().map_or(0, |claim| claim.number),
            confirmed_ago_ms = claim.map_or(0, |claim| now_ms.saturating_sub(claim.confirmed_ms)),
            voters_number = self.voters_number(),
            agent = agent,
            step = placement.step,
            tasks = placement.tasks.len(),
            last_run = placement.tasks.iter().map(|task| task.run).max().unwrap_or(0),
            before = before,
        );
    }

    /// Stops the placement of jobs whose claims no majority has confirmed lately, and resumes that
    /// of others, before a pass over what is due.
    pub(super) fn hold_claims(&self, dispatch: &mut Dispatch, now_ms: u64) {
        let (held, resumed) = self.claims.claims.lock().take_holds(now_ms);
        for job in held {
            event!(Info, "job_claim_unconfirmed", job = job);
            dispatch.find_job(job).into_iter().for_each(|key| dispatch.hold_claim(key));
        }
        for job in resumed {
            let key = dispatch.find_job(job);
            key.into_iter().for_each(|key| dispatch.claim_granted(key, now_ms));
        }
    }

    /// Takes no vote of before a stall for one any more.
    pub(super) fn suspend_claims(&self, dispatch: &mut Dispatch, now_ms: u64) {
        dispatch.suspend_claims();
        self.claims.claims.lock().suspend(now_ms);
    }

    /// Gives up the claims of jobs that have ended.
    pub(super) fn release_claims(&self, dispatch: &mut Dispatch) {
        for job in dispatch.take_released() {
            let now_ms = self.clock.now_ms();
            if job.may_run {
                log_release(dispatch, &job, now_ms);
            }
            let mut claims = self.claims.claims.lock();
            let over_ms =
                self.claims.handled_ms.load(Ordering::Relaxed) + self.claims.limits.run_over_ms;
            let ended =
                if job.is_ending { claims.end_by(job.id, over_ms) } else { claims.end(job.id) };
            drop(claims);
            let Some((number, holders)) = ended else { continue };
            let may_run = job.is_ending || job.may_run;
            let after_ms = if may_run { over_ms.saturating_sub(now_ms) } else { 0 };
            let release = ClaimRelease { job: job.id, number, after_ms };
            for holder in holders {
                if holder == self.settings.own {
                    let mut table = self.claims.table.lock();
                    table.release(release, self.incarnation, now_ms);
                } else if let Some(link) = self.claims.holders.lock().get(&holder) {
                    link.release(release, job.is_ending);
                    if job.is_ending || !job.may_have_run {
                        link.filled.notify_one();
                    }
                }
            }
        }
    }

    /// Claims all jobs again after this process has stood still.
    fn claim_again(self: &Arc<Self>, dispatch: &mut Dispatch, now_ms: u64) {
        let mut claims = self.claims.claims.lock();
        let requests = claims.claim_again(now_ms);
        let decided = self.send_claims(&mut claims, requests, now_ms);
        drop(claims);
        self.apply(dispatch, decided, now_ms);
    }

    /// Does what is due by time, so many passes after this process has stood still. Returns whether
    /// what agents have sent so far may be acknowledged.
    pub(super) fn tick_claims(
        self: &Arc<Self>,
        voters: &mut watch::Receiver<Option<Arc<VoterList>>>,
        passes: usize,
    ) -> bool {
        let is_changed = voters.has_changed().unwrap_or(false);
        let list = voters.borrow_and_update().clone();
        if passes >= receipts::PASSES {
            self.contact_voters();
        }
        self.change(|dispatch, now_ms| {
            let mut claims = self.claims.claims.lock();
            self.claims.table.lock().tick(now_ms);
            if passes >= receipts::PASSES {
                self.claims.handled_ms.store(now_ms, Ordering::Relaxed);
                self.claims.beat(&claims, now_ms);
            }
            let mut decided = Vec::new();
            if is_changed {
                self.claims.set_list(list.clone());
                let requests = claims.set_entries(voters::sets(list.as_deref()), now_ms);
                decided.extend(self.send_claims(&mut claims, requests, now_ms));
            }
            let has_vote = self.votes_for_itself(now_ms);
            claims.set_vote(self.settings.own, has_vote, now_ms);
            if has_vote {
                claims.confirmed(self.settings.own, now_ms);
            }
            let (granted, requests) = claims.tick(now_ms);
            decided.extend(granted.into_iter().map(|job| (job, ClaimDecision::Granted)));
            decided.extend(self.send_claims(&mut claims, requests, now_ms));
            let denied = claims.denied(now_ms).into_iter();
            decided.extend(denied.map(|(job, holder)| (job, ClaimDecision::Denied { holder })));
            // After a stall claims are claimed again below before any counts as lapsed.
            let lapsed =
                if passes > receipts::PASSES { claims.take_lapsed(now_ms) } else { Vec::new() };
            drop(claims);
            self.apply(dispatch, decided, now_ms);
            self.give_up_lapsed(dispatch, lapsed);
            if passes == receipts::PASSES {
                self.claim_again(dispatch, now_ms);
            }
            now_ms <= self.claims.claims.lock().acknowledge_until_ms()
        })
    }

    /// Gives up jobs whose claims are not confirmed.
    fn give_up_lapsed(&self, dispatch: &mut Dispatch, lapsed: Vec<CallerJobId>) {
        for job in lapsed {
            let Some(key) = dispatch.find_job(job) else { continue };
            event!(Info, "job_claim_lapsed", job = job);
            metrics::counter!("sycamorerail_claims_lapsed_total").increment(1);
            dispatch.claim_lapsed(key);
        }
    }

    /// The connection to a holder, which is made if there is none.
    fn holder(self: &Arc<Self>, address: SocketAddr) -> Arc<Holder> {
        let mut holders = self.claims.holders.lock();
        let new = || {
            let link = Arc::<Holder>::default();
            tokio::spawn(keep_connected(Arc::clone(self), address, Arc::clone(&link)));
            link
        };
        Arc::clone(holders.entry(address).or_insert_with(new))
    }

    /// Takes a holder's answers to a message. Returns whether it has left other claims unanswered.
    fn claims_answered(
        self: &Arc<Self>,
        holder: SocketAddr,
        answers: ClaimAnswers,
        contact_ms: Option<u64>,
    ) -> bool {
        let of_voters = VotersAnswer {
            number: answers.voters_number,
            has_word: answers.has_word,
            vouches: answers.vouches,
        };
        let ClaimAnswers { answers, is_leaving, voters, has_vote, .. } = answers;
        if let Some(list) = voters {
            self.voters_told(list);
        } else if !is_leaving {
            self.tell_voters(holder, of_voters.number);
        }
        if let Some(sent_ms) = contact_ms {
            self.voters.electorate().answered(holder, of_voters, sent_ms);
        }
        let confirmed_ms = contact_ms.filter(|_| has_vote);
        self.change(|dispatch, now_ms| {
            let mut claims = self.claims.claims.lock();
            if is_leaving {
                event!(Info, "claim_holder_left", holder = holder);
                claims.holder_left(holder, now_ms);
            } else {
                claims.holder_reached(holder);
                claims.set_vote(holder, has_vote, now_ms);
                confirmed_ms.into_iter().for_each(|sent_ms| claims.confirmed(holder, sent_ms));
            }
            let decision = |answer: AnsweredClaim| {
                Some((answer.job, claims.answered(answer, holder, now_ms)?))
            };
            let decided = answers.into_iter().filter_map(decision).collect();
            let is_pending = claims.is_pending(holder);
            drop(claims);
            self.apply(dispatch, decided, now_ms);
            is_pending
        })
    }

    fn holder_lost(self: &Arc<Self>, holder: SocketAddr, is_gone: bool, end: &LinkEnd) {
        let now_ms = self.clock.now_ms();
        let mut claims = self.claims.claims.lock();
        if !claims.is_lost(holder) {
            event!(
                Info,
                "claim_holder_lost",
                build = build::code(),
                holder = holder,
                up_ms = now_ms,
                voters_number = self.voters_number(),
                has_vote = self.may_vote(now_ms),
                is_gone = is_gone,
                error = end,
            );
        }
        claims.holder_lost(holder, is_gone, now_ms);
    }

    /// Sends the list of voters with the next message to a holder that has an earlier one.
    fn tell_voters(&self, holder: SocketAddr, holders_number: u64) {
        let newer = self.voters.list().filter(|list| holders_number < list.number);
        if let Some(list) = newer
            && let Some(link) = self.claims.holders.lock().get(&holder)
        {
            link.requests.lock().voters = Some((*list).clone());
            link.filled.notify_one();
        }
    }

    /// Asks other voters for their lists, if this entry needs their word to vote.
    fn contact_voters(self: &Arc<Self>) {
        for entry in self.due_contacts(self.now_ms()) {
            let link = self.holder(entry);
            link.requests.lock().is_current = true;
            link.filled.notify_one();
        }
    }

    fn is_voter(&self, address: SocketAddr) -> bool {
        voters::sets(self.voters.list().as_deref()).contains(address)
    }

    /// Ends the link to a holder without claims, unless the holder is lost: then it is tried
    /// again, as long as it is a member.
    fn forget_idle_holder(&self, holder: SocketAddr, link: &Holder) -> bool {
        let mut claims = self.claims.claims.lock();
        let mut holders = self.claims.holders.lock();
        let is_needed =
            claims.has_claims_at(holder) || claims.is_lost(holder) && self.is_voter(holder);
        // Claims are queued under the lock of the claims.
        let is_idle = !is_needed && link.requests.lock().claims.is_empty();
        if is_idle {
            holders.remove(&holder);
            // It counts as reachable, and as one with a vote, when it is asked again.
            claims.holder_reached(holder);
            claims.set_vote(holder, true, self.clock.now_ms());
        }
        is_idle
    }
}

/// Keeps the connection to a holder as long as there are claims for it.
async fn keep_connected(service: Arc<JobService>, holder: SocketAddr, link: Arc<Holder>) {
    let mut answer_within = ANSWER_WITHIN;
    loop {
        let end = match frames::connect(holder, CONNECT_WITHIN).await {
            Ok((reader, writer)) => {
                let connection = Connection { reader, writer, answer_within };
                connection.claim_on(&service, holder, &link).await
            }
            Err(error) => LinkEnd::Lost { is_gone: is_process_gone(&error) },
        };
        match end {
            LinkEnd::Closed { answered: true } => answer_within = ANSWER_WITHIN,
            LinkEnd::Closed { answered: false } => {
                service.holder_lost(holder, false, &end);
                sleep(RECONNECT_PAUSE).await;
            }
            LinkEnd::Silent { answered } => {
                let next = if answered { ANSWER_WITHIN } else { answer_within * 2 };
                answer_within = next.min(MAX_ANSWER_WITHIN);
                service.holder_lost(holder, false, &end);
            }
            LinkEnd::Lost { is_gone } => {
                service.holder_lost(holder, is_gone, &end);
                sleep(RECONNECT_PAUSE).await;
            }
        }
        if service.forget_idle_holder(holder, &link) {
            return;
        }
    }
}

/// How a connection to a holder ended.
#[derive(Clone, Copy, Debug)]
enum LinkEnd {
    /// It was closed, or broke.
    Closed {
        /// Whether the holder has answered on it before.
        answered: bool,
    },
    /// Claims were left unanswered.
    Silent {
        /// Whether the holder has answered on it before.
        answered: bool,
    },
    /// None could be made.
    Lost {
        /// Whether nobody listens there.
        is_gone: bool,
    },
}

impl fmt::Display for LinkEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Closed { .. } => "the connection was closed",
            Self::Silent { .. } => "claims were left unanswered",
            Self::Lost { is_gone: true } => "the port refuses connections",
            Self::Lost { is_gone: false } => "no connection could be made",
        })
    }
}

/// A connection to a holder.
struct Connection {
    reader: FrameReader,
    writer: FrameWriter,
    /// Time for an answer.
    answer_within: Duration,
}

impl Connection {
    /// Sends claims and takes the answers until the connection ends or is silent.
    async fn claim_on(
        mut self,
        service: &Arc<JobService>,
        holder: SocketAddr,
        link: &Holder,
    ) -> LinkEnd {
        let Ok(is_current) = begin_on(service, holder, link, &mut self.writer) else {
            return LinkEnd::Closed { answered: false };
        };
        // When each message was sent that the holder has not answered yet; `None` if the message
        // did not tell it that this entry still wants its claims.
        let sent_ms = |is_current: bool| is_current.then(|| service.clock.now_ms());
        let mut unanswered = VecDeque::from([sent_ms(is_current)]);
        let answer_at = |within| Instant::now() + within;
        let mut answer_by = Some(answer_at(self.answer_within));
        let mut answered = false;
        loop {
            match timeout(MAX_ANSWER_WITHIN, self.writer.flush()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return LinkEnd::Closed { answered },
                Err(_) => return LinkEnd::Silent { answered },
            }
            tokio::select! {
                biased;
                answers = self.reader.next::<ClaimAnswers>() => {
                    let Ok(answers) = answers else { return LinkEnd::Closed { answered } };
                    let contact_ms = unanswered.pop_front().flatten();
                    let is_pending = service.claims_answered(holder, answers, contact_ms);
                    answer_by = is_pending.then(|| answer_at(ANSWER_WITHIN));
                    (answered, self.answer_within) = (true, ANSWER_WITHIN);
                }
                () = link.filled.notified() => {
                    let mut requests = std::mem::take(&mut *link.requests.lock());
                    requests.voters_number = service.claims.list().map_or(0, |list| list.number);
                    unanswered.push_back(sent_ms(requests.is_current));
                    answer_by.get_or_insert_with(|| answer_at(self.answer_within));
                    if self.writer.push(&requests).is_err() {
                        return LinkEnd::Closed { answered };
                    }
                }
                () = sleep_until(answer_by.unwrap_or_else(Instant::now)), if answer_by.is_some() => {
                    return LinkEnd::Silent { answered };
                }
            }
        }
    }
}

/// Queues the first messages of a connection. Returns whether they tell the holder that this entry
/// still wants its claims.
fn begin_on(
    service: &JobService,
    holder: SocketAddr,
    link: &Holder,
    writer: &mut FrameWriter,
) -> Result<bool, FrameError> {
    let hello = ClaimantHello {
        incarnation: service.incarnation,
        entry: service.settings.own,
        connection: service.claims.connections.fetch_add(1, Ordering::Relaxed),
        sent_unix_ms: Clock::unix_ms(),
    };
    writer.push(&RunsFirstMessage::Claimant(hello))?;
    let claims = service.claims.claims.lock();
    let renewals = claims.renewals(holder, service.clock.now_ms());
    let mut requests = std::mem::take(&mut *link.requests.lock());
    requests.claims = renewals.into_iter().map(|renewal| renewal.claim).collect();
    requests.voters_number = service.claims.list().map_or(0, |list| list.number);
    writer.push(&requests)?;
    Ok(requests.is_current)
}

/// Logs a connection of a claimant, and how long it may have waited before it was read.
fn log_claimant(service: &JobService, hello: &ClaimantHello, peer: SocketAddr) {
    event!(
        Info,
        "claimant_connected",
        build = build::code(),
        claimant = hello.incarnation,
        entry = hello.entry,
        peer = peer,
        connection = hello.connection,
        waited_ms = service.unhandled_ms(),
        // With the difference between the clocks of the two.
        sent_ago_ms = Clock::unix_ms().saturating_sub(hello.sent_unix_ms),
    );
}

/// Answers the claims of another entry.
pub(super) async fn answer(
    service: &Arc<JobService>,
    hello: ClaimantHello,
    peer: SocketAddr,
    mut reader: FrameReader,
    mut writer: FrameWriter,
) {
    log_claimant(service, &hello, peer);
    let ClaimantHello { incarnation: claimant, entry, connection, .. } = hello;
    let table = &service.claims.table;
    table.lock().connected(claimant, connection, service.now_ms());
    let mut heard_ms = service.now_ms();
    // For the log: after a cut, messages that it has held up arrive together with the end of the
    // connection, so that the last silence is short.
    let mut longest_silence_ms = 0;
    let mut leaving = service.claims.leaving.subscribe();
    let end = loop {
        let next = timeout(IDLE_TIMEOUT, reader.next::<ClaimRequests>());
        let answers = tokio::select! {
            biased;
            // The service holds the sender.
            _ = leaving.wait_for(|leaving| *leaving) => {
                ClaimAnswers { is_leaving: true, ..ClaimAnswers::default() }
            }
            next = next => match next {
                Ok(Ok(requests)) => {
                    let now_ms = service.now_ms();
                    longest_silence_ms = longest_silence_ms.max(now_ms.saturating_sub(heard_ms));
                    heard_ms = now_ms;
                    service.grant((claimant, connection), requests)
                }
                Ok(Err(error)) => break error,
                Err(_) => break FrameError::Broken(peer, std::io::ErrorKind::TimedOut.into()),
            },
        };
        // An answer without claims shows that this process reads.
        let sent = match writer.push(&answers) {
            Ok(()) => writer.flush().await,
            Err(error) => Err(error),
        };
        if let Err(error) = sent {
            break error;
        }
        if answers.is_leaving {
            break FrameError::Closed(peer);
        }
    };
    let now_ms = service.now_ms();
    let mut table = table.lock();
    table.disconnected(claimant, connection, now_ms);
    let claims = table.count_of(claimant);
    drop(table);
    event!(
        Info,
        "claimant_disconnected",
        build = build::code(),
        claimant = claimant,
        entry = entry,
        up_ms = now_ms,
        voters_number = service.voters_number(),
        has_vote = service.may_vote(now_ms),
        silent_ms = now_ms.saturating_sub(heard_ms),
        longest_silence_ms = longest_silence_ms,
        claims = claims,
        peer = peer,
        error = end,
    );
}

impl JobService {
    fn grant(
        &self,
        (claimant, connection): (Incarnation, u64),
        requests: ClaimRequests,
    ) -> ClaimAnswers {
        let ClaimRequests { claims, releases, is_current, voters_number, voters } = requests;
        if let Some(list) = voters {
            self.voters_told(list);
        }
        let now_ms = self.now_ms();
        let list = self.voters.list();
        let number = list.as_ref().map_or(0, |list| list.number);
        let has_vote = self.votes_on(voters_number, now_ms);
        let VotersAnswer { has_word, vouches, .. } = self.voters.electorate().answer(now_ms);
        let mut table = self.claims.table.lock();
        // Jobs of which the claimant may not know any more are not claimed for it.
        let is_overtaken = table.is_overtaken(claimant, connection);
        if is_current && !is_overtaken {
            table.heard(claimant, now_ms);
        }
        for release in releases {
            table.release(release, claimant, now_ms);
        }
        let claims = claims.into_iter().filter(|_| !is_overtaken);
        let answers = claims.map(|claim| {
            let mut answered = table.claim(claim, claimant, now_ms);
            if answered.answer == ClaimAnswer::Held
                && let Some(owner) = table.owner(claim.job, now_ms)
            {
                event!(
                    Info,
                    "job_claim_held",
                    job = claim.job,
                    claimant = claimant,
                    held_by = owner.claimant,
                    claim = owner.number,
                    silent_ms = owner.silent_ms,
                );
            }
            if !has_vote {
                answered.answer = ClaimAnswer::NoVote;
            }
            answered
        });
        ClaimAnswers {
            answers: answers.collect(),
            is_leaving: false,
            voters_number: number,
            voters: list.filter(|_| voters_number < number).as_deref().cloned(),
            has_vote,
            has_word,
            vouches,
        }
    }
}

/// Logs a job whose runs may go on as its entry ends or removes it, with their agents.
fn log_release(dispatch: &Dispatch, job: &ReleasedJob, now_ms: u64) {
    let name = |agent| dispatch.agent_silence(agent, now_ms).map_or("unknown", |(name, _)| name);
    let agents: Vec<_> = job.agents.iter().map(|agent| name(*agent)).collect();
    event!(
        Info,
        "job_released_running",
        build = build::code(),
        job = job.id,
        is_ending = job.is_ending,
        count = agents.len(),
        agents = agents.join(","),
    );
}

fn list_others(others: &[(SocketAddr, &str)]) -> String {
    let others = others.iter().map(|(holder, reason)| format!("{holder}:{reason}"));
    others.collect::<Vec<_>>().join(",")
}

fn list(entries: &[SocketAddr]) -> String {
    entries.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(",")
}
