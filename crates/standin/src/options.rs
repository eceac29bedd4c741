//! Command lines of the stand-ins.

use {argh::FromArgs, std::path::PathBuf};

/// Takes the place of the platform's key-value service in tests and benchmarks.
/// Keeps everything in memory.
#[derive(Debug, FromArgs)]
pub struct PlatformOptions {
    /// file of settings, in YAML
    #[argh(option)]
    pub settings: PathBuf,
}

/// Takes the place of an upstream in tests and benchmarks. Announces itself to
/// its agent and runs tasks by sleeping.
#[derive(Debug, FromArgs)]
pub struct UpstreamOptions {
    /// file of settings, in YAML
    #[argh(option)]
    pub settings: PathBuf,
}
