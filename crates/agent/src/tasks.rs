//! The start gate with those who wait for its tasks.

use {
    crate::counters,
    std::collections::HashMap,
    sycamorerail_decide::gate::{Gate, Settled},
    sycamorerail_wire::{ids::TaskId, message::AgentReplyBody},
    tokio::{sync::oneshot, task::AbortHandle},
};

#[derive(Default)]
struct InFlight {
    waiters: Vec<oneshot::Sender<AgentReplyBody>>,
    call: Option<AbortHandle>,
}

/// All under one lock, so that a task's state and its waiters change together.
pub(crate) struct Tasks {
    pub(crate) gate: Gate,
    in_flight: HashMap<TaskId, InFlight>,
}

impl Tasks {
    pub(crate) fn new(gate: Gate) -> Self {
        Self { gate, in_flight: HashMap::new() }
    }

    /// Waits for the end of a task that is queued or running.
    pub(crate) fn wait_for(&mut self, task: TaskId) -> oneshot::Receiver<AgentReplyBody> {
        let (tell, told) = oneshot::channel();
        self.in_flight.entry(task).or_default().waiters.push(tell);
        told
    }

    /// Remembers the running call of a task, so that a revoke can end it.
    pub(crate) fn calling(&mut self, task: TaskId, call: AbortHandle) {
        self.in_flight.entry(task).or_default().call = Some(call);
    }

    /// Tells all who wait for the task.
    pub(crate) fn tell(&mut self, settled: Settled) {
        counters::end(&settled.reply);
        let Some(in_flight) = self.in_flight.remove(&settled.task) else {
            return;
        };
        for waiter in in_flight.waiters {
            // The stream of this waiter may be gone.
            let _ = waiter.send(settled.reply.clone());
        }
    }

    pub(crate) fn tell_all(&mut self, settled: Vec<Settled>) {
        settled.into_iter().for_each(|settled| self.tell(settled));
    }

    /// Ends the call of a running task. Before its waiters are told, which
    /// forgets the call.
    pub(crate) fn abort(&mut self, task: &TaskId) {
        if let Some(call) = self.in_flight.get_mut(task).and_then(|task| task.call.take()) {
            call.abort();
        }
    }
}
