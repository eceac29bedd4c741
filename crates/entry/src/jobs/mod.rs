//! Jobs of which this run is the home: their records, and what drives them.

mod accept;
mod burnt;
mod cell;
mod drive;
mod kept;
mod table;
mod timer;

pub use {
    accept::{Accepted, Refused, accept, cancel, fetch, is_home, submit},
    cell::{JobCell, REPORT_WAIT_MS},
    drive::{drive, fence_all},
    table::{JobKey, SubmissionSize, Table},
    timer::sweep_until,
};
