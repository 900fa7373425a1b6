//! The record in the store by which the other instances discover this one.
//!
//! Load pattern: a fleet that has lost power starts as a whole. The records of all instances are in one
//! partition, which processes one append at a time, and reads of it wait for them. Records that are in the
//! store already are therefore not written again.

use std::sync::Arc;

use hyper::body::Bytes;
use limpetweir_transport::sleep;

use super::node::Node;
use super::state::State;
use super::supervisor::Steps;
use crate::instance::InstanceRecord;
use crate::platform::{
    Dialect,
    Record,
    Store,
    StoreError,
    Topic, //
};
use crate::store_load::CallTarget;

/// The record of this instance as it was last read or written; empty without one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Registration(Bytes);

/// Keeps the record of this instance in the store until the instance stops.
pub(crate) async fn register<P: Store + Dialect>(node: Arc<Node<P>>, steps: Arc<Steps>) {
    let settings = &node.settings;
    let content = InstanceRecord {
        addr: settings.address,
        capacity: settings.capacity,
        zone: settings.zone.clone(),
    };
    let value = Bytes::from(content.to_string());
    loop {
        let changed = node.registration_changed.listen();
        if !is_due(&node, &value) {
            steps.idle();
            changed.await;
            continue;
        }
        steps.step();
        match append(&node, value.clone()).await {
            Ok(()) => {
                node.lock().registration = Registration(value.clone());
            }
            Err(err) => {
                log::debug!("cannot write the record of this instance: {err}");
                // Meanwhile the others discover this instance by its reports.
                sleep(node.store_pause(CallTarget::append(Topic::Instances, 0))).await;
            }
        }
    }
}

/// Returns whether the store lacks the record, as far as is known.
fn is_due<P>(node: &Node<P>, value: &Bytes) -> bool {
    let state = node.lock();
    !node.is_leaving() && state.instances_read_at.is_some() && state.registration.0 != value
}

/// Applies the record of this instance from the store. It may be the removal by an earlier process, which
/// the store has executed late.
pub(crate) fn apply_record<P>(node: &Node<P>, state: &mut State, record: &Record) {
    state.registration = Registration(record.value.clone());
    node.registration_changed.notify(usize::MAX);
}

/// Removes the record of this instance. One attempt suffices, as the peers detect the missing
/// reports in any case.
pub(crate) async fn deregister<P: Store + Dialect>(node: &Arc<Node<P>>) -> Result<(), StoreError> {
    append(node, Bytes::new()).await
}

async fn append<P: Store + Dialect>(node: &Arc<Node<P>>, value: Bytes) -> Result<(), StoreError> {
    let key = node.settings.name.clone();
    let records = [Record { key, value }];
    let result = node.append_records(Topic::Instances, 0, None, &records);
    result.await.map(|_| ())
}
