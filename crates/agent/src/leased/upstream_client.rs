//! Interface to an upstream that runs tasks under leases.

use {
    futures::future::BoxFuture,
    std::fmt,
    sycamorerail_decide::ledger::{LeaseAnswer, StartAnswer, StartOrder},
    sycamorerail_wire::runs::{InstanceId, TaskKey},
};

/// The instance that a call addresses, with the fence (fencing token) of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedTarget {
    /// Instance of the upstream that must carry out the call.
    pub instance: InstanceId,
    /// The upstream refuses calls whose fence is lower than the highest it has seen.
    pub fence: u64,
}

/// Renewal of the lease under which all runs of an upstream execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRenewal {
    /// New end of the lease by the upstream's clock; `None` leaves the lease unchanged.
    pub lease_until_clock_ms: Option<u64>,
    /// The upstream need not report ends up to this number again.
    pub acknowledged_through: u64,
    /// How long the upstream may delay its answer to wait for an end.
    pub wait_ms: u32,
}

/// Why a call to the upstream failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// An upstream with another id answered.
    OtherInstance,
    /// The upstream has seen a higher fence.
    Fenced {
        /// The upstream's clock in its answer.
        clock_ms: u64,
    },
    /// The connection was refused: the upstream's process is gone, or does not listen.
    NoListener,
    /// No complete answer arrived in time.
    TimedOut(String),
    /// The connection ended before a complete answer arrived.
    ConnectionLost(String),
    /// The answer had an unexpected status or could not be decoded.
    UnexpectedAnswer(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherInstance => f.write_str("an upstream with another id answered"),
            Self::Fenced { clock_ms } => {
                write!(f, "refused by a higher fence at upstream clock {clock_ms} ms")
            }
            Self::NoListener => f.write_str("connection refused"),
            Self::TimedOut(why) => write!(f, "no answer: {why}"),
            Self::ConnectionLost(why) => write!(f, "connection lost: {why}"),
            Self::UnexpectedAnswer(why) => write!(f, "unexpected answer: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Calls to one upstream.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Starts a run of a task.
    fn start_run(&self, target: FencedTarget, order: StartOrder) -> BoxFuture<'_, StartAnswer>;
    /// Stops a run, or ensures that it never starts.
    fn stop_run(
        &self,
        target: FencedTarget,
        task: TaskKey,
        run: u32,
    ) -> BoxFuture<'_, Result<(), CallError>>;
    /// Renews the lease and returns the running and the ended runs.
    fn renew_lease(
        &self,
        target: FencedTarget,
        renewal: LeaseRenewal,
    ) -> BoxFuture<'_, Result<LeaseAnswer, CallError>>;
}
