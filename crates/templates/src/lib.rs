//! Templates of organisations: publishing them, and the set in force.

pub mod change;
pub mod envelope;
pub mod in_force;
pub mod publish;
pub mod validate;

pub use {
    change::{Accepted, Action, Base, Change, ChangeError, ChangeState, Winner, new_change_id},
    envelope::{Envelope, Stamp},
    in_force::{InForce, Record, Set},
    publish::Publisher,
};
