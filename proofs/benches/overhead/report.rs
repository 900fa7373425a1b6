//! Prints the comparison as a table.

use hdrhistogram::Histogram;

use crate::load::{
    Call,
    Sample, //
};
use crate::process::Usage;

/// Design targets in milliseconds for the added time: at the median and at p99.
const MAX_ADDED_MS: [f64; 2] = [1.0, 5.0];

/// Design target for idle memory in MiB. The design gives it in MB: 32 MB are 30.5 MiB.
const MAX_IDLE_MIB: f64 = 30.5;

pub(crate) fn heading() {
    println!(
        "| call | rate /s | count each | direct p50 ms | routed p50 ms | added p50 ms | \
         direct p99 ms | routed p99 ms | added p99 ms | daemon CPU us each | core share | target |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

pub(crate) fn line(call: &Call, rate: f64, sample: &Sample, usage: &Usage) {
    let added = |quantile| {
        let direct = millis(&sample.direct, quantile);
        let routed = millis(&sample.routed, quantile);
        (direct, routed, routed - direct)
    };
    let (direct_50, routed_50, added_50) = added(0.5);
    let (direct_99, routed_99, added_99) = added(0.99);
    let met = added_50 <= MAX_ADDED_MS[0] && added_99 <= MAX_ADDED_MS[1];
    println!(
        "| {} | {rate:.0} | {} | {direct_50:.3} | {routed_50:.3} | {added_50:.3} | \
         {direct_99:.3} | {routed_99:.3} | {added_99:.3} | {:.0} | {:.2} | {} |",
        call.name,
        sample.routed.len(),
        usage.micros_each(sample.routed.len()),
        usage.share(),
        verdict(met),
    );
}

pub(crate) fn memory(idle: f64, loaded: f64) {
    println!();
    println!(
        "resident memory: idle {idle:.1} MiB (target {}), after the load {loaded:.1} MiB",
        verdict(idle < MAX_IDLE_MIB)
    );
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

fn verdict(met: bool) -> &'static str {
    if met { "met" } else { "missed" }
}
