//! What the online and the batch path see of the control loops.

use std::sync::Arc;
use std::time::Duration;

use event_listener::EventListener;
use limpetweir_coordination::{
    ListState,
    MayAct, //
};
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
    InstanceId,
    Timestamp,
    Version,
    ZoneId, //
};

use super::Control;

/// The configuration that the instance acts on.
#[derive(Clone, Debug)]
pub(crate) struct Current {
    /// Version of the configuration.
    pub(crate) version: Version,
    /// The configuration.
    pub(crate) configuration: Arc<Configuration>,
}

/// The instance that owns a group, as far as this instance knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    /// The owner.
    pub(crate) instance: InstanceId,
    /// Epoch of the claim.
    pub(crate) epoch: Epoch,
    /// Whether the owner is this instance.
    pub(crate) own: bool,
}

/// An instance that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PublicInstance {
    /// Name of the instance.
    pub(crate) instance: InstanceId,
    /// Availability zone of the instance.
    pub(crate) zone: ZoneId,
    /// Address for callers.
    pub(crate) address: std::net::SocketAddr,
}

/// Access of the paths to the control state; every method takes its locks briefly.
impl Control {
    /// Returns the configuration, or `None` before the first one is known.
    pub(crate) fn current(&self) -> Option<Current> {
        None
    }

    /// Returns a listener that is notified when the configuration, ownership or the list changes.
    pub(crate) fn changes(&self) -> EventListener {
        event_listener::Event::new().listen()
    }

    /// Returns whether this instance may act for `group`.
    pub(crate) fn may_act(&self, _now: Timestamp, _group: GroupId) -> MayAct {
        MayAct::NotHolder
    }

    /// Returns the owner of `group` by the claims read or by a later epoch that a peer reports.
    pub(crate) fn owner(&self, _now: Timestamp, _group: GroupId) -> Option<Owner> {
        None
    }

    /// Returns the group of `key` among the configured number of groups of its kind.
    pub(crate) fn group_of(&self, kind: limpetweir_state::GroupKind, key: &[u8]) -> GroupId {
        GroupId::of(kind, key, 16)
    }

    /// Returns whether the list names `backend` as live or leaving; `None` if it does not name it.
    pub(crate) fn backend_state(&self, _backend: &BackendId) -> Option<ListState> {
        None
    }

    /// Returns the online requests that peers report in flight for `backend`.
    pub(crate) fn online_at_peers(&self, _now: Timestamp, _backend: &BackendId) -> u32 {
        0
    }

    /// Returns the live and serving instances, this one included if it serves.
    pub(crate) fn public_instances(&self, _now: Timestamp) -> Vec<PublicInstance> {
        Vec::new()
    }

    /// Returns whether the log was read recently enough to append to it.
    pub(crate) fn log_reachable(&self, _now: Timestamp) -> bool {
        false
    }

    /// Sends `message` to `to` without an answer; a message to an unreachable instance is dropped.
    pub(crate) fn notify(&self, _to: &InstanceId, _message: PeerMessage) {}

    /// Calls `to` and waits at most `timeout`; a call to this instance is dispatched locally.
    pub(crate) async fn call(
        &self,
        _to: &InstanceId,
        _body: CallBody,
        _timeout: Duration,
    ) -> Result<ReplyBody, CallError> {
        Err(CallError {
            code: "unreachable".to_owned(),
            message: "the instance is not reachable".to_owned(),
            verdict: limpetweir_state::Verdict::NotRun,
            retry_after_ms: None,
        })
    }
}
