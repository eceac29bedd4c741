//! A job whose claim was granted, and is held by another entry then.

use {
    std::sync::Arc,
    sycamorerail_decide::dispatch::{
        Command, Dispatch, DispatchLimits, JobAnswer, JobRequest, KindParameters, NoResultReason,
        StepRequest,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, Resources},
    },
};

/// Guards against the answer "not run" for a job that another entry has: no task of it was placed
/// here for want of an agent.
#[test]
fn a_job_that_is_denied_once_it_was_granted_is_not_told_as_not_run() {
    let mut entry = Dispatch::new(DispatchLimits::default(), Incarnation(7));
    entry.tick(100);
    let request = JobRequest {
        id: CallerJobId(1),
        kind: Arc::new(KindParameters {
            name: "kind".to_owned(),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch: 2.0,
            target_ms: 1_000,
        }),
        spec: "spec".to_owned(),
        steps: vec![StepRequest {
            count: 1,
            need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
            run_ms: 500,
            ..StepRequest::default()
        }],
        arrived_ms: 100,
        deadline_ms: 20_000,
    };
    let key = entry.submit_unclaimed(request, 100).unwrap();
    entry.claim_granted(key, 101);
    entry.claim_denied(key);
    let answer = JobAnswer::Unknown { reason: NoResultReason::HeldElsewhere };
    assert_eq!(entry.take_commands(), [Command::Answer(key, answer)]);
}
