//! Streams one batch item from an engine.

use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_protocol::peer::RunItem;
use limpetweir_state::Verdict;
use limpetweir_transport::http::{
    Client,
    ClientBody,
    EventReader,
    SendOptions,
    TrafficClass, //
};
use serde::Deserialize;
use serde_json::json;

/// Maximum time of one attempt; a longer one counts as a broken stream.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum size of an error body that is read, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

const ATTEMPT_ID: &str = "x-attempt-id";
const RESUME_TOKENS: &str = "x-resume-tokens";

/// Output of an item so far, including the part that it resumed from.
#[derive(Clone, Debug, Default)]
pub(super) struct Output {
    /// Generated text.
    pub(super) text: String,
    /// Number of tokens in `text`.
    pub(super) tokens: u32,
}

/// How a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The end marker arrived.
    Finished {
        /// Tokens of the prompt.
        prompt_tokens: u32,
    },
    /// The engine works, but did not accept the item.
    NotAccepted,
    /// The engine responded that the item failed.
    Failed {
        /// Human-readable description.
        message: String,
        /// Whether the item itself caused the failure.
        item_fault: bool,
    },
    /// The connection broke, or the response was not for this attempt.
    Broken {
        /// Human-readable description.
        message: String,
        /// Whether the engine may have started the item.
        verdict: Verdict,
    },
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
    error: Option<EngineError>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u32,
}

#[derive(Deserialize)]
struct EngineError {
    #[serde(default)]
    message: String,
}

/// Runs an item on the engine at `addr` and appends tokens to `output` as they arrive.
///
/// Dropping the future closes the connection, which cancels the item at the engine.
pub(super) async fn stream_item(
    client: &Client,
    addr: SocketAddr,
    item: &RunItem,
    output: &mut Output,
) -> StreamEnd {
    let req = match request(item, output.tokens) {
        Ok(req) => req,
        Err(err) => return item_failure(format!("the request cannot be sent: {err}")),
    };
    let options = SendOptions {
        class: TrafficClass::Batch,
        deadline: Some(Instant::now() + ATTEMPT_TIMEOUT),
    };
    let response = match client.send(addr, req, options).await {
        Ok(response) => response,
        Err(err) => return broken(err.to_string(), err.verdict()),
    };
    let echo = response.headers().get(ATTEMPT_ID);
    if echo.is_none_or(|echo| echo.as_bytes() != item.attempt.as_bytes()) {
        // Dropping the body closes the connection, so that later output of the engine is discarded.
        let message = "the answer does not name the attempt";
        return broken(message.to_owned(), Verdict::MayHaveRun);
    }
    if !response.status().is_success() {
        return rejected(response).await;
    }
    read_events(response.into_body(), output).await
}

fn request(item: &RunItem, resume_tokens: u32) -> Result<Request<Bytes>, hyper::http::Error> {
    let body = json!({
        "model": item.model.as_str(),
        "prompt": item.prompt,
        "max_tokens": item.max_tokens,
        "stream": true,
        "stream_options": {"include_usage": true},
    });
    let mut req = Request::post("/v1/completions")
        .header(CONTENT_TYPE, "application/json")
        .header(ATTEMPT_ID, item.attempt.as_str());
    if resume_tokens > 0 {
        req = req.header(RESUME_TOKENS, resume_tokens);
    }
    req.body(Bytes::from(body.to_string()))
}

/// Classifies an error response.
///
/// An engine responds with 429 or 503 while it accepts no requests, and with 404 while it has not
/// loaded the model; its manager orders it to load the model.
async fn rejected(response: Response<ClientBody>) -> StreamEnd {
    let status = response.status();
    let busy = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::NOT_FOUND,
    ];
    if busy.contains(&status) {
        return StreamEnd::NotAccepted;
    }
    let body = response.into_body().collect_bytes(MAX_ERROR_BYTES).await;
    let chunk = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok());
    let error = chunk.and_then(|chunk: Chunk| chunk.error);
    let message = error.map_or_else(String::new, |error| error.message);
    StreamEnd::Failed {
        message: format!("the engine answered {status}: {message}"),
        item_fault: true,
    }
}

async fn read_events(body: ClientBody, output: &mut Output) -> StreamEnd {
    let mut reader = EventReader::new(body);
    let mut prompt_tokens = 0;
    loop {
        let event = match reader.next_event().await {
            Ok(Some(event)) => event,
            Ok(None) => {
                let message = "the stream ended without its end marker";
                return broken(message.to_owned(), Verdict::MayHaveRun);
            }
            Err(err) => return broken(err.to_string(), Verdict::MayHaveRun),
        };
        if event.is_done() {
            // Reading the body to its end allows the connection to be reused.
            let _ = reader.next_event().await;
            return StreamEnd::Finished { prompt_tokens };
        }
        let chunk: Chunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(err) => {
                let message = format!("an event of the stream cannot be read: {err}");
                return broken(message, Verdict::MayHaveRun);
            }
        };
        if let Some(error) = chunk.error {
            return item_failure(error.message);
        }
        if let Some(usage) = chunk.usage {
            prompt_tokens = usage.prompt_tokens;
        }
        for choice in chunk.choices {
            output.add(choice);
        }
    }
}

impl Output {
    /// Appends a choice of an event; each choice without a `finish_reason` is one token.
    fn add(&mut self, choice: Choice) {
        self.text.push_str(&choice.text);
        if choice.finish_reason.is_none() {
            self.tokens += 1;
        }
    }
}

fn item_failure(message: String) -> StreamEnd {
    StreamEnd::Failed {
        message,
        item_fault: true,
    }
}

fn broken(message: String, verdict: Verdict) -> StreamEnd {
    StreamEnd::Broken { message, verdict }
}
