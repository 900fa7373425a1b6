//! Sends an admitted request to backend servers until one of them responds.

use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use limpetweir_state::Verdict;
use limpetweir_transport::http::Body;
use limpetweir_transport::{
    Deadline,
    MovingTimer, //
};

use super::admitted::Admitted;
use super::attempt::{
    Attempt,
    attempt, //
};
use super::attempt_history::AttemptHistory;
use super::choose::{
    Eligible,
    PlacedRequest,
    choose, //
};
use super::first_output::Started;
use super::lines::{
    ATTEMPT_FAILED,
    log_event, //
};
use super::node::Node;
use super::rejections::{
    fail,
    reject,
    reject_held, //
};
use super::relay::{
    Forwarded,
    Relay, //
};
use super::{
    case_records,
    crash_checks,
    leases, //
};
use crate::platform::{
    Dialect,
    Store, //
};

/// Sends a request to backend servers until one responds with output; the error is the response to the
/// caller if none does.
pub(crate) async fn find_response<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &mut AttemptHistory,
) -> Result<Started<P>, Response<Body>> {
    loop {
        let placed = place(node, admitted, history).await?;
        let backend = placed.entry.clone();
        history.tried.push(placed.key);
        let (verdict, failure) = match attempt(node, admitted, history, placed).await {
            Attempt::Answered(source) => {
                history.runs += 1;
                let waiting = Relay {
                    node,
                    admitted,
                    sender: None,
                    history: &mut *history,
                    forwarded: Forwarded::default(),
                    backend: backend.id.clone(),
                    sent_on: source.response.body().sent_on(),
                    deadline: Deadline::new(admitted.deadline),
                    silence: MovingTimer::default(),
                };
                // Most connections are idle, and each has room for the future of a request.
                match Box::pin(waiting.first_output(*source)).await {
                    Ok(started) => return Ok(started),
                    Err(interruption) => {
                        may_repeat(node, admitted, history, &interruption.to_string()).await?;
                        continue;
                    }
                }
            }
            Attempt::NotRun(failure) => {
                history.rejections += 1;
                (Verdict::NotRun, failure)
            }
            Attempt::Refused(failure) => (Verdict::NotRun, failure),
            Attempt::MayHaveRun(failure) => {
                history.runs += 1;
                (Verdict::MayHaveRun, failure)
            }
            Attempt::Lost(failure) => {
                history.runs += 1;
                history.silent_losses += 1;
                (Verdict::MayHaveRun, failure)
            }
        };
        let id = &admitted.call.request_id;
        log_event!(
            ATTEMPT_FAILED,
            "request={id} backend={} verdict={verdict} {failure}",
            backend.id
        );
        if verdict != Verdict::NotRun {
            may_repeat(node, admitted, history, &failure.cause).await?;
        }
    }
}

/// Selects the server of the next attempt, once the request may be sent; the error is the response to the
/// caller if none takes it.
async fn place<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &mut AttemptHistory,
) -> Result<PlacedRequest<P>, Response<Body>> {
    let lease = leases::acquire(node, &admitted.parts, admitted.deadline).await;
    let lease = lease.map_err(|busy| reject(node, admitted, history, busy))?;
    let mut placed = match choose(node, admitted, history, Eligible::All) {
        Ok(placed) => placed,
        Err(rejection) => return Err(reject(node, admitted, history, rejection)),
    };
    placed.lease = lease;
    if placed.needs_probe {
        let id = &admitted.call.request_id;
        if !case_records::claim_probe(node, id, admitted.parts.keys()).await {
            drop(placed);
            return Err(reject_held(node, admitted, history));
        }
        history.is_probe = true;
    }
    Ok(placed)
}

/// Waits until a request that may have run can be sent again; the error is the response to the caller
/// if it may not.
async fn may_repeat<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    admitted: &Admitted,
    history: &AttemptHistory,
    cause: &str,
) -> Result<(), Response<Body>> {
    let may_run_again = history.may_run_again(&admitted.route);
    if !may_run_again || admitted.deadline <= Instant::now() {
        return Err(fail(node, admitted, cause));
    }
    for key in &history.tried {
        crash_checks::checked(node, *key).await;
    }
    Ok(())
}
