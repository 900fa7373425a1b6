//! Periodic checks of the process, changes of its settings, and signals during a stop.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use async_signal::Signals;
use futures_lite::{
    StreamExt,
    future, //
};
use limpetweir_transport::sleep;

use super::client_limits::Refusals;
use super::lines::{
    LINES_DROPPED,
    LogOutput,
    PAUSED,
    RELOAD_REFUSED,
    RELOADED,
    SIGNAL_IGNORED,
    log_event, //
};
use super::node::{
    Node,
    unix_ms, //
};
use super::read_settings;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::settings::Settings;

/// Time between two housekeeping runs.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// Number of housekeeping runs between two checks of the settings file for changes.
const RUNS_PER_SETTINGS_CHECK: u32 = 10;

/// Delay of a housekeeping run, by the wall clock or the monotonic clock, from which on the process
/// counts as having been paused.
const PAUSE_THRESHOLD_MS: u64 = 400;

pub(crate) async fn housekeeping<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    file: &Path,
    output: &LogOutput,
) {
    let mut text = std::fs::read_to_string(file).unwrap_or_default();
    let mut run_count = 0_u32;
    let mut refusals = Refusals::default();
    loop {
        let (wall, steady) = (unix_ms(), node.now());
        sleep(HOUSEKEEPING_INTERVAL).await;
        let wall = unix_ms().saturating_sub(wall);
        let steady = u64::try_from(node.now().since(steady).as_millis()).unwrap_or(u64::MAX);
        let interval_ms = u64::try_from(HOUSEKEEPING_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        if wall.max(steady) > interval_ms + PAUSE_THRESHOLD_MS {
            log_event!(PAUSED, "wall_ms={wall} steady_ms={steady}");
        }
        let dropped = output.take_dropped();
        if dropped > 0 {
            node.metrics.lines_dropped(dropped);
            log_event!(LINES_DROPPED, "count={dropped}");
        }
        refusals.observe(node);
        node.client.sweep();
        run_count += 1;
        if run_count.is_multiple_of(RUNS_PER_SETTINGS_CHECK)
            && let Ok(current) = std::fs::read_to_string(file)
            && current != text
        {
            text = current;
            reload(node, file, "change");
        }
    }
}

/// Logs the signals that arrive while the instance stops. They have no effect: the stop is under way,
/// and reloaded settings would not be used any more.
pub(crate) async fn ignore_signals(signals: &mut Signals) {
    loop {
        match signals.next().await {
            Some(Ok(signal)) => log_event!(SIGNAL_IGNORED, "signal={signal:?} cause=stopping"),
            Some(Err(err)) => log::warn!("cannot read a signal: {err}"),
            None => future::pending().await,
        }
    }
}

/// Reloads the settings. Only the log level takes effect immediately; all else requires a restart.
pub(crate) fn reload<P>(node: &Arc<Node<P>>, file: &Path, cause: &str) {
    match read_settings(file) {
        Ok(settings) => {
            log::set_max_level(settings.log_level);
            let restart = Settings {
                log_level: node.settings.log_level,
                ..settings.clone()
            } != node.settings;
            log_event!(
                RELOADED,
                "cause={cause} level={} needs_restart={restart}",
                settings.log_level
            );
        }
        Err(err) => log_event!(RELOAD_REFUSED, "cause={cause} error=\"{err}\""),
    }
}
