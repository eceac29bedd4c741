//! Evacuated data centres, as leased runs heed them.

use {super::JobService, crate::evacuation, std::sync::Arc, sycamorerail_wire::runs::Evacuations};

impl JobService {
    /// Puts evacuations into force and passes them on to agents, unless those held were
    /// true later. Returns whether the list has changed.
    pub fn hold_evacuations(self: &Arc<Self>, told: &Evacuations) -> bool {
        if !evacuation::hold(&self.evacuations, told) {
            return false;
        }
        // Of two that come at once the later one holds.
        self.change(|dispatch, now_ms| {
            dispatch.set_evacuations(self.evacuations.borrow().clone(), now_ms);
        });
        true
    }
}
