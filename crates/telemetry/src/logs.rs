//! Logs: each event is one line of key=value pairs. Lines go to standard error, or to
//! standard output through a queue that never blocks the code that logs.

use {
    crate::log_queue::LogQueue,
    log::LevelFilter,
    simplelog::{Config, ConfigBuilder, WriteLogger},
    std::{fmt, io, sync::OnceLock},
};

/// Longer values are cut to this length.
const MAX_VALUE_CHARS: usize = 200;

static QUEUE: OnceLock<LogQueue> = OnceLock::new();

/// Sets up logging to standard error. Only the first call in a process has an effect.
pub fn init(level: LevelFilter) {
    // Fails only if a logger is already set.
    let _ = WriteLogger::init(level, config(), io::stderr());
}

/// Sets up logging to standard output through a queue and a thread. When the queue is full,
/// lines are dropped and counted.
pub fn init_queued(level: LevelFilter) {
    let queue = QUEUE.get_or_init(LogQueue::start);
    // Fails only if a logger is already set.
    let _ = WriteLogger::init(level, config(), queue.clone());
}

/// Waits for a limited time until the queue of [`init_queued`] is written.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.wait_until_written();
    }
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .add_filter_allow_str("sycamorerail")
        .build()
}

/// Parses the name of a log level, as used in settings.
#[must_use]
pub fn parse_level(name: &str) -> Option<LevelFilter> {
    name.parse().ok()
}

/// A value in a log line, quoted and escaped unless it is a single plain word.
pub struct EscapedValue<T>(pub T);

impl<T: fmt::Display> fmt::Display for EscapedValue<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let short: String = text.chars().take(MAX_VALUE_CHARS).collect();
        let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        if !short.is_empty() && short.chars().all(is_plain) {
            f.write_str(&short)
        } else {
            write!(f, "{short:?}")
        }
    }
}

/// Unix time in milliseconds, for log lines.
#[must_use]
pub fn unix_ms() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

/// Logs an event: `event!(Info, "job_accepted", job = id, tasks = 3)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        if $crate::logs::enabled($crate::logs::Level::$level) {
            $crate::logs::write(
                $crate::logs::Level::$level,
                module_path!(),
                format_args!(
                    concat!("time_unix_ms={} level={} event=", $name $(, " ", stringify!($key), "={}")*),
                    $crate::logs::unix_ms(),
                    stringify!($level)
                    $(, $crate::logs::EscapedValue(&$value))*
                ),
            );
        }
    };
}

pub use log::Level;

/// Whether events of this level are written.
#[must_use]
pub fn enabled(level: Level) -> bool {
    level <= log::max_level()
}

/// Writes one log line. Called by [`event!`].
pub fn write(level: Level, target: &str, line: fmt::Arguments<'_>) {
    log::log!(target: target, level, "{line}");
}
