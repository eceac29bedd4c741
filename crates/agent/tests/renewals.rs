//! Renewals of the lease for an upstream that has stopped answering.

use {
    futures::future::{BoxFuture, FutureExt, pending, ready},
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
    sycamorerail_agent::leased::{
        CallError, FencedTarget, LeaseRenewal, LeasedAgent, LeasedAgentSettings, UpstreamClient,
    },
    sycamorerail_decide::{
        ledger::{EndKind, LeaseAnswer, LedgerLimits, RunEnd, StartAnswer, StartOrder},
        links::LinkLimits,
    },
    sycamorerail_wire::runs::{CallerJobId, InstanceId, Resources, TaskKey, UpstreamInstance},
    tokio::time::{sleep, timeout},
};

/// Far longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of the reported end.
const END: u64 = 5;
/// Calls that are answered: the one for the fence, one with the end, and one without.
const ANSWERED: usize = 3;
/// Calls that wait for an answer at the same time.
const UNANSWERED: usize = 4;

/// An upstream that reports an end and then stops answering. Stores the acknowledgements.
#[derive(Clone, Debug, Default)]
struct StopsAnswering(Arc<Mutex<Vec<u64>>>);

impl UpstreamClient for StopsAnswering {
    fn start_run(&self, _: FencedTarget, _: StartOrder) -> BoxFuture<'_, StartAnswer> {
        ready(StartAnswer::Unanswered).boxed()
    }

    fn stop_run(
        &self,
        _: FencedTarget,
        _: TaskKey,
        _: u32,
    ) -> BoxFuture<'_, Result<(), CallError>> {
        ready(Ok(())).boxed()
    }

    fn renew_lease(
        &self,
        target: FencedTarget,
        renewal: LeaseRenewal,
    ) -> BoxFuture<'_, Result<LeaseAnswer, CallError>> {
        let mut acknowledged = self.0.lock();
        acknowledged.push(renewal.acknowledged_through);
        if acknowledged.len() > ANSWERED {
            return pending().boxed();
        }
        let task = TaskKey { job: CallerJobId(1), step: 0, index: 0 };
        let end = RunEnd { number: END, task, run: 1, kind: EndKind::Done };
        let ended = if acknowledged.len() == 2 { vec![end] } else { Vec::new() };
        let answer = LeaseAnswer {
            instance: target.instance,
            clock_ms: 1_000,
            ended,
            ..LeaseAnswer::default()
        };
        ready(Ok(answer)).boxed()
    }
}

/// Guards against acknowledging ends to another instance of the upstream that has started in
/// the meantime: it would discard its own first ends, and their tasks would run again.
#[tokio::test]
async fn one_call_acknowledges_ends_after_an_answer() {
    let upstream = StopsAnswering::default();
    let settings = LeasedAgentSettings {
        name: "agent".to_owned(),
        data_centre: "hall".to_owned(),
        seeds: Vec::new(),
        limits: LedgerLimits::default(),
        links: LinkLimits::default(),
    };
    let agent = LeasedAgent::start(settings, Box::new(upstream.clone()));
    agent.upstream_announced(UpstreamInstance {
        id: InstanceId::without_start("life"),
        order_fence: 0,
        pool: "desk".to_owned(),
        capacity: Resources { cpu_milli: 8_000, memory_mb: 100, accelerators: 0 },
        labels: Vec::new(),
        leaving: false,
    });
    let all_sent = async {
        while upstream.0.lock().len() < ANSWERED + UNANSWERED {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, all_sent).await.unwrap();
    assert_eq!(upstream.0.lock()[ANSWERED - 1..], [END, END, 0, 0, 0]);
}
