//! Pure decisions: no input or output, no clock and no randomness but by
//! argument. Every function that depends on the present time takes `now_ms`,
//! the process's monotonic time in milliseconds.

pub mod admission;
pub mod fence;
pub mod gate;
pub mod job;
pub mod placement;
pub mod queue;
pub mod view;
