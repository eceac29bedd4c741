//! A modelled entry: the real dispatch, and the numbers of its jobs.

use {
    super::{
        agent::POOL,
        clock::{Micros, millis},
        jobs::ModelJob,
        settings::KindSettings,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    sycamorerail_decide::dispatch::{
        AgentKey, Dispatch, DispatchLimits, JobAnswer, JobKey, JobRequest, KindParameters,
        StepRequest,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, Resources, TaskKey, UpstreamInstance},
    },
};

const MAX_ATTEMPTS: u32 = 2;

/// An agent that is linked to an entry.
#[derive(Clone, Copy, Debug)]
pub struct LinkedAgent {
    /// Key in the dispatch.
    pub key: AgentKey,
    /// Number of its last report that was processed.
    pub confirmed: u64,
}

/// One entry.
#[derive(Debug)]
pub struct ModelEntry {
    /// The real decisions.
    pub dispatch: Dispatch,
    /// Incarnation of the entry.
    pub run: Incarnation,
    /// Whether it runs.
    pub is_up: bool,
    /// Agents that are linked, by number.
    pub agents: BTreeMap<usize, LinkedAgent>,
    /// Numbers of the jobs that it holds.
    pub jobs: HashMap<JobKey, usize>,
}

impl ModelEntry {
    /// Creates an entry without agents.
    pub fn new(run: u64) -> Self {
        Self {
            dispatch: Dispatch::new(DispatchLimits::default(), Incarnation(run)),
            run: Incarnation(run),
            is_up: true,
            agents: BTreeMap::new(),
            jobs: HashMap::new(),
        }
    }

    /// Registers an agent that connects.
    pub fn connect(&mut self, number: usize, life: UpstreamInstance, now: Micros) {
        let (name, now_ms) = (number.to_string(), millis(now));
        let agent = self.dispatch.agent_connected(&name, Incarnation(1), None, now_ms);
        self.dispatch.agent_ready(agent, now_ms);
        self.dispatch.set_instance(agent, life);
        // The first message of a connection.
        self.dispatch.message_sent(agent, None, now_ms);
        self.agents.insert(number, LinkedAgent { key: agent, confirmed: 0 });
    }

    /// The number of an agent.
    pub fn number_of(&self, agent: AgentKey) -> Option<usize> {
        self.agents.iter().find(|(_, known)| known.key == agent).map(|(number, _)| *number)
    }

    /// Submits a job.
    pub fn submit(
        &mut self,
        number: usize,
        job: &ModelJob,
        kind: &Arc<KindParameters>,
        cpu_milli: u32,
    ) -> Result<(), JobAnswer> {
        let step = StepRequest {
            count: u16::try_from(job.run_micros.len()).unwrap_or(u16::MAX),
            need: Resources { cpu_milli, memory_mb: 0, accelerators: 0 },
            run_ms: job.estimate_ms,
            ..StepRequest::default()
        };
        let request = JobRequest {
            id: CallerJobId(number as u64),
            kind: Arc::clone(kind),
            spec: String::new(),
            steps: vec![step],
            arrived_ms: millis(job.at),
            deadline_ms: millis(job.useful_until()),
        };
        let key = self.dispatch.submit(request, millis(job.at))?;
        self.jobs.insert(key, number);
        Ok(())
    }
}

/// A kind as the dispatch knows it.
pub fn parameters(kind: &KindSettings) -> Arc<KindParameters> {
    Arc::new(KindParameters {
        name: kind.name.clone(),
        pool: POOL.to_owned(),
        priority: kind.priority,
        max_attempts: MAX_ATTEMPTS,
        stretch: kind.stretch,
        target_ms: kind.target_ms,
    })
}

/// The numbers of a task's job and of the task in it.
pub fn numbers_of(task: TaskKey) -> (usize, usize) {
    (task.job.0 as usize, usize::from(task.index))
}
