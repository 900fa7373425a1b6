//! Conversion between heartbeats on the wire and [`Report`]s, the input of the fleet decisions.

use std::time::Duration;

use limpetweir_coordination::Report;

use crate::peer::Heartbeat;

impl From<Heartbeat> for Report {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            leaving: heartbeat.leaving,
            serving: heartbeat.serving,
            config_version: heartbeat.config_version,
            log_age: heartbeat.log_age_ms.map(Duration::from_millis),
            reachable: heartbeat.hears.into_iter().collect(),
            owns: heartbeat.owns.into_iter().collect(),
            online: heartbeat.online.into_iter().collect(),
        }
    }
}

impl From<Report> for Heartbeat {
    /// Rounds ages up, so that a peer never treats the sender's state as newer than it is.
    fn from(report: Report) -> Self {
        let age_ms = |age: Duration| u64::try_from(age.as_micros().div_ceil(1000));
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving,
            serving: report.serving,
            config_version: report.config_version,
            log_age_ms: report.log_age.map(|age| age_ms(age).unwrap_or(u64::MAX)),
            hears: report.reachable.into_iter().collect(),
            owns: report.owns.into_iter().collect(),
            online: report.online.into_iter().collect(),
        }
    }
}
