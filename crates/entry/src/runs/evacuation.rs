//! Evacuated data centres: what this entry and its agents know of them.

use {
    super::JobService, parking_lot::Mutex, std::sync::Arc, sycamorerail_telemetry::event,
    sycamorerail_wire::runs::Evacuations,
};

/// What an agent is known to hold, so that each list goes over a link once.
#[derive(Debug, Default)]
pub(super) struct AgentsEvacuations(Mutex<Evacuations>);

impl AgentsEvacuations {
    /// The agent holds this list, as it told or was told.
    pub(super) fn note(&self, evacuations: &Evacuations) {
        self.0.lock().clone_from(evacuations);
    }

    /// The list to send to the agent, if it lacks anything.
    pub(super) fn lacking(&self, held: &Evacuations) -> Option<Evacuations> {
        let mut known = self.0.lock();
        if !held.is_news_to(&known) {
            return None;
        }
        known.clone_from(held);
        Some(held.clone())
    }
}

impl JobService {
    /// Puts evacuations into force and passes them on to agents, unless those held were
    /// true later. Returns whether the list has changed.
    pub fn hold_evacuations(self: &Arc<Self>, told: &Evacuations) -> bool {
        let changed = self.evacuations.send_if_modified(|held| held.update(told));
        if !changed {
            return false;
        }
        event!(
            Info,
            "evacuations_in_force",
            revision = told.revision,
            data_centres = told.data_centres.join(","),
        );
        metrics::gauge!("sycamorerail_evacuated_data_centres").set(told.data_centres.len() as f64);
        let told = told.clone();
        self.change(|dispatch, now_ms| dispatch.set_evacuations(told, now_ms));
        true
    }
}
