//! Interface of the control loops to the online and the batch path.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use event_listener::EventListener;
use limpetweir_coordination::{
    ListState,
    MayAct, //
};
use limpetweir_protocol::http::MemberState;
use limpetweir_protocol::peer::{
    CallBody,
    CallError,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::{
    BackendId,
    Configuration,
    Epoch,
    GroupId,
    GroupKind,
    InstanceId,
    Timestamp,
    Verdict,
    Version,
    ZoneId, //
};
use limpetweir_transport::timeout_at;

use super::Control;
use super::{
    links,
    peers, //
};
use crate::node::Node;

/// The configuration that the instance acts on.
#[derive(Clone, Debug)]
pub(crate) struct CurrentConfig {
    /// Version of the configuration.
    pub(crate) version: Version,
    /// The configuration.
    pub(crate) configuration: Arc<Configuration>,
}

/// Owner of a group, from the claims and reports that this instance has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    /// The owner.
    pub(crate) instance: InstanceId,
    /// Epoch of the claim.
    pub(crate) epoch: Epoch,
    /// Whether the owner is this instance.
    pub(crate) own: bool,
}

/// An instance that callers may connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PublicInstance {
    /// Name of the instance.
    pub(crate) instance: InstanceId,
    /// Availability zone of the instance.
    pub(crate) zone: ZoneId,
    /// Address for callers.
    pub(crate) address: std::net::SocketAddr,
}

/// Interface to the online and the batch path; locks are held only briefly and never across an
/// `await`.
impl Control {
    /// Returns the configuration, or `None` until one has been read.
    pub(crate) fn current(&self) -> Option<CurrentConfig> {
        self.shared.current()
    }

    /// Returns a listener that is notified when the configuration, ownership or the list changes.
    pub(crate) fn changes(&self) -> EventListener {
        self.shared.changed.listen()
    }

    /// Returns whether the last decision that this instance may serve is still valid.
    ///
    /// False after a pause of the process, until the decision loop has run again.
    pub(crate) fn is_decision_valid(&self, now: Timestamp) -> bool {
        self.shared.is_decision_valid(now)
    }

    /// Returns whether the configuration is known to be current.
    ///
    /// The phase of a leaving instance does not show this, because it no longer changes.
    pub(crate) fn is_configuration_current(&self, now: Timestamp) -> bool {
        self.is_decision_valid(now) && self.shared.lock().serving
    }

    /// Returns whether this instance may act for `group`.
    pub(crate) fn may_act(&self, now: Timestamp, group: GroupId) -> MayAct {
        let inner = self.shared.lock();
        inner.ownership.may_act(now, group, &inner.members)
    }

    /// Returns whether the claim of `epoch` is the first claim of `group`.
    ///
    /// False if the claim was read from a snapshot, which does not record this.
    pub(crate) fn is_first_claim(&self, group: GroupId, epoch: Epoch) -> bool {
        self.shared.lock().first_claims.get(&group) == Some(&epoch)
    }

    /// Returns the owner of `group` from the claims read, or from a peer's report of a later epoch.
    pub(crate) fn owner(&self, now: Timestamp, group: GroupId) -> Option<Owner> {
        let claim = self.claims.with_fold(|claims| claims.get(group).cloned());
        let claim = claim.flatten();
        let epoch = claim.as_ref().map(|claim| claim.epoch);
        if let Some(owner) = self.reported_owner(now, group, epoch) {
            return Some(owner);
        }
        let claim = claim.filter(|claim| !claim.released)?;
        let own = claim.holder == self.own;
        // An earlier incarnation of this instance cannot be called.
        let is_earlier_incarnation = !own && claim.holder.instance == self.own.instance;
        (!is_earlier_incarnation).then_some(Owner {
            instance: claim.holder.instance,
            epoch: claim.epoch,
            own,
        })
    }

    /// Returns the owner that a peer reports with an epoch above `known`.
    fn reported_owner(
        &self,
        now: Timestamp,
        group: GroupId,
        known: Option<Epoch>,
    ) -> Option<Owner> {
        let inner = self.shared.lock();
        let reports = inner.members.reachable_reports(now);
        let owners = reports.filter_map(|report| Some((*report.owns.get(&group)?, report)));
        let newer = owners.filter(|&(epoch, _)| Some(epoch) > known);
        let (epoch, report) = newer.max_by_key(|&(epoch, _)| epoch)?;
        Some(Owner {
            instance: report.incarnation.instance.clone(),
            epoch,
            own: false,
        })
    }

    /// Returns the group of `key` among the configured number of groups of its kind.
    pub(crate) fn group_of(&self, kind: GroupKind, key: &[u8]) -> GroupId {
        GroupId::of(kind, key, self.groups)
    }

    /// Returns the state of `backend` in the platform's list; `None` if it is not listed.
    pub(crate) fn backend_state(&self, backend: &BackendId) -> Option<ListState> {
        let inner = self.shared.lock();
        inner.backends.as_ref()?.get(backend).copied()
    }

    /// Returns the number of online requests that peers report as in flight to `backend`.
    pub(crate) fn online_at_peers(&self, now: Timestamp, backend: &BackendId) -> u32 {
        self.shared.lock().members.online_at_peers(now, backend)
    }

    /// Returns the live and serving instances, this one included if it serves.
    pub(crate) fn public_instances(&self, now: Timestamp) -> Vec<PublicInstance> {
        let leaving = self.node().is_none_or(|node| node.is_leaving());
        let inner = self.shared.lock();
        let mut serving: BTreeSet<&InstanceId> = inner.members.serving_peers(now).collect();
        if inner.serving && !leaving {
            serving.insert(&self.own.instance);
        }
        let entries = inner.instances.values();
        entries
            .filter(|entry| entry.state == MemberState::Live && serving.contains(&entry.name))
            .map(|entry| PublicInstance {
                instance: entry.name.clone(),
                zone: entry.zone.clone(),
                address: entry.public,
            })
            .collect()
    }

    /// Returns whether the log was read recently enough to append to it.
    pub(crate) fn log_reachable(&self, now: Timestamp) -> bool {
        self.shared.lock().is_log_reachable(now)
    }

    fn node(&self) -> Option<Arc<Node>> {
        self.node.get()?.upgrade()
    }

    /// Sends the one-way `message` to `to`; a message to an unreachable instance is dropped.
    pub(crate) fn notify(&self, to: &InstanceId, message: PeerMessage) {
        if *to == self.own.instance {
            if let Some(node) = self.node() {
                let own = links::hello(&node);
                peers::handle_message(&node, &own, message);
            }
        } else if let Some(link) = self.links.get(to) {
            let _ = link.link.notify(message);
        }
    }

    /// Calls `to` and waits at most `timeout`; a call to this instance is dispatched locally.
    pub(crate) async fn call(
        &self,
        to: &InstanceId,
        body: CallBody,
        timeout: Duration,
    ) -> Result<ReplyBody, CallError> {
        let reply = if *to == self.own.instance {
            self.call_own(body, timeout).await
        } else {
            let link = self.links.get(to).ok_or_else(unreachable)?;
            let reply = link.link.call(body, timeout).await;
            reply.map_err(|err| call_error("unreachable", err.to_string(), err.verdict()))
        };
        match reply? {
            ReplyBody::Error(err) => Err(err),
            body => Ok(body),
        }
    }

    async fn call_own(&self, body: CallBody, timeout: Duration) -> Result<ReplyBody, CallError> {
        let node = self.node().ok_or_else(unreachable)?;
        let running = peers::dispatch_own(node, body);
        let reply = timeout_at(Instant::now() + timeout, running).await;
        reply.ok_or_else(|| {
            let message = "this instance did not answer its own call in time";
            call_error("timeout", message.to_owned(), Verdict::MayHaveRun)
        })
    }
}

fn call_error(code: &str, message: String, verdict: Verdict) -> CallError {
    CallError {
        code: code.to_owned(),
        message,
        verdict,
        retry_after_ms: None,
    }
}

fn unreachable() -> CallError {
    let message = "the instance is not reachable".to_owned();
    call_error("unreachable", message, Verdict::NotRun)
}
