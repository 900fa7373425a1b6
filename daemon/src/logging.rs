//! Log output: one event per line on standard error.

use std::io::Write;

use env_logger::{
    Builder,
    Target,
    fmt::Formatter, //
};
use limpetweir_protocol::settings::LogLevel;
use log::{
    LevelFilter,
    Record, //
};

/// Starts logging at `level`; third-party crates log at most warnings and errors.
pub(crate) fn start(level: LogLevel) {
    let filter = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    };
    let result = Builder::new()
        .filter_level(filter.min(LevelFilter::Warn))
        .filter_module("limpetweir", filter)
        .target(Target::Stderr)
        .format(write_line)
        .try_init();
    // A program that embeds the daemon may have installed a logger, which then stays in use.
    let _ = result;
}

/// Writes one line; line breaks in a message are escaped so that each event is one line.
fn write_line(out: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let time = out.timestamp_millis();
    let message = record.args().to_string();
    let message = message.replace('\n', "\\n").replace('\r', "\\r");
    writeln!(out, "{time} {} {message}", record.level())
}
