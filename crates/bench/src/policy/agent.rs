//! A modelled agent: the real ledger beside a modelled upstream, with renewals and reports
//! timed as in the program.

use {
    super::{
        clock::{MS, Micros, millis},
        upstream::Upstream,
    },
    sycamorerail_decide::ledger::{
        LeaseAnswer, Ledger, LedgerLimits, StartOrder, is_significant_change,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            FromRunsAgent, InstanceId, Resources, RunReport, TaskKey, UpstreamInstance,
            UpstreamLoad,
        },
    },
};

/// The name of the one pool.
pub const POOL: &str = "pool";
const MEMORY_MB: u32 = u32::MAX;
/// Heartbeat of a link without other messages.
const HEARTBEAT_INTERVAL: Micros = 200 * MS;
/// How long the upstream may delay its answer to a renewal to wait for an end.
const RENEWAL_WAIT: Micros = 40 * MS;
/// Once an answer is overdue by this much, another renewal is sent.
const ANSWER_OVERDUE: Micros = 20 * MS;
/// Most renewals in flight at once.
const MAX_IN_FLIGHT: usize = 4;
/// Pause after an answer with ends, so that one answer reports further ends together.
const END_BATCH_PAUSE: Micros = 3 * MS;

/// A renewal that waits at the upstream for an end.
#[derive(Clone, Copy, Debug)]
pub struct Renewal {
    /// Its number.
    pub number: u64,
    /// When it was sent.
    pub sent: Micros,
    /// Highest end acknowledged by it.
    pub acknowledged: u64,
    /// How long it may wait.
    pub wait: Micros,
}

/// An agent's link to an entry.
#[derive(Clone, Debug, Default)]
struct Link {
    /// The entry's run, once there is a connection.
    entry: Option<Incarnation>,
    heard: u64,
    reported_up_to: u64,
    load: Option<UpstreamLoad>,
    next_load_at: Micros,
    heartbeat_at: Micros,
}

/// Orders of an agent to its upstream.
#[derive(Debug, Default)]
pub struct Orders {
    /// Starts to send.
    pub starts: Vec<StartOrder>,
    /// Stops to send.
    pub stops: Vec<(TaskKey, u32)>,
}

/// One agent with its upstream.
#[derive(Debug)]
pub struct ModelAgent {
    /// The real decisions.
    pub ledger: Ledger,
    /// Its upstream.
    pub upstream: Upstream,
    /// Number of the upstream's current instance.
    pub life: u64,
    /// Renewals that wait at the upstream.
    pub waiting: Vec<Renewal>,
    capacity: Resources,
    links: Vec<Link>,
    /// Shortest time between two loads reported on a link.
    load_pause: Micros,
    renewals: u64,
    in_flight: usize,
    renew_at: Micros,
    /// Number of the scheduled renewal; those with lower numbers were replaced.
    renewal_turn: u64,
}

impl ModelAgent {
    /// Creates an agent whose upstream has just been announced.
    pub fn new(cpu_milli: u32, speed: f64, entries: usize, load_pause: Micros) -> Self {
        let mut agent = Self {
            ledger: Ledger::new(LedgerLimits::default()),
            upstream: Upstream::new(speed),
            life: 0,
            waiting: Vec::new(),
            capacity: Resources { cpu_milli, memory_mb: MEMORY_MB, accelerators: 0 },
            links: vec![Link::default(); entries],
            load_pause,
            renewals: 0,
            in_flight: 0,
            renew_at: 0,
            renewal_turn: 0,
        };
        agent.announce();
        agent
    }

    /// Announces the upstream's current instance.
    pub fn announce(&mut self) {
        let life = self.life();
        self.ledger.set_upstream(life);
    }

    /// The upstream's current instance.
    pub fn life(&self) -> UpstreamInstance {
        UpstreamInstance {
            id: InstanceId::without_start(&self.life.to_string()),
            order_fence: 0,
            pool: POOL.to_owned(),
            capacity: self.capacity,
            labels: Vec::new(),
            leaving: false,
        }
    }

    /// Loses the upstream with all of its runs.
    pub fn lose_upstream(&mut self) {
        self.life += 1;
        self.upstream.leave();
        self.waiting.clear();
    }

    /// Connects to a run of an entry.
    pub fn connect(&mut self, entry: usize, run: Incarnation, now: Micros) {
        let link = &mut self.links[entry];
        if let Some(before) = link.entry.replace(run).filter(|before| *before != run) {
            self.ledger.drop_owner(before);
        }
        *link = Link { entry: Some(run), heard: 1, heartbeat_at: now, ..Link::default() };
        self.ledger.note_owner_contact(run, millis(now));
    }

    /// Counts a message from an entry. Returns false if there is no link to this run of it.
    pub fn count_message(&mut self, entry: usize, run: Incarnation) -> bool {
        let link = &mut self.links[entry];
        let is_present = link.entry == Some(run);
        link.heard += u64::from(is_present);
        is_present
    }

    /// Returns the orders that are due.
    pub fn take_orders(&mut self, now: Micros) -> Orders {
        let now_ms = millis(now);
        let starts = std::iter::from_fn(|| self.ledger.next_start(now_ms)).collect();
        let stops = self.ledger.stops_due(now_ms);
        self.ledger.take_decisions();
        Orders { starts, stops }
    }

    /// Returns the report that is due to an entry, if any, and when the next one may be.
    pub fn report(&mut self, entry: usize, now: Micros) -> (Option<FromRunsAgent>, Micros) {
        let load = self.ledger.load(millis(now));
        let link = &mut self.links[entry];
        let Some(run) = link.entry else { return (None, now + HEARTBEAT_INTERVAL) };
        let reports = self.ledger.reports(run);
        let reports: Vec<RunReport> =
            reports.into_iter().filter(|report| report.number > link.reported_up_to).collect();
        let is_changed = link.load.is_none_or(|told| is_significant_change(&told, &load));
        let load_due = is_changed && now >= link.next_load_at;
        if reports.is_empty() && !load_due && now < link.heartbeat_at {
            let next = if is_changed {
                link.next_load_at.min(link.heartbeat_at)
            } else {
                link.heartbeat_at
            };
            return (None, next);
        }
        link.reported_up_to = reports.last().map_or(link.reported_up_to, |report| report.number);
        link.load = Some(load);
        link.next_load_at = now + self.load_pause;
        link.heartbeat_at = now + HEARTBEAT_INTERVAL;
        let report = FromRunsAgent::Report { heard: link.heard, reports, load };
        (Some(report), link.heartbeat_at)
    }

    /// Returns the renewal that is due, if any.
    pub fn renewal_due(&mut self, now: Micros) -> Option<Renewal> {
        if now < self.renew_at || self.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        self.renew_at = now + RENEWAL_WAIT + ANSWER_OVERDUE;
        Some(self.renewal(RENEWAL_WAIT, now))
    }

    /// Returns a renewal that is not scheduled, unless too many are in flight. Its answer lists the
    /// runs at once.
    pub fn renew_now(&mut self, now: Micros) -> Option<Renewal> {
        (self.in_flight < MAX_IN_FLIGHT).then(|| self.renewal(0, now))
    }

    fn renewal(&mut self, wait: Micros, now: Micros) -> Renewal {
        self.renewals += 1;
        self.in_flight += 1;
        let acknowledged = self.ledger.last_acknowledged_end();
        Renewal { number: self.renewals, sent: now, acknowledged, wait }
    }

    /// When the next renewal is due.
    pub fn renew_at(&self) -> Micros {
        self.renew_at
    }

    /// Replaces the scheduled renewal. Returns when the new one is due, and its number.
    pub fn reschedule_renewal(&mut self) -> (Micros, u64) {
        self.renewal_turn += 1;
        (self.renew_at, self.renewal_turn)
    }

    /// Whether the renewal is the scheduled one.
    pub fn is_renewal_turn(&self, turn: u64) -> bool {
        self.renewal_turn == turn
    }

    /// Handles the answer to a renewal, or its timeout. Returns whether the next renewal is due
    /// earlier than scheduled.
    pub fn renewed(&mut self, life: u64, answer: Option<LeaseAnswer>, now: Micros) -> bool {
        self.in_flight -= 1;
        let Some(mut answer) = answer.filter(|_| life == self.life) else { return false };
        answer.instance = self.ledger.current_instance().cloned().unwrap_or_default();
        let pause = if answer.ended.is_empty() { 0 } else { END_BATCH_PAUSE };
        let is_earlier = now + pause < self.renew_at;
        self.renew_at = self.renew_at.min(now + pause);
        self.ledger.handle_renewal_answer(&answer, millis(now));
        is_earlier
    }
}
