//! Handlers of calls about batch jobs: submission, pages of results, item contents and job ends.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use hyper::body::Bytes;
use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_state::Timestamp;
use limpetweir_transport::http::Body;
use limpetweir_transport::timeout_at;

use super::catch_up::{
    self,
    Confirmation, //
};
use super::lines::{
    JOB_CALL,
    JOB_REFUSED,
    log_event, //
};
use super::node::{
    Node,
    unix_ms, //
};
use super::rejections::reject_body;
use super::replies::{
    json,
    plain,
    retry_later, //
};
use super::writer;
use crate::config::{
    Organisation,
    Route, //
};
use crate::jobs::{
    Change,
    Job,
    NewItem,
    Outcome,
    Submission,
    WriteError, //
};
use crate::memory::ReadError;
use crate::platform::{
    CallHead,
    Dialect,
    JobCall,
    ResultView,
    Store, //
};

/// Maximum size of a page of results in bytes of text; a page contains at least one result.
const PAGE_BYTES: usize = 900 << 10;

/// Upper bound of the time for which a caller can wait for results.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// `Retry-After` of a call that the store did not accept.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// `Retry-After` of a job that exceeds the limit of waiting tokens; items end continuously.
const LIMIT_RETRY: Duration = Duration::from_millis(1_000);

/// Time limit for the confirmation by the store that a job or a result does not exist.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The same once a stopping instance must answer; shorter than the time after which the call gets 504.
const LAST_CONFIRM_TIMEOUT: Duration = Duration::from_millis(80);

/// Longest time of a call about an existing job without a wait for results: it is forwarded, or
/// confirmed and written.
pub(crate) const LONGEST_CALL: Duration = Duration::from_millis(3_000);

/// Copies of the body of a submission that its parse makes: the strings of the items, and their decoded bodies.
const PARSE_COPIES: usize = 2;

/// Copies of the items of a submission until their append: themselves, and their records.
const APPEND_COPIES: usize = 2;

/// Handles the submission of a job.
pub(crate) async fn submit<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    route: &Route,
    organisation: &Organisation,
    call: &CallHead,
    body: &Bytes,
) -> Response<Body> {
    let id = &call.request_id;
    let mut share = match node.bodies.reserve(body.len() * PARSE_COPIES).await {
        Ok(share) => share,
        Err(err) => return reject_body(node, id, &err),
    };
    let items = match node.platform.submission(body) {
        Ok(items) if !id.is_empty() => items,
        Ok(_) => {
            log_event!(JOB_REFUSED, "job={id} status=400 cause=no-identifier");
            return plain(StatusCode::BAD_REQUEST, "the job has no identifier");
        }
        Err(err) => {
            log_event!(JOB_REFUSED, "job={id} status=400 cause=\"{err}\"");
            return plain(StatusCode::BAD_REQUEST, &err.to_string());
        }
    };
    let count = items.len();
    let memory: usize = items.iter().map(NewItem::memory).sum();
    // Many small items may take more than the estimate, and are there already.
    if share.take(memory * APPEND_COPIES).is_err() {
        return reject_body(node, id, &ReadError::NoRoom);
    }
    let submission = Submission {
        id: id.clone(),
        organisation: organisation.name.clone(),
        route: route.name.clone(),
        host: route.host.clone(),
        submitted: unix_ms(),
        waiting_tokens: route.batch.and_then(|terms| terms.waiting_tokens),
        items,
    };
    let partition = node.partition_of(&organisation.name);
    let started = Instant::now();
    let result = writer::write_with(node, partition, Change::Submit(submission), share).await;
    let ms = started.elapsed().as_millis();
    match result {
        Ok(()) => {
            log_event!(
                JOB_CALL,
                "job={id} call=submit items={count} status=202 ms={ms} organisation={}",
                organisation.name
            );
            let mut response = plain(StatusCode::ACCEPTED, "accepted");
            *response.body_mut() = Body::empty();
            response
        }
        Err(err) => write_rejected(id, "submit", &err),
    }
}

/// Returns the response to a call whose change is not confirmed to be in the store.
fn write_rejected(job: &str, call: &str, err: &WriteError) -> Response<Body> {
    let response = match err {
        WriteError::NoJob => plain(StatusCode::NOT_FOUND, "no such job"),
        WriteError::NoRoom { waiting } => {
            let text = format!("the job does not fit; {waiting} tokens wait already");
            retry_later(StatusCode::TOO_MANY_REQUESTS, &text, LIMIT_RETRY)
        }
        // The limits of the configuration allow it, so it is not denied with a 4xx. No instance can
        // write it, so there is no time to return.
        WriteError::TooLarge { reason } => plain(StatusCode::SERVICE_UNAVAILABLE, reason),
        WriteError::Refused { .. } | WriteError::NotDone { .. } => {
            let text = "the store did not take the call; it has no effect";
            retry_later(StatusCode::SERVICE_UNAVAILABLE, text, STORE_RETRY)
        }
        WriteError::Unknown { .. } => {
            let text = "the store did not answer; the call may have taken effect";
            plain(StatusCode::GATEWAY_TIMEOUT, text)
        }
    };
    let status = response.status().as_u16();
    log_event!(
        JOB_REFUSED,
        "job={job} call={call} status={status} cause=\"{err:?}\""
    );
    response
}

/// Handles a call about an existing job of `organisation`.
pub(crate) async fn handle<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    call: JobCall,
    organisation: &Organisation,
) -> Response<Body> {
    let partition = node.partition_of(&organisation.name);
    let (JobCall::Results { job, .. } | JobCall::Content { job, .. } | JobCall::End { job }) =
        &call;
    let arrived = node.now();
    let called = Instant::now();
    if exists(node, partition, job, organisation) != Some(true) {
        let confirmation = catch_up::confirm(node, partition, arrived, confirm_timeout(node)).await;
        let Some(confirmation) = confirmation else {
            log_event!(
                JOB_REFUSED,
                "job={job} status=503 cause=\"unknown here, and no read of the store has confirmed that\""
            );
            let text = "it is not known whether the job exists";
            return retry_later(StatusCode::SERVICE_UNAVAILABLE, text, STORE_RETRY);
        };
        match exists(node, partition, job, organisation) {
            Some(true) => {}
            Some(false) => return no_such_job(job, &confirmation),
            None => return repeat_elsewhere(job, NOT_LOADED),
        }
    }
    match call {
        JobCall::Results { job, after, wait } => {
            let deadline = called + wait.min(MAX_WAIT);
            let read = ResultsRead {
                partition,
                job: &job,
                after,
                arrived,
                deadline,
            };
            results(node, read).await
        }
        JobCall::Content { job, item } => content(node, partition, &job, &item),
        JobCall::End { job } => end(node, partition, job).await,
    }
}

/// Returns the time for a confirmation by the store, which is shorter at the end of a stop.
fn confirm_timeout<P>(node: &Node<P>) -> Duration {
    let left = node.stop.remaining();
    left.map_or(CONFIRM_TIMEOUT, |left| {
        CONFIRM_TIMEOUT.min(left + LAST_CONFIRM_TIMEOUT)
    })
}

fn no_such_job(job: &str, confirmation: &Confirmation) -> Response<Body> {
    log_event!(
        JOB_REFUSED,
        "job={job} status=404 cause=no-such-job {confirmation}"
    );
    plain(StatusCode::NOT_FOUND, "no such job")
}

/// Returns whether this instance knows the job; `None` if the partition is not loaded, so that
/// nothing is known of its jobs.
fn exists<P>(
    node: &Arc<Node<P>>,
    partition: usize,
    job: &str,
    organisation: &Organisation,
) -> Option<bool> {
    let state = node.lock();
    let job = state.partitions[partition].loaded()?.get(job);
    Some(job.is_some_and(|job| job.organisation == organisation.name))
}

/// A read of the results of a job.
#[derive(Clone, Copy, Debug)]
struct ResultsRead<'a> {
    partition: usize,
    job: &'a str,
    /// Position of the first result.
    after: usize,
    /// When the call arrived.
    arrived: Timestamp,
    /// Time until which the caller waits for a result.
    deadline: Instant,
}

async fn results<P: Store + Dialect>(node: &Arc<Node<P>>, read: ResultsRead<'_>) -> Response<Body> {
    let id = read.job;
    loop {
        let changed = node.jobs_changed.listen();
        match find_results(node, read) {
            Found::Page(page) => return page,
            Found::Nothing { .. } => {}
            Found::Unknown => return repeat_elsewhere(id, NOT_LOADED),
        }
        // A stopping instance waits no longer.
        if Instant::now() >= read.deadline || node.stop.is_over() {
            break;
        }
        timeout_at(read.deadline, future::or(changed, node.stop.ended())).await;
    }
    let timeout = confirm_timeout(node);
    let confirmation = catch_up::confirm(node, read.partition, read.arrived, timeout).await;
    let Some(confirmation) = confirmation else {
        return repeat_elsewhere(id, UNCONFIRMED);
    };
    match find_results(node, read) {
        Found::Page(page) => page,
        Found::Nothing { listed, total } if listed >= read.after => {
            empty_page(node, read, total, &confirmation)
        }
        Found::Nothing { .. } => repeat_elsewhere(id, BEYOND_RESULTS),
        Found::Unknown => repeat_elsewhere(id, NOT_LOADED),
    }
}

/// What the copy of a partition has of the results of a job from a position on.
enum Found {
    /// A page of them; an empty one if the job is complete.
    Page(Response<Body>),
    /// None of them; the job has `listed` results of `total`.
    Nothing { listed: usize, total: usize },
    /// The partition is not loaded any more, or the job has been removed.
    Unknown,
}

fn find_results<P: Store + Dialect>(node: &Arc<Node<P>>, read: ResultsRead<'_>) -> Found {
    let state = node.lock();
    let Some(job) = state.job(read.partition, read.job) else {
        return Found::Unknown;
    };
    let (listed, total) = (job.results.len(), job.items.len());
    if listed > read.after || listed >= total {
        return Found::Page(page(node, job, read.after));
    }
    Found::Nothing { listed, total }
}

/// Returns the page of a job that has no result at `after` yet.
fn empty_page<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    read: ResultsRead<'_>,
    total: usize,
    confirmation: &Confirmation,
) -> Response<Body> {
    let (id, after) = (read.job, read.after);
    log_event!(
        JOB_CALL,
        "job={id} call=results status=200 after={after} {confirmation}"
    );
    json(node.platform.results(total, after, &[]))
}

/// Rejects a call about a job of which another instance may know more.
fn repeat_elsewhere(job: &str, cause: &str) -> Response<Body> {
    log_event!(JOB_REFUSED, "job={job} status=503 cause=\"{cause}\"");
    let text = "another instance may know more of the job";
    retry_later(StatusCode::SERVICE_UNAVAILABLE, text, STORE_RETRY)
}

/// Cause of a rejection because it is not known whether there are further results.
const UNCONFIRMED: &str = "no result here, and no read of the store has confirmed that";

/// Cause of a rejection because the caller asks for a position behind the next result.
const BEYOND_RESULTS: &str = "the caller has read more results than are in the store";

/// Cause of a rejection because the partition was dropped or missed records while the call was being
/// handled.
const NOT_LOADED: &str = "the job is not known here any more";

fn page<P: Store + Dialect>(node: &Arc<Node<P>>, job: &Job, after: usize) -> Response<Body> {
    let mut bytes = 0;
    let mut views = Vec::new();
    for listed in job.results.iter().skip(after) {
        bytes += listed.text.len();
        if bytes > PAGE_BYTES && !views.is_empty() {
            break;
        }
        views.push(ResultView {
            item: &job.items[listed.item].id,
            completed: listed.outcome == Outcome::Completed,
            text: &listed.text,
        });
    }
    let next = after + views.len();
    json(node.platform.results(job.items.len(), next, &views))
}

fn content<P>(node: &Arc<Node<P>>, partition: usize, job: &str, item: &str) -> Response<Body> {
    let state = node.lock();
    let Some(known) = state.job(partition, job) else {
        return repeat_elsewhere(job, NOT_LOADED);
    };
    match known.items.iter().find(|i| i.id == item) {
        Some(item) => Response::new(Body::from(item.body.clone())),
        None => plain(StatusCode::NOT_FOUND, "no such item"),
    }
}

async fn end<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    partition: usize,
    job: String,
) -> Response<Body> {
    let change = Change::End { job: job.clone() };
    match writer::write(node, partition, change).await {
        Ok(()) => {
            log_event!(JOB_CALL, "job={job} call=end status=200");
            Response::new(Body::empty())
        }
        Err(err) => write_rejected(&job, "end", &err),
    }
}
