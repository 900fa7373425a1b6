//! Work that backend servers can do over time, with their slow spans.

use std::time::Duration;

use crate::plan::{
    Plan,
    ServerGroup, //
};

/// A span of constant speed of a server.
#[derive(Clone, Copy, Debug)]
struct Segment {
    /// Start in milliseconds.
    from: f64,
    /// Factor of all times.
    slowness: f64,
    /// Work done before the span, in milliseconds at full speed.
    before: f64,
}

/// Speed of one server over time. Work is measured in milliseconds at full speed.
#[derive(Clone, Debug)]
pub(crate) struct Speed {
    /// Ordered by time; the first one begins at 0.
    segments: Vec<Segment>,
}

impl Speed {
    /// Computes the speed of a server, given by its index in the group.
    pub(crate) fn new(group: &ServerGroup, server: u32) -> Self {
        let edges = group.slow.iter();
        let edges = edges.flat_map(|span| [span.window.from, span.window.to]);
        let mut edges: Vec<Duration> = edges.chain([Duration::ZERO]).collect();
        edges.sort_unstable();
        edges.dedup();
        let mut segments: Vec<Segment> = Vec::new();
        for edge in edges {
            let from = millis(edge);
            let before = segments.last().map_or(0.0, |last| last.work(from));
            segments.push(Segment {
                from,
                slowness: group.slowness(server, edge),
                before,
            });
        }
        Self { segments }
    }

    /// Returns the work done from the start of the day to `time`.
    pub(crate) fn work_until(&self, time: f64) -> f64 {
        let index = self.segments.partition_point(|s| s.from <= time);
        self.segments[index.max(1) - 1].work(time)
    }

    /// Returns the factor of all times at `time`.
    pub(crate) fn slowness(&self, time: f64) -> f64 {
        let index = self.segments.partition_point(|s| s.from <= time);
        self.segments[index.max(1) - 1].slowness
    }

    /// Returns the time at which work that begins at `start` is done.
    pub(crate) fn finish(&self, start: f64, work: f64) -> f64 {
        self.time_of(self.work_until(start) + work)
    }

    /// Returns the time at which the work since the start of the day reaches `total`.
    pub(crate) fn time_of(&self, total: f64) -> f64 {
        let index = self.segments.partition_point(|s| s.before <= total);
        let segment = self.segments[index.max(1) - 1];
        segment.from + (total - segment.before) * segment.slowness
    }

    /// Returns the times at which the speed may change, in order.
    pub(crate) fn edges(&self) -> impl Iterator<Item = f64> {
        self.segments.iter().map(|segment| segment.from)
    }
}

impl Segment {
    fn work(&self, time: f64) -> f64 {
        self.before + (time - self.from) / self.slowness
    }
}

/// Returns a time in milliseconds.
pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// One-way delay between a caller and a backend server in milliseconds.
pub(crate) fn delay(plan: &Plan) -> f64 {
    millis(plan.instances.caller_delay + plan.instances.server_delay)
}
