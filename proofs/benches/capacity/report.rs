//! Measures a closure and prints one line for each quantity.

use std::hint::black_box;
use std::time::Instant;

use stats_alloc::Region;

use crate::ALLOCATOR;

/// Number of batches; only the fastest counts, because other load on the machine only adds time.
const BATCHES: u32 = 7;

/// A size and the quantity measured at it.
pub(crate) type Point = (u64, f64);

pub(crate) fn heading() {
    println!(
        "{:<44} {:<26} {:>24} {:>24} {:>24}  slopes per unit",
        "quantity", "size", "small", "medium", "large"
    );
}

/// Prints a quantity at three sizes and the two slopes between them.
pub(crate) fn line(quantity: &str, size: &str, points: [Point; 3]) {
    let cell = |(at, value): Point| format!("{at}: {value:.2}");
    let slope = |(x0, y0): Point, (x1, y1): Point| (y1 - y0) / (x1 - x0) as f64;
    println!(
        "{quantity:<44} {size:<26} {:>24} {:>24} {:>24}  {:.4} then {:.4}",
        cell(points[0]),
        cell(points[1]),
        cell(points[2]),
        slope(points[0], points[1]),
        slope(points[1], points[2]),
    );
}

/// Returns the microseconds per call of `work` in the fastest of `BATCHES` batches.
pub(crate) fn micros<T>(calls: u32, mut work: impl FnMut() -> T) -> f64 {
    let mut fastest = f64::INFINITY;
    for _ in 0..BATCHES {
        let started = Instant::now();
        for _ in 0..calls {
            black_box(work());
        }
        fastest = fastest.min(started.elapsed().as_secs_f64());
    }
    fastest * 1e6 / f64::from(calls)
}

/// Returns the value that `build` returns and the bytes that stay allocated for it.
pub(crate) fn retained<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let value = build();
    let change = region.change();
    let bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (value, bytes)
}
