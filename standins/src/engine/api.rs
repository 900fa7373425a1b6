//! OpenAI-compatible bodies.

use hyper::{
    StatusCode,
    body::Bytes, //
};
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};

use crate::http::{
    self,
    HttpResponse, //
};

/// Token limit of a completion without `max_tokens`.
const DEFAULT_COMPLETION_TOKENS: usize = 16;

/// Token limit of a chat completion without `max_tokens`.
const DEFAULT_CHAT_TOKENS: usize = 256;

/// The two request forms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Completion,
    Chat,
}

/// A checked request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) endpoint: Endpoint,
    pub(crate) model: String,
    /// The prompt; of a chat, each message as `role: content` on one line.
    pub(crate) prompt: String,
    pub(crate) max_tokens: usize,
    pub(crate) stream: bool,
    /// Whether a stream has a last event with the usage.
    pub(crate) include_usage: bool,
}

/// An error in the usual form.
#[derive(Debug, Clone)]
pub(crate) struct ApiError {
    pub(crate) status: StatusCode,
    pub(crate) kind: &'static str,
    pub(crate) code: Option<&'static str>,
    pub(crate) param: Option<&'static str>,
    pub(crate) message: String,
}

impl ApiError {
    /// Returns an error of the caller.
    pub(crate) fn invalid(param: Option<&'static str>, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            kind: "invalid_request_error",
            code: None,
            param,
            message: message.into(),
        }
    }

    /// Returns an error of the engine.
    pub(crate) fn server(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            kind: "server_error",
            code: Some(code),
            param: None,
            message: message.into(),
        }
    }

    /// Returns the body.
    pub(crate) fn body(&self) -> Value {
        json!({ "error": {
            "message": self.message,
            "type": self.kind,
            "param": self.param,
            "code": self.code,
        } })
    }

    /// Returns the response.
    pub(crate) fn response(&self) -> HttpResponse {
        http::json(self.status, &self.body())
    }
}

/// Tokens of a request and its response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: usize,
    pub(crate) cached_tokens: usize,
    /// Tokens that this attempt generated, without those of earlier attempts.
    pub(crate) completion_tokens: usize,
}

impl Usage {
    fn body(self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    text: String,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

/// Fields that the stand-in acts on; others, such as `temperature`, are ignored.
#[derive(Debug, Deserialize)]
struct RawRequest {
    model: String,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<usize>,
    max_completion_tokens: Option<usize>,
    n: Option<u32>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
}

/// Parses and checks a body.
pub(crate) fn parse(endpoint: Endpoint, body: &Bytes) -> Result<Request, ApiError> {
    let raw: RawRequest = serde_json::from_slice(body)
        .map_err(|err| ApiError::invalid(None, format!("the body is not valid: {err}")))?;
    if raw.n.is_some_and(|n| n != 1) {
        return Err(ApiError::invalid(Some("n"), "only n = 1 is supported"));
    }
    let default = match endpoint {
        Endpoint::Completion => DEFAULT_COMPLETION_TOKENS,
        Endpoint::Chat => DEFAULT_CHAT_TOKENS,
    };
    let max_tokens = raw
        .max_completion_tokens
        .or(raw.max_tokens)
        .unwrap_or(default);
    if max_tokens == 0 {
        return Err(ApiError::invalid(
            Some("max_tokens"),
            "max_tokens must be at least 1",
        ));
    }
    let prompt = match endpoint {
        Endpoint::Completion => completion_prompt(raw.prompt)?,
        Endpoint::Chat => chat_prompt(raw.messages)?,
    };
    Ok(Request {
        endpoint,
        model: raw.model,
        prompt,
        max_tokens,
        stream: raw.stream,
        include_usage: raw.stream_options.unwrap_or_default().include_usage,
    })
}

fn completion_prompt(prompt: Option<Prompt>) -> Result<String, ApiError> {
    match prompt {
        Some(Prompt::One(prompt)) => Ok(prompt),
        Some(Prompt::Many(mut prompts)) if prompts.len() == 1 => Ok(prompts.remove(0)),
        Some(Prompt::Many(_)) => Err(ApiError::invalid(
            Some("prompt"),
            "exactly one prompt is supported",
        )),
        None => Err(ApiError::invalid(Some("prompt"), "prompt is missing")),
    }
}

fn chat_prompt(messages: Option<Vec<Message>>) -> Result<String, ApiError> {
    let messages = messages.unwrap_or_default();
    if messages.is_empty() {
        return Err(ApiError::invalid(
            Some("messages"),
            "messages is missing or empty",
        ));
    }
    let lines = messages.into_iter().map(|message| {
        let content = match message.content {
            Content::Text(text) => text,
            Content::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        };
        format!("{}: {content}\n", message.role)
    });
    Ok(lines.collect())
}

/// Builds the bodies of one answer.
#[derive(Debug, Clone)]
pub(crate) struct ResponseBuilder {
    pub(crate) endpoint: Endpoint,
    pub(crate) id: String,
    pub(crate) model: String,
}

impl ResponseBuilder {
    /// Returns the body of a response that is not streamed.
    pub(crate) fn whole(&self, text: &str, finish_reason: &str, usage: Usage) -> Value {
        let (object, choice) = match self.endpoint {
            Endpoint::Completion => ("text_completion", json!({ "text": text })),
            Endpoint::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                ("chat.completion", json!({ "message": message }))
            }
        };
        let mut body = self.frame(object, Some((choice, Some(finish_reason))));
        body["usage"] = usage.body();
        body
    }

    /// Returns a stream event with the text of one token.
    pub(crate) fn token(&self, text: &str, first: bool) -> Bytes {
        let choice = match self.endpoint {
            Endpoint::Completion => json!({ "text": text }),
            Endpoint::Chat if first => {
                json!({ "delta": { "role": "assistant", "content": text } })
            }
            Endpoint::Chat => json!({ "delta": { "content": text } }),
        };
        event(&self.frame(self.chunk_object(), Some((choice, None))))
    }

    /// Returns the stream event with the reason for the end.
    pub(crate) fn finish(&self, finish_reason: &str) -> Bytes {
        let choice = match self.endpoint {
            Endpoint::Completion => json!({ "text": "" }),
            Endpoint::Chat => json!({ "delta": {} }),
        };
        event(&self.frame(self.chunk_object(), Some((choice, Some(finish_reason)))))
    }

    /// Returns the stream event with the usage.
    pub(crate) fn usage(&self, usage: Usage) -> Bytes {
        let mut body = self.frame(self.chunk_object(), None);
        body["usage"] = usage.body();
        event(&body)
    }

    fn chunk_object(&self) -> &'static str {
        match self.endpoint {
            Endpoint::Completion => "text_completion",
            Endpoint::Chat => "chat.completion.chunk",
        }
    }

    fn frame(&self, object: &str, choice: Option<(Value, Option<&str>)>) -> Value {
        let choices: Vec<Value> = choice
            .into_iter()
            .map(|(mut choice, finish_reason)| {
                choice["index"] = json!(0);
                choice["finish_reason"] = json!(finish_reason);
                choice["logprobs"] = Value::Null;
                choice
            })
            .collect();
        json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": choices,
        })
    }
}

/// Returns a server-sent event with a JSON body.
pub(crate) fn event(body: &Value) -> Bytes {
    format!("data: {body}\n\n").into()
}

/// End marker of a stream.
pub(crate) const DONE: Bytes = Bytes::from_static(b"data: [DONE]\n\n");
