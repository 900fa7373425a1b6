//! Quota owners of the groups that this instance acts for.

use limpetweir_coordination::MayAct;
use limpetweir_coordination::quota::{
    OwnershipStart,
    QuotaAnswer,
    QuotaOwner,
    QuotaRefusal,
    QuotaRequest,
    QuotaSettings, //
};
use limpetweir_protocol::peer::{
    CallError,
    Hello,
    QuotaCall,
    ReplyBody, //
};
use limpetweir_state::{
    Epoch,
    GroupId,
    GroupKind,
    Timestamp,
    Verdict,
    Version, //
};

use super::admission::shard_with_limits;
use super::serving;
use crate::event;
use crate::events::{
    QUOTA_HOME_ENDED,
    QUOTA_HOME_STARTED,
    QUOTA_MESSAGE_REFUSED, //
};
use crate::node::Node;

/// State of one quota group at this instance.
#[derive(Debug, Default)]
pub(super) struct QuotaGroupSlot {
    /// The owner state, while this instance holds the group.
    owner: Option<QuotaOwner>,
    /// Configuration version whose limits were last applied to the owner.
    limits_version: Option<Version>,
}

/// Creates and removes quota owners as the ownership of their groups changes.
pub(super) fn update_ownership(node: &Node) {
    for index in 0..node.settings.groups {
        let kind = GroupKind::Quota;
        let group = GroupId { kind, index };
        let now = node.clock.now();
        match node.control.may_act(now, group) {
            MayAct::Yes(epoch) => with_owner(node, group, epoch, now, |_| ()),
            MayAct::NotHolder => end_ownership(node, group),
            // The owner state is kept: the instance still holds the group and may act again.
            MayAct::WaitUntil(_) | MayAct::LeaseExpired => {}
        }
    }
}

/// Handles a grantee's quota call, as the owner of its quota group or as a peer with a share.
pub(crate) fn handle_quota_call(node: &Node, from: &Hello, call: QuotaCall) -> ReplyBody {
    if call.borrower != from.incarnation {
        event!(
            QUOTA_MESSAGE_REFUSED,
            "from={} borrower={}",
            from.incarnation,
            call.borrower
        );
        return error_reply("wrong_borrower", "the borrower is not the sender", None);
    }
    let share_only = call.share_only;
    let request = match QuotaRequest::try_from(call) {
        Ok(request) => request,
        Err(err) => {
            event!(QUOTA_MESSAGE_REFUSED, "from={} {err}", from.incarnation);
            return error_reply("invalid_quota_call", &err.to_string(), None);
        }
    };
    if share_only {
        return ReplyBody::Quota(admit_from_own_share(node, &request, 0).into());
    }
    match admit_as_owner(node, &request) {
        Ok(answer) => {
            let own = admit_from_own_share(node, &request, answer.admitted);
            let admitted = answer.admitted + own.admitted;
            ReplyBody::Quota(QuotaAnswer { admitted, ..answer }.into())
        }
        Err(refusal) => {
            let own = admit_from_own_share(node, &request, 0);
            if own.admitted == 0 {
                return refusal;
            }
            ReplyBody::Quota(own.into())
        }
    }
}

/// Admits from this instance's own share the tokens that the owner did not admit.
///
/// Other instances can thus use the tokens of a share, also while no quota owner acts. An instance
/// that may not serve admits nothing, because it may not have received a lowered limit.
fn admit_from_own_share(node: &Node, request: &QuotaRequest, admitted: u32) -> QuotaAnswer {
    let Ok(current) = serving(node) else {
        return QuotaAnswer {
            admitted: 0,
            share: None,
            retry_after: None,
        };
    };
    let rest = QuotaRequest {
        tokens: request.tokens.saturating_sub(admitted),
        ..request.clone()
    };
    let mut shard = shard_with_limits(node, &current, &request.organisation);
    shard.grantee.answer_peer(&rest, node.clock.now())
}

/// Returns the quota owner's answer, or an error reply if this instance may not act as owner.
fn admit_as_owner(node: &Node, request: &QuotaRequest) -> Result<QuotaAnswer, ReplyBody> {
    let key = request.organisation.as_str().as_bytes();
    let group = node.control.group_of(GroupKind::Quota, key);
    let now = node.clock.now();
    match node.control.may_act(now, group) {
        MayAct::Yes(epoch) => {
            let handled = with_owner(node, group, epoch, now, |owner| owner.handle(request, now));
            handled.map_err(|err| refusal_reply(&err))
        }
        MayAct::WaitUntil(at) => {
            let wait = u64::try_from(at.since(now).as_millis()).ok();
            let message = "the quota home does not act yet";
            Err(error_reply("home_not_active", message, wait))
        }
        MayAct::NotHolder | MayAct::LeaseExpired => Err(error_reply(
            "not_home",
            "this instance may not act for the quota group",
            None,
        )),
    }
}

/// Calls `step` with the owner state of `epoch`, after applying the limits of the configuration in
/// force.
fn with_owner<T>(
    node: &Node,
    group: GroupId,
    epoch: Epoch,
    now: Timestamp,
    step: impl FnOnce(&mut QuotaOwner) -> T,
) -> T {
    let current = node.control.current();
    let is_first = node.control.is_first_claim(group, epoch);
    let mut slot = node.online.quota_groups.at(usize::from(group.index));
    let QuotaGroupSlot {
        owner,
        limits_version,
    } = &mut *slot;
    if owner.as_ref().is_some_and(|owner| owner.epoch() != epoch) {
        *owner = None;
        *limits_version = None;
    }
    let owner = owner.get_or_insert_with(|| start_ownership(node, group, epoch, is_first, now));
    if let Some(current) = current.filter(|current| Some(current.version) > *limits_version) {
        let organisations = current.configuration.organisations();
        let limits = organisations
            .filter(|o| {
                node.control
                    .group_of(GroupKind::Quota, o.id.as_str().as_bytes())
                    == group
            })
            .map(|o| (&o.id, o.limit));
        owner.set_limits(limits, now);
        *limits_version = Some(current.version);
    }
    step(owner)
}

/// Returns the owner state for a claim under which this instance may act from now on.
fn start_ownership(
    node: &Node,
    group: GroupId,
    epoch: Epoch,
    is_first: bool,
    now: Timestamp,
) -> QuotaOwner {
    let start = if is_first {
        OwnershipStart::First
    } else {
        // This instance acts only once the former owner no longer does, so at most shares that the
        // former owner granted are still valid.
        OwnershipStart::AfterRelease
    };
    event!(
        QUOTA_HOME_STARTED,
        "group={group} epoch={} first={is_first}",
        epoch.0
    );
    let mut owner = QuotaOwner::new(epoch, start, QuotaSettings::default(), now);
    owner.set_own(node.incarnation.clone());
    owner
}

fn end_ownership(node: &Node, group: GroupId) {
    let slot = std::mem::take(&mut *node.online.quota_groups.at(usize::from(group.index)));
    if let Some(owner) = slot.owner {
        event!(QUOTA_HOME_ENDED, "group={group} epoch={}", owner.epoch().0);
    }
}

fn refusal_reply(err: &QuotaRefusal) -> ReplyBody {
    let (code, wait) = match err {
        QuotaRefusal::NotActive { retry_after } => (
            "home_not_active",
            u64::try_from(retry_after.as_millis()).ok(),
        ),
        QuotaRefusal::Replaced { .. } => ("home_replaced", None),
        QuotaRefusal::UnknownOrganisation { .. } => ("unknown_organisation", None),
    };
    error_reply(code, &err.to_string(), wait)
}

fn error_reply(code: &str, message: &str, retry_after_ms: Option<u64>) -> ReplyBody {
    ReplyBody::Error(CallError {
        code: code.to_owned(),
        message: message.to_owned(),
        verdict: Verdict::NotRun,
        retry_after_ms,
    })
}
