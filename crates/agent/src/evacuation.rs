//! Logging of the evacuations that an agent applies.

use {sycamorerail_telemetry::event, sycamorerail_wire::runs::Evacuations};

/// Logs evacuations that the agent has applied.
pub(crate) fn log_in_force(evacuations: &Evacuations, own_evacuated: bool) {
    event!(
        Info,
        "evacuations_in_force",
        revision = evacuations.revision,
        data_centres = evacuations.data_centres.join(","),
        own_evacuated = own_evacuated,
    );
}
