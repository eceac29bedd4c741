//! The start gate, with the waiters and the upstream calls of its tasks.

use {
    crate::counters,
    std::collections::HashMap,
    sycamorerail_decide::gate::{Gate, SettledTask},
    sycamorerail_wire::{ids::TaskId, message::AgentReplyBody},
    tokio::{sync::oneshot, task::AbortHandle},
};

#[derive(Default)]
struct InFlight {
    waiters: Vec<oneshot::Sender<AgentReplyBody>>,
    call: Option<AbortHandle>,
}

/// One lock covers all of this, so that a task's state and its waiters change together.
pub(crate) struct Tasks {
    pub(crate) gate: Gate,
    in_flight: HashMap<TaskId, InFlight>,
}

impl Tasks {
    pub(crate) fn new(gate: Gate) -> Self {
        Self { gate, in_flight: HashMap::new() }
    }

    /// Returns a receiver for the reply of a queued or running task.
    pub(crate) fn wait_for(&mut self, task: TaskId) -> oneshot::Receiver<AgentReplyBody> {
        let (sender, receiver) = oneshot::channel();
        self.in_flight.entry(task).or_default().waiters.push(sender);
        receiver
    }

    /// Stores the upstream call of a running task, so that a revoke can abort it.
    pub(crate) fn set_call(&mut self, task: TaskId, call: AbortHandle) {
        self.in_flight.entry(task).or_default().call = Some(call);
    }

    /// Sends the reply to all waiters of a settled task.
    pub(crate) fn settle(&mut self, settled: SettledTask) {
        counters::task_end(&settled.reply);
        let Some(in_flight) = self.in_flight.remove(&settled.task) else {
            return;
        };
        for waiter in in_flight.waiters {
            // Fails if the stream of this waiter is gone.
            let _ = waiter.send(settled.reply.clone());
        }
    }

    pub(crate) fn settle_all(&mut self, settled: Vec<SettledTask>) {
        settled.into_iter().for_each(|settled| self.settle(settled));
    }

    /// Aborts the upstream call of a running task. Call it before [`Self::settle`], which
    /// removes the call.
    pub(crate) fn abort_call(&mut self, task: &TaskId) {
        if let Some(call) = self.in_flight.get_mut(task).and_then(|task| task.call.take()) {
            call.abort();
        }
    }
}
