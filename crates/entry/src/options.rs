//! Command line of `sycamorerail-entry`.

use {argh::FromArgs, std::path::PathBuf};

/// Take jobs from callers, place their tasks on upstreams, and answer.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// path of the settings, in YAML
    #[argh(option, arg_name = "file")]
    pub settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}
