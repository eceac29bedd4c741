//! Evacuated data centres, as they are in force at this entry.

use {
    super::JobService, std::sync::Arc, sycamorerail_telemetry::event,
    sycamorerail_wire::runs::Evacuations,
};

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
