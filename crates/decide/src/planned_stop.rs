//! Parts of an entry's planned stop, and when each of them ends.
//!
//! The platform kills the process at the end of its grace period, together with the requests that
//! it is answering. Every part therefore ends at a time, not after a number of checks. A process
//! that waits for a processor gets to each step late, so that it begins the last parts earlier by
//! the delays that it has seen.

use crate::dispatch::STOP_ANSWER_MS;

/// Interval of the checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;
/// Interval once the time for the last answers is over, in milliseconds.
const LAST_CHECK_INTERVAL_MS: u64 = 5;
/// Time until the load balancer has noticed that the entry is not ready, in milliseconds. It checks
/// once a second and removes the entry after two failed checks; until then it sends connections.
const BALANCER_NOTICE_MS: u64 = 2_600;
/// Time within which jobs that are given up have their answers written, in milliseconds: the
/// decision, the entry's next check of what is due, and the way to the caller.
const LAST_ANSWERS_MS: u64 = STOP_ANSWER_MS + 100;
/// Part of the grace period that is kept for a stall at the very end, in milliseconds. Such a stall
/// comes unannounced, and what is not answered before it is cut.
const STALL_RESERVE_MS: u64 = 400;
/// Reserve for each millisecond of recent delay: the jobs end late by one delay, and the process by
/// another one.
const RESERVE_PER_DELAY: u64 = 2;
/// Largest reserve for delays, in milliseconds. With more, a stall early in the stop would give up
/// jobs that can end.
const MAX_DELAY_RESERVE_MS: u64 = 1_000;
/// Part of the grace period for the exit of the process, in milliseconds.
const EXIT_MS: u64 = 100;
/// Number of consecutive checks without a request in flight after which a part is complete; they
/// take 160 ms. While less than half of a data centre's entries are ready, the load balancer sends
/// to all of them, and a connection that it has just opened gets its first request within this
/// time. Checks are counted instead of time because a process that was suspended has not read its
/// connections meanwhile.
const QUIET_CHECKS: u32 = 8;
/// The same once the time for the last answers is over. Each check comes after all connections
/// with a request were read.
const LAST_QUIET_CHECKS: u32 = 2;
/// Checks after which the stop ends beside requests in flight, if its time is over.
const LAST_CHECKS: u32 = 16;

/// Part of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPart {
    /// The load balancer has not noticed the stop yet. Everything is served.
    Leaving,
    /// Idle connections are closed, and jobs are served that can end in time.
    Closing,
    /// New connections are refused, and the last answers are written.
    Refusing,
    /// The process ends.
    Over,
}

/// Requests and connections of the entry's callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Requests in flight.
    pub in_flight: usize,
    /// Requests received so far.
    pub received: u64,
    /// Open connections.
    pub connections: usize,
    /// Whether more connections may come.
    pub is_listening: bool,
}

/// A planned stop of an entry.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    began_ms: u64,
    grace_ms: u64,
    part: StopPart,
    received: u64,
    quiet_checks: u32,
    /// Number of checks since the time for the last answers was over.
    last_checks: u32,
}

impl PlannedStop {
    /// Begins a stop that was requested at `began_ms`. The process is killed `grace_ms` later.
    #[must_use]
    pub fn new(began_ms: u64, grace_ms: u64) -> Self {
        Self {
            began_ms,
            grace_ms,
            part: StopPart::Leaving,
            received: 0,
            quiet_checks: 0,
            last_checks: 0,
        }
    }

    /// Time until which jobs may run, given the recent delay of the process.
    #[must_use]
    pub fn jobs_end_ms(&self, delay_ms: u64) -> u64 {
        let delay_reserve_ms = (delay_ms * RESERVE_PER_DELAY).min(MAX_DELAY_RESERVE_MS);
        let reserve_ms = LAST_ANSWERS_MS + STALL_RESERVE_MS + EXIT_MS + delay_reserve_ms;
        self.began_ms + self.grace_ms.saturating_sub(reserve_ms)
    }

    /// Time left until the process is killed, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        (self.began_ms + self.grace_ms).saturating_sub(now_ms)
    }

    /// Checks the traffic. Returns the part that the stop is in from now on.
    pub fn check(&mut self, traffic: Traffic, delay_ms: u64, now_ms: u64) -> StopPart {
        self.count_quiet_checks(traffic);
        let jobs_end_ms = self.jobs_end_ms(delay_ms);
        let is_quiet = self.quiet_checks >= QUIET_CHECKS;
        let next = match self.part {
            StopPart::Leaving if now_ms >= jobs_end_ms => StopPart::Refusing,
            StopPart::Leaving if now_ms >= self.began_ms + BALANCER_NOTICE_MS => StopPart::Closing,
            StopPart::Closing if is_quiet || now_ms >= jobs_end_ms => StopPart::Refusing,
            StopPart::Refusing => {
                self.count_last_check(now_ms);
                let is_over = is_quiet || self.is_answered(traffic) || self.is_out_of_time(now_ms);
                if is_over { StopPart::Over } else { StopPart::Refusing }
            }
            part => part,
        };
        if next != self.part {
            self.part = next;
            self.quiet_checks = 0;
        }
        next
    }

    /// Time until the next check, in milliseconds.
    #[must_use]
    pub fn check_interval_ms(&self) -> u64 {
        if self.last_checks > 0 { LAST_CHECK_INTERVAL_MS } else { CHECK_INTERVAL_MS }
    }

    fn count_quiet_checks(&mut self, traffic: Traffic) {
        let is_quiet = traffic.in_flight == 0 && traffic.received == self.received;
        self.quiet_checks = if is_quiet { self.quiet_checks + 1 } else { 0 };
        self.received = traffic.received;
    }

    fn count_last_check(&mut self, now_ms: u64) {
        if now_ms >= self.end_ms().saturating_sub(STALL_RESERVE_MS) {
            self.last_checks += 1;
        }
    }

    /// Whether nothing is left to answer.
    fn is_answered(&self, traffic: Traffic) -> bool {
        let is_gone = !traffic.is_listening && traffic.connections == 0;
        is_gone || (self.last_checks > 0 && self.quiet_checks >= LAST_QUIET_CHECKS)
    }

    /// Whether the process has to end beside requests in flight.
    fn is_out_of_time(&self, now_ms: u64) -> bool {
        now_ms >= self.end_ms() && self.last_checks >= LAST_CHECKS
    }

    fn end_ms(&self) -> u64 {
        self.began_ms + self.grace_ms.saturating_sub(EXIT_MS)
    }
}
