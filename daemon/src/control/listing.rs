//! Polls the platform's list of instances and backend servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use limpetweir_coordination::ListState;
use limpetweir_protocol::http::{
    ListResponse,
    MemberState, //
};
use limpetweir_transport::sleep;

use crate::event;
use crate::events::{
    LIST_CHANGED,
    LIST_UNREADABLE, //
};
use crate::node::Node;

/// Timeout of reading the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) async fn poll(node: Arc<Node>) {
    let mut readable = true;
    loop {
        match node.list.read(LIST_TIMEOUT).await {
            Ok(response) => {
                readable = true;
                apply(&node, response);
            }
            Err(err) => {
                if readable {
                    event!(LIST_UNREADABLE, "{err}");
                }
                readable = false;
            }
        }
        sleep(node.settings.timing.list_poll).await;
    }
}

fn state(state: MemberState) -> ListState {
    match state {
        MemberState::Live => ListState::Live,
        MemberState::Leaving => ListState::Leaving,
    }
}

fn apply(node: &Node, response: ListResponse) {
    let control = &node.control;
    let now = node.clock.now();
    let members = response.instances.iter();
    let members = members.map(|entry| (entry.name.clone(), state(entry.state)));
    let members: BTreeMap<_, _> = members.collect();
    let instances = response.instances.into_iter();
    let instances: BTreeMap<_, _> = instances.map(|e| (e.name.clone(), e)).collect();
    let backends = response.backends.into_iter();
    let backends: BTreeMap<_, _> = backends.map(|e| (e.name, state(e.state))).collect();
    let backends = Some(backends);
    let mut inner = control.shared.lock();
    inner.members.set_list(now, members);
    let instances_changed = inner.instances != instances;
    let changed = instances_changed || inner.backends != backends;
    inner.backends = backends;
    if instances_changed {
        inner.instances.clone_from(&instances);
    }
    drop(inner);
    if instances_changed {
        let names: Vec<&str> = instances.keys().map(|name| name.as_str()).collect();
        event!(LIST_CHANGED, "instances={}", names.join(","));
        control.links.set(node, &instances);
    }
    if changed {
        control.shared.notify_changed();
    }
}
