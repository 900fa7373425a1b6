//! `job submit`: submits a file of items as one job.

use std::path::PathBuf;

use clap::ArgMatches;
use hyper::header::{
    HeaderName,
    HeaderValue, //
};
use jiff::Timestamp;
use limpetweir_protocol::http::{
    JobAccepted,
    JobRequest,
    RawJobRequest, //
};
use limpetweir_state::{
    ModelId,
    ServiceId,
    Verdict, //
};
use serde_json::json;

use super::arg;
use crate::error::Error;
use crate::fleet::{
    Call,
    parse, //
};
use crate::items::parse_items;
use crate::options::{
    Options,
    read_text, //
};
use crate::output;
use crate::random;
use crate::span::Deadline;

/// Largest request body that instances accept, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Longest idempotency key that instances accept, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Runs `job submit`.
pub(super) fn run(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let request = read_request(matches)?;
    let deadline_s = request.deadline_s;
    let body = encode(request)?;
    let (key, header) = idempotency_key(matches)?;
    let mut fleet = options.public()?;
    // Printed before the request, so that the submission can be repeated if this process is
    // interrupted. The deadline is included because it is part of the job: the same key with
    // another deadline is rejected.
    eprintln!("idempotency key {key}, deadline {deadline_s}s");
    let call = Call::post("/v1/jobs", body)
        .json()
        .idempotent()
        .header(HeaderName::from_static("idempotency-key"), header);
    let response = match async_io::block_on(fleet.request(&call)) {
        Ok(response) => response,
        Err(source) if source.verdict() == Verdict::NotRun => return Err(source.into()),
        Err(source) => {
            return Err(Error::SubmissionUnknown {
                key,
                deadline_s,
                source: Box::new(source),
            });
        }
    };
    let accepted: JobAccepted = parse(&call, &response)?;
    if options.json {
        return output::json(&json!({
            "id": accepted.id,
            "items": accepted.items,
            "idempotency_key": key,
            "deadline_s": deadline_s,
        }));
    }
    output::line(accepted.id.as_str())
}

fn read_request(matches: &ArgMatches) -> Result<RawJobRequest, Error> {
    let path: &PathBuf = arg(matches, "file")?;
    let file = path.display().to_string();
    let text = read_text(path)?;
    let items = parse_items(&text).map_err(|faults| Error::Items { file, faults })?;
    let deadline: Deadline = *arg(matches, "deadline")?;
    let deadline_s = deadline
        .seconds_from(Timestamp::now())
        .ok_or_else(|| Error::usage("--deadline must be at least one second from now"))?;
    Ok(RawJobRequest {
        service: arg::<ServiceId>(matches, "service")?.clone(),
        model: arg::<ModelId>(matches, "model")?.clone(),
        deadline_s,
        items,
    })
}

/// Validates a request and returns its body.
fn encode(raw: RawJobRequest) -> Result<Vec<u8>, Error> {
    let body = output::to_json(&raw).into_bytes();
    JobRequest::try_from(raw).map_err(|cause| Error::usage(cause.to_string()))?;
    if body.len() > MAX_BODY_BYTES {
        let message = format!(
            "the job has {} bytes, more than the limit of {MAX_BODY_BYTES}: split it",
            body.len()
        );
        return Err(Error::usage(message));
    }
    Ok(body)
}

fn idempotency_key(matches: &ArgMatches) -> Result<(String, HeaderValue), Error> {
    let given = matches.get_one::<String>("idempotency-key").cloned();
    let key = given.map_or_else(random::id, Ok)?;
    let accepted =
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic());
    let header = HeaderValue::from_str(&key).ok().filter(|_| accepted);
    let header = header.ok_or_else(|| {
        Error::usage(format!(
            "--idempotency-key takes 1 to {MAX_KEY_BYTES} printable ASCII characters without spaces"
        ))
    })?;
    Ok((key, header))
}
