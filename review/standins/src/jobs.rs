//! A caller of batch jobs.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{
    Duration,
    Instant, //
};

use crate::http::{
    Message,
    base64,
    call, //
};
use crate::record::Record;

pub const HOST: &str = "one.example";
pub const KEY: &str = "key-1";

/// Time limit of a submission.
pub const TIME_LIMIT: Duration = Duration::from_millis(4_000);

pub struct Item {
    pub id: String,
    pub path: String,
    pub tokens: u64,
    pub body: Vec<u8>,
}

/// Returns the body of a submission.
pub fn submission(items: &[Item]) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|item| {
            format!(
                r#"{{"identifier":"{}","path":"{}","headers":{{"X-Model":"m","X-Token-Usage":"100,100"}},"body":"{}","tokens":{}}}"#,
                item.id,
                item.path,
                base64(&item.body),
                item.tokens
            )
        })
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}

/// Answer to one attempt; status 0 if there was none.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<f64>,
    pub body: String,
}

/// Sends a job once.
pub fn submit(record: &Record, at: SocketAddr, id: &str, body: &str, left: Duration) -> Answer {
    let headers = [
        ("Host", HOST),
        ("X-Api-Key", KEY),
        ("X-Request-Identifier", id),
        ("Content-Type", "application/json"),
    ];
    record.line(&format!("caller submits {id} at {at}"));
    let response = call(
        at,
        &format!("POST /jobs/{id}"),
        &headers,
        body.as_bytes(),
        left,
    );
    let answer = answer(response);
    record.line(&format!(
        "{at} answers {id} with {} {}",
        answer.status, answer.body
    ));
    answer
}

fn answer(response: std::io::Result<Message>) -> Answer {
    match response {
        Ok(message) => Answer {
            status: message.status(),
            retry_after: message.header("retry-after").and_then(|v| v.parse().ok()),
            body: message.text(),
        },
        Err(err) => Answer {
            status: 0,
            retry_after: None,
            body: err.to_string(),
        },
    }
}

/// Sends a job as callers do: within their time limit, each time to another instance, after a refusal
/// when `Retry-After` says, but no later than after a third of the time left. Returns all statuses.
pub fn submit_with_retries(record: &Record, at: &[SocketAddr], id: &str, body: &str) -> Vec<u16> {
    let began = Instant::now();
    let mut statuses = Vec::new();
    for addr in at {
        let left = TIME_LIMIT.saturating_sub(began.elapsed());
        if left.is_zero() {
            break;
        }
        let answer = submit(record, *addr, id, body, left);
        let in_time = began.elapsed() <= TIME_LIMIT;
        if !in_time {
            record.line("the caller has left before this answer");
        }
        statuses.push(if in_time { answer.status } else { 0 });
        if answer.status == 202 {
            break;
        }
        let left = TIME_LIMIT.saturating_sub(began.elapsed());
        let pause = answer.retry_after.unwrap_or(0.0).max(0.0);
        sleep(Duration::from_secs_f64(pause).min(left / 3));
    }
    statuses
}

/// Reads the results of a job from the start; `None` if the call isn't answered with 200.
pub fn results(at: SocketAddr, id: &str) -> Option<String> {
    let headers = [("Host", HOST), ("X-Api-Key", KEY)];
    let uri = format!("GET /lots/{id}?after=0");
    let response = call(at, &uri, &headers, b"", Duration::from_secs(3)).ok()?;
    (response.status() == 200).then(|| response.text())
}

/// Reads the results of a job until `done` holds for them; returns the last ones.
pub fn wait_for_results(
    at: SocketAddr,
    id: &str,
    longest: Duration,
    done: impl Fn(&str) -> bool,
) -> String {
    let deadline = Instant::now() + longest;
    let mut last = String::new();
    while Instant::now() < deadline {
        if let Some(text) = results(at, id) {
            last = text;
            if done(&last) {
                break;
            }
        }
        sleep(Duration::from_millis(300));
    }
    last
}

/// Returns the configuration.
pub fn config(version: u64, attempts: u32, cap: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"once","host":"{HOST}","pathPrefix":"/once/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"gapTargetMs":250,"attempts":1,"resumable":false,"service":"s1","public":false}},{{"name":"again","host":"{HOST}","pathPrefix":"/again/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"gapTargetMs":250,"attempts":2,"resumable":true,"service":"s1","public":false}},{{"name":"jobs","host":"{HOST}","pathPrefix":"/jobs/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"attempts":{attempts},"completionTargetMs":18000,"retentionS":60,"cap":{cap},"service":"s1","public":false}}],"services":[{{"name":"s1","engine":{{"slots":8}}}}],"tenants":[{{"name":"org","apiKeys":["{KEY}"],"requestsPerS":200,"burst":200}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":20000}}}}"#
    )
}
