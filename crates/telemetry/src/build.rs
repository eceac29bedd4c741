//! Code of the build, which tells in the logs what a process was built from.

use std::sync::OnceLock;

static CODE: OnceLock<&str> = OnceLock::new();

/// Sets the code of this process's build. Only the first call in a process has an effect.
pub fn set_code(code: &'static str) {
    // Fails only if it is already set.
    let _ = CODE.set(code);
}

/// The code of this process's build; `unknown` if none was set.
#[must_use]
pub fn code() -> &'static str {
    CODE.get().copied().unwrap_or("unknown")
}
