//! Metrics of streams, links and groups, read when they are exported.

use std::sync::{
    Arc,
    Weak, //
};

use opentelemetry::KeyValue;

use super::stream::StreamFigures;
use crate::node::Node;

/// Registers the metrics; they hold no reference that keeps the instance alive.
pub(super) fn register(node: &Arc<Node>) {
    stream_gauge(node, "next_offset", "Offset to read next", |_, figures| {
        Some(figures.next.0)
    });
    stream_gauge(
        node,
        "queued_entries",
        "Entries that are not read back",
        |_, figures| u64::try_from(figures.queued).ok(),
    );
    stream_gauge(
        node,
        "read_age_ms",
        "Milliseconds since the last read that reached the end",
        |node, figures| {
            let age = node.clock.now().since(figures.confirmed_at?);
            u64::try_from(age.as_millis()).ok()
        },
    );
    stream_gauge(
        node,
        "skipped_records",
        "Unreadable records since the start",
        |_, figures| Some(figures.skipped),
    );
    stream_gauge(node, "gaps", "Gaps since the start", |_, figures| {
        Some(figures.gaps)
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
    value: fn(&Node, &StreamFigures) -> Option<u64>,
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
            let config = ("config", node.control.config.figures());
            let claims = ("claims", node.control.claims.figures());
            for (stream, figures) in [config, claims] {
                if let Some(value) = value(&node, &figures) {
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
