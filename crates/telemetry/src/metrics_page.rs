//! The metrics page, in the Prometheus text form.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Path of the page on every binary's HTTP port.
pub const PATH: &str = "/metrics";

/// Installs the process's recorder; the handle renders the page.
///
/// # Errors
///
/// When a recorder is installed already.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new().install_recorder()
}
