//! Inner protocol between entries and agents, and among entries.
//!
//! Message types, their codec, the QUIC sessions that carry them and the keys
//! that authenticate both ends. Nothing here decides anything.

pub mod answer;
pub mod codec;
pub mod frames;
pub mod ids;
pub mod keys;
pub mod message;
pub mod runs;
pub mod session;
