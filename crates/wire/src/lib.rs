//! Internal protocol between entries and agents, and among entries.
//!
//! This crate holds the message types, their codec, the QUIC sessions and TCP frames that
//! carry them and the keys that authenticate both ends. It makes no scheduling decisions.

pub mod answer;
pub mod codec;
pub mod frames;
pub mod ids;
pub mod keys;
pub mod message;
pub mod runs;
pub mod session;
