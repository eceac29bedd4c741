//! What an agent asks of an upstream that runs tasks under leases.

use {
    futures::future::BoxFuture,
    std::fmt,
    sycamorerail_decide::ledger::{LeaseAnswer, StartAnswer, StartOrder},
    sycamorerail_wire::runs::{InstanceId, TaskKey},
};

/// On whose behalf a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedTarget {
    /// The upstream's life for which the call is meant.
    pub instance: InstanceId,
    /// The upstream does nothing for a lower number than the highest it saw.
    pub fence: u64,
}

/// Renewal of the lease under which everything on an upstream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRenewal {
    /// On the upstream's clock; `None` leaves the lease as it is.
    pub lease_until_clock_ms: Option<u64>,
    /// Ends up to this number need not be told again.
    pub acknowledged_through: u64,
    /// The answer may wait this long for an end.
    pub wait_ms: u32,
}

/// Why a call to the upstream brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// An upstream of another id answered.
    OtherInstance,
    /// A higher fence was seen.
    Fenced {
        /// The upstream's clock.
        clock_ms: u64,
    },
    /// Nobody listens there: the upstream's process is gone.
    NoListener,
    /// No whole answer came in time.
    TimedOut(String),
    /// The connection ended before the answer.
    ConnectionLost(String),
    /// The answer was none that is expected.
    UnexpectedAnswer(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherInstance => f.write_str("an upstream of another id answered"),
            Self::Fenced { clock_ms } => write!(f, "fenced at its clock {clock_ms} ms"),
            Self::NoListener => f.write_str("nobody listens"),
            Self::TimedOut(why) => write!(f, "no answer: {why}"),
            Self::ConnectionLost(why) => write!(f, "connection broken: {why}"),
            Self::UnexpectedAnswer(why) => write!(f, "unexpected answer: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Calls to one upstream.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Starts a task.
    fn start_run(&self, target: FencedTarget, order: StartOrder) -> BoxFuture<'_, StartAnswer>;
    /// Stops a run, or makes sure that it never starts.
    fn stop_run(
        &self,
        target: FencedTarget,
        task: TaskKey,
        run: u32,
    ) -> BoxFuture<'_, Result<(), CallError>>;
    /// Renews the lease and reads what runs and what ended.
    fn renew_lease(
        &self,
        target: FencedTarget,
        renewal: LeaseRenewal,
    ) -> BoxFuture<'_, Result<LeaseAnswer, CallError>>;
}
