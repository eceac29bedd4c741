//! Metrics page in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Path of the metrics page on the HTTP port of every binary.
pub const PATH: &str = "/metrics";

/// Installs the metrics recorder of the process. The returned handle renders the page.
///
/// # Errors
///
/// When a recorder is already installed.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new().install_recorder()
}
