//! `complete`: sends one online request and prints its streamed response.

use std::path::Path;

use clap::ArgMatches;
use limpetweir_protocol::http::ErrorBody;
use limpetweir_state::{
    ModelId,
    Verdict, //
};
use limpetweir_transport::http::{
    ClientBody,
    EventReader, //
};
use serde_json::{
    Value,
    json, //
};

use super::arg;
use crate::error::Error;
use crate::fleet::Call;
use crate::options::{
    Options,
    read_text, //
};
use crate::output;

/// Runs `complete`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let options = Options::new(matches)?;
    let call = build_call(matches)?;
    let mut fleet = options.public()?;
    async_io::block_on(async {
        let response = fleet.open(&call).await?;
        print_events(EventReader::new(response.into_body()), options.json).await
    })
}

fn build_call(matches: &ArgMatches) -> Result<Call, Error> {
    let prompt: &String = arg(matches, "prompt")?;
    let prompt = match prompt.as_str() {
        "-" => read_text(Path::new("-"))?,
        prompt => prompt.to_owned(),
    };
    let model: &ModelId = arg(matches, "model")?;
    let max_tokens: &u32 = arg(matches, "max-tokens")?;
    let mut body = json!({"model": model, "max_tokens": max_tokens, "stream": true});
    let path = if matches.get_flag("chat") {
        body["messages"] = json!([{"role": "user", "content": prompt}]);
        "/v1/chat/completions"
    } else {
        body["prompt"] = prompt.into();
        "/v1/completions"
    };
    Ok(Call::post(path, body.to_string()).json())
}

/// Prints the events up to the end marker; a stream that ends without it is an error.
async fn print_events(mut events: EventReader<ClientBody>, json: bool) -> Result<(), Error> {
    loop {
        let event = events.next_event().await;
        let event = event.map_err(|cause| incomplete(Verdict::MayHaveRun, cause.to_string()))?;
        let Some(event) = event else {
            let cause = "the stream ended without its end marker";
            return Err(incomplete(Verdict::MayHaveRun, cause.to_owned()));
        };
        if event.is_done() {
            return if json { Ok(()) } else { output::line("") };
        }
        if let Ok(ErrorBody { error }) = serde_json::from_str(&event.data) {
            return Err(incomplete(error.verdict, error.message));
        }
        if event.name == "error" {
            return Err(incomplete(Verdict::MayHaveRun, event.data));
        }
        if json {
            output::line(&event.data)?;
        } else if let Some(text) = text_of(&event.data) {
            output::print(&text)?;
        }
    }
}

fn incomplete(verdict: Verdict, cause: String) -> Error {
    Error::Incomplete { verdict, cause }
}

/// Returns the generated text of an event, for both completions and chat completions.
fn text_of(data: &str) -> Option<String> {
    let event: Value = serde_json::from_str(data).ok()?;
    let choice = event.get("choices")?.get(0)?;
    let text = choice
        .get("text")
        .or_else(|| choice.get("delta")?.get("content"))?;
    text.as_str().map(str::to_owned)
}
