//! Entries, agents and fenced incarnations, as the platform records them.
//!
//! The rules that make "not run" true live here; docs/MEMBERSHIP.md gives the
//! argument in numbered steps:
//!
//! - an entry uses an agent only once its copy of the platform's records shows
//!   the agent's registration, and shows no fence of its own incarnation;
//! - a fence is recorded before the roster of agents is read;
//! - an agent's record is deleted only when no entry can still use the agent
//!   for an id that is within the retention.

pub mod announce;
pub mod error;
pub mod evacuation;
pub mod fencing;
pub mod garbage;
pub mod keys;
pub mod lease_key;
pub mod life_record;
pub mod members;
pub mod membership;
pub mod operator;
mod presence;
pub mod record;
pub mod register;
pub mod roster;
mod sweep;
mod voters;

pub use {
    error::{MembershipError, MembershipStep},
    fencing::FencedRoster,
    members::Members,
    membership::{Hooks, Membership, MembershipConfig},
    record::{AgentRecord, EntryRecord, EvacuationRecord, FenceRecord, HomeRecord},
};
