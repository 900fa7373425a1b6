//! Compares calls through one daemon with the same calls sent directly to the backend server.
//!
//! `cargo bench -p limpetweir-proofs --bench overhead` builds the daemon and the stand-ins in
//! the release profile, starts them on loopback and takes about a minute. Results are in
//! docs/measurements.md.

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

/// CPU time of the daemon that the calibration aims for, as a share of one core.
const TARGET_CPU_SHARE: f64 = 0.5;

/// Initial rate in calls per second for each kind of call, from which the rate is scaled.
const FIRST_RATE: f64 = 500.0;

/// Maximum rate in calls per second, so that the stand-ins and the client are not the bottleneck.
const MAX_RATE: f64 = 4_000.0;

/// Calibration rounds per kind of call; several, because CPU time per call falls as the rate rises.
const CALIBRATION_ROUNDS: u32 = 3;

const CALIBRATION_TIME: Duration = Duration::from_millis(1_500);

const MEASUREMENT_TIME: Duration = Duration::from_secs(12);

/// Wait after the start of the daemon before its idle memory is read.
const IDLE_TIME: Duration = Duration::from_secs(2);

fn main() -> Result<(), Box<dyn Error>> {
    fleet::build()?;
    let mut fleet = Fleet::start()?;
    thread::sleep(IDLE_TIME);
    let idle = process::resident_mib(fleet.daemon_pid())?;
    fleet.publish()?;
    report::heading();
    for call in Call::all(&fleet) {
        let rate = calibrate(&fleet, &call)?;
        let (sample, usage) = measure(&fleet, &call, rate, MEASUREMENT_TIME)?;
        report::line(&call, rate, &sample, &usage);
    }
    let loaded = process::resident_mib(fleet.daemon_pid())?;
    report::memory(idle, loaded);
    Ok(())
}

/// Returns the rate at which the daemon uses about `TARGET_CPU_SHARE` of a core.
fn calibrate(fleet: &Fleet, call: &Call) -> Result<f64, Box<dyn Error>> {
    let mut rate = FIRST_RATE;
    for _ in 0..CALIBRATION_ROUNDS {
        let (_, usage) = measure(fleet, call, rate, CALIBRATION_TIME)?;
        rate = (rate * TARGET_CPU_SHARE / usage.share()).min(MAX_RATE);
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
