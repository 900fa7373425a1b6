//! Metrics of streams, links and groups; values are read at export.

use std::sync::{
    Arc,
    Weak, //
};

use opentelemetry::KeyValue;

use super::stream::StreamStats;
use crate::node::Node;

/// Registers the metrics; their callbacks hold weak references, which do not keep the node alive.
pub(super) fn register(node: &Arc<Node>) {
    stream_gauge(node, "next_offset", "Offset to read next", |_, stats| {
        Some(stats.next.0)
    });
    stream_gauge(
        node,
        "queued_entries",
        "Entries that are not read back",
        |_, stats| u64::try_from(stats.queued).ok(),
    );
    stream_gauge(
        node,
        "read_age_ms",
        "Milliseconds since the last read that reached the end",
        |node, stats| {
            let age = node.clock.now().since(stats.confirmed_at?);
            u64::try_from(age.as_millis()).ok()
        },
    );
    stream_gauge(
        node,
        "skipped_records",
        "Unreadable records since the start",
        |_, stats| Some(stats.skipped),
    );
    stream_gauge(node, "gaps", "Gaps since the start", |_, stats| {
        Some(stats.gaps)
    });
    gauge(
        node,
        "limpetweir_links",
        "Links to other instances",
        |node| node.control.links.count().0,
    );
    gauge(
        node,
        "limpetweir_links_up",
        "Links to other instances that are up",
        |node| node.control.links.count().1,
    );
    gauge(
        node,
        "limpetweir_groups_held",
        "Groups that this instance owns",
        |node| node.control.shared.lock().ownership.holds().len(),
    );
}

fn stream_gauge(
    node: &Arc<Node>,
    name: &str,
    description: &'static str,
    value: fn(&Node, &StreamStats) -> Option<u64>,
) {
    let weak = Arc::downgrade(node);
    let meter = node.metrics.meter();
    meter
        .u64_observable_gauge(format!("limpetweir_stream_{name}"))
        .with_description(description)
        .with_callback(move |observer| {
            let Some(node) = weak.upgrade() else {
                return;
            };
            let config = ("config", node.control.config.stats());
            let claims = ("claims", node.control.claims.stats());
            for (stream, stats) in [config, claims] {
                if let Some(value) = value(&node, &stats) {
                    observer.observe(value, &[KeyValue::new("stream", stream)]);
                }
            }
        })
        .build();
}

fn gauge(
    node: &Arc<Node>,
    name: &'static str,
    description: &'static str,
    value: fn(&Node) -> usize,
) {
    let weak: Weak<Node> = Arc::downgrade(node);
    let meter = node.metrics.meter();
    meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            let node = weak.upgrade();
            if let Some(value) = node.and_then(|node| u64::try_from(value(&node)).ok()) {
                observer.observe(value, &[]);
            }
        })
        .build();
}
