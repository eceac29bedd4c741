//! Waiting for a condition, as tests of processes do in place of sleeping.

use {
    eyre::bail,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Longest wait: far above what an overloaded machine takes.
pub const PATIENCE: Duration = Duration::from_secs(120);
const PAUSE: Duration = Duration::from_millis(50);

/// Waits until `look` finds something.
///
/// # Errors
///
/// When it fails, or finds nothing within [`PATIENCE`].
pub async fn until<T, F>(what: &str, mut look: impl FnMut() -> F) -> eyre::Result<T>
where
    F: Future<Output = eyre::Result<Option<T>>>,
{
    let began = Instant::now();
    loop {
        if let Some(found) = look().await? {
            return Ok(found);
        }
        if began.elapsed() >= PATIENCE {
            bail!("{what}: not within {} s", PATIENCE.as_secs());
        }
        sleep(PAUSE).await;
    }
}
