//! Templates of organisations: publishing them, and the set in force.

pub mod envelope;
