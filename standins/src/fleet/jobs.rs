//! Items of batch jobs and the results expected from an engine.

use serde_json::{
    Value,
    json, //
};

use crate::engine::text::{
    POISON_MARKER,
    Text,
    request_hash, //
};

/// An item of a job.
#[derive(Clone, Debug)]
pub struct Item {
    /// Model that processes the item.
    pub model: &'static str,
    /// Identifier within the job.
    pub id: String,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens of the result.
    pub max_tokens: u32,
}

impl Item {
    /// Returns whether the item fails on every engine.
    pub fn is_poison(&self) -> bool {
        self.prompt.contains(POISON_MARKER)
    }

    /// Returns the content hash in the engine's record of the item.
    pub fn hash(&self) -> String {
        request_hash(self.model, &self.prompt, self.max_tokens as usize)
    }

    /// Returns the number of tokens of the expected result.
    pub fn tokens(&self) -> u64 {
        self.source().length(self.max_tokens as usize) as u64
    }

    /// Returns the text of the expected result.
    pub fn text(&self) -> String {
        let source = self.source();
        source.range(0, source.length(self.max_tokens as usize))
    }

    fn source(&self) -> Text {
        Text::new(self.model, &self.prompt)
    }
}

/// Returns `count` items with different prompts; every `poison`th fails on every engine.
pub fn items(
    model: &'static str,
    count: usize,
    max_tokens: u32,
    poison: Option<usize>,
) -> Vec<Item> {
    let item = |at: usize| {
        let poisoned = poison.is_some_and(|every| at % every == every - 1);
        let marker = if poisoned { POISON_MARKER } else { "" };
        Item {
            model,
            id: format!("item-{at}"),
            prompt: format!("tank {at} of the reef {marker}"),
            max_tokens,
        }
    };
    (0..count).map(item).collect()
}

/// Returns the request body that submits a job for `model` to the service `chat`.
pub fn job_body(model: &str, items: &[Item]) -> Value {
    let items: Vec<Value> = items
        .iter()
        .map(|item| json!({ "id": item.id, "prompt": item.prompt, "max_tokens": item.max_tokens }))
        .collect();
    json!({ "service": "chat", "model": model, "deadline_s": 3600, "items": items })
}
