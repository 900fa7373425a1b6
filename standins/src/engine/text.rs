//! Deterministic tokens: the text depends only on model, prompt and position.

use crate::content::{
    content_hash,
    hash64, //
};

/// Marker in a prompt that makes every attempt fail.
pub const POISON_MARKER: &str = "[[poison]]";

/// Bytes of a prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// Minimum natural length of a completion, in tokens.
const MIN_NATURAL: u64 = 32;

/// Number of different natural lengths.
const NATURAL_SPAN: u64 = 992;

const WORDS: [&str; 32] = [
    "algae", "anchor", "basin", "brine", "buoy", "coral", "current", "delta", "estuary", "filter",
    "fjord", "gauge", "harbour", "inlet", "kelp", "lagoon", "mangrove", "membrane", "mollusc",
    "plankton", "pump", "reef", "salt", "sediment", "shoal", "sluice", "spring", "tide", "turbine",
    "valve", "water", "weir",
];

/// Generator of the tokens of a model for a prompt.
#[derive(Debug, Clone)]
pub struct Text {
    seed: u64,
}

impl Text {
    /// Returns the generator for a model and a prompt.
    pub fn new(model: &str, prompt: &str) -> Self {
        Self {
            seed: hash64(&[model.as_bytes(), prompt.as_bytes()]),
        }
    }

    /// Returns the text of the token at `position`; all but the first begin with a space.
    pub fn token(&self, position: usize) -> String {
        let hash = hash64(&[&self.seed.to_le_bytes(), &(position as u64).to_le_bytes()]);
        let index = usize::try_from(hash % WORDS.len() as u64).unwrap_or_default();
        let space = if position == 0 { "" } else { " " };
        format!("{space}{}", WORDS[index])
    }

    /// Returns the text of the tokens in `from..to`.
    pub fn range(&self, from: usize, to: usize) -> String {
        (from..to).map(|position| self.token(position)).collect()
    }

    /// Returns the number of tokens after which the model stops without a limit, from 32 to 1023.
    pub fn natural_length(&self) -> usize {
        usize::try_from(MIN_NATURAL + self.seed % NATURAL_SPAN).unwrap_or(usize::MAX)
    }

    /// Returns the number of tokens of a complete response.
    pub fn length(&self, max_tokens: usize) -> usize {
        self.natural_length().min(max_tokens)
    }
}

/// Returns the number of tokens of a prompt: one for every four bytes, rounded up.
pub fn prompt_tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(BYTES_PER_TOKEN)
}

/// Returns the hash of the content of a request: model, prompt and token limit.
///
/// All attempts for an item have the same hash, regardless of attempt id and resume position.
pub fn request_hash(model: &str, prompt: &str, max_tokens: usize) -> String {
    let max_tokens = (max_tokens as u64).to_le_bytes();
    content_hash(&[model.as_bytes(), prompt.as_bytes(), &max_tokens])
}
