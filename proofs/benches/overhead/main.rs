//! Compares calls through one daemon with the same calls sent to the backend server directly.
//!
//! `cargo bench -p limpetweir-proofs --bench overhead` builds the daemon and the stand-ins in
//! release form, starts them on loopback and takes about a minute. docs/measurements.md has results.

mod fleet;
mod load;
mod process;
mod report;

use std::error::Error;
use std::thread;
use std::time::Duration;

use fleet::Fleet;
use load::{
    Call,
    Load,
    Sample, //
};
use process::Usage;

/// Share of one core that the daemon is kept busy.
const BUSY_SHARE: f64 = 0.5;

/// First rate in calls per second of each kind, from which the rate is scaled.
const FIRST_RATE: f64 = 500.0;

/// Highest rate in calls per second, so that stand-ins and client are not the bottleneck.
const MAX_RATE: f64 = 4_000.0;

/// Rounds that bring the rate to the wanted share; the time per call falls as the rate rises.
const CALIBRATIONS: u32 = 3;

const CALIBRATION: Duration = Duration::from_millis(1_500);

const MEASUREMENT: Duration = Duration::from_secs(12);

/// Time that the daemon has to settle before its idle memory is read.
const IDLE: Duration = Duration::from_secs(2);

fn main() -> Result<(), Box<dyn Error>> {
    fleet::build()?;
    let mut fleet = Fleet::start()?;
    thread::sleep(IDLE);
    let idle = process::resident_mib(fleet.daemon_pid())?;
    fleet.publish()?;
    report::heading();
    for call in Call::all(&fleet) {
        let rate = calibrate(&fleet, &call)?;
        let (sample, usage) = measure(&fleet, &call, rate, MEASUREMENT)?;
        report::line(&call, rate, &sample, &usage);
    }
    let loaded = process::resident_mib(fleet.daemon_pid())?;
    report::memory(idle, loaded);
    Ok(())
}

/// Returns the rate at which the daemon uses about `BUSY_SHARE` of a core.
fn calibrate(fleet: &Fleet, call: &Call) -> Result<f64, Box<dyn Error>> {
    let mut rate = FIRST_RATE;
    for _ in 0..CALIBRATIONS {
        let (_, usage) = measure(fleet, call, rate, CALIBRATION)?;
        rate = (rate * BUSY_SHARE / usage.share()).min(MAX_RATE);
    }
    Ok(rate)
}

fn measure(
    fleet: &Fleet,
    call: &Call,
    rate: f64,
    duration: Duration,
) -> Result<(Sample, Usage), Box<dyn Error>> {
    let before = Usage::start(fleet.daemon_pid())?;
    let sample = load::run(call, &Load { rate, duration })?;
    Ok((sample, before.finish()?))
}
