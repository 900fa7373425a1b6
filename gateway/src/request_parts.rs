//! What identifies a request or an item of a batch job, and what it shares with others.

use std::sync::OnceLock;

use hyper::Method;
use hyper::body::Bytes;
use xxhash_rust::xxh3::Xxh3;

use crate::prompt::{
    PartKey,
    PromptParts, //
};

/// Upper 16 bits of the keys of identities, which distinguish them from the parts of prompts.
const IDENTITY_TAG: u64 = 0xfd1d << 48;

/// The same of their keys for crashes after some output.
const LATE_TAG: u64 = 0xfd1e << 48;

/// Bits of such a key that are part of the tag.
const IDENTITY_MASK: u64 = 0xffff << 48;

impl PartKey {
    /// Returns the key of an identity with this hash.
    pub fn identity(hash: u64) -> Self {
        Self(hash >> 16 | IDENTITY_TAG)
    }

    /// Returns the key under which crashes after some output count against the request with this
    /// identity.
    pub fn late(self) -> Self {
        Self(self.0 & !IDENTITY_MASK | LATE_TAG)
    }

    /// Returns whether this is the identity of a request, or its key for crashes after some output.
    pub fn names_request(self) -> bool {
        self.is_identity() || self.0 & IDENTITY_MASK == LATE_TAG
    }

    /// Returns whether this is the key of an identity. A part that a caller has invented may look
    /// like one.
    pub fn is_identity(self) -> bool {
        self.0 & IDENTITY_MASK == IDENTITY_TAG
    }
}

/// What callers repeat when they send a request again: its identity is a hash of this. Heads are no part
/// of it, as they may be added, left out or reordered on the way.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Organisation of the caller, if it has one.
    pub organisation: Option<&'a str>,
    /// Host to which it is addressed.
    pub host: &'a str,
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a Bytes,
}

impl RequestContent<'_> {
    /// Returns the hash of all but the body.
    fn head_hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        let organisation = self.organisation.unwrap_or_default();
        for text in [organisation, self.host, self.method.as_str(), self.target] {
            hasher.update(text.as_bytes());
            // No name, host, method or target contains it.
            hasher.update(&[0]);
        }
        hasher.digest()
    }
}

/// The keys of a request: its identity, the last part of its prompt and the shared ones.
#[derive(Debug)]
pub struct RequestParts {
    /// Hash of what identifies the request beside its body.
    head: u64,
    body: Bytes,
    prompt: PromptParts,
    /// Computed when it is needed, as the body may be long: a run was lost, or servers have crashed.
    keys: OnceLock<Vec<PartKey>>,
}

impl RequestParts {
    /// Creates the keys of a request, or of an item of a job, with these parts of its prompt.
    pub fn new(content: RequestContent<'_>, prompt: PromptParts) -> Self {
        Self {
            head: content.head_hash(),
            body: content.body.clone(),
            prompt,
            keys: OnceLock::new(),
        }
    }

    /// Returns all keys, each of which may be blamed for crashes. The identity is the first one, so
    /// that limits never cut it off.
    pub fn keys(&self) -> &[PartKey] {
        self.keys.get_or_init(|| {
            let identity = self.compute_identity();
            let mut keys = vec![identity];
            keys.extend(self.last());
            keys.extend_from_slice(self.shared());
            keys.push(identity.late());
            keys
        })
    }

    /// Returns the keys that are suspected if a server crashes before any output, and that are cleared
    /// by output: all but the last one.
    pub fn early(&self) -> &[PartKey] {
        self.keys().split_last().map_or(&[], |(_, early)| early)
    }

    /// Returns the key that is suspected if a server crashes after some output, and that is cleared by a
    /// whole response.
    pub fn late(&self) -> PartKey {
        self.identity().late()
    }

    fn compute_identity(&self) -> PartKey {
        let mut hasher = Xxh3::new();
        hasher.update(&self.head.to_be_bytes());
        hasher.update(&self.body);
        PartKey::identity(hasher.digest())
    }

    /// Returns the parts of the prompt that other requests may have too.
    pub fn shared(&self) -> &[PartKey] {
        &self.prompt.shared
    }

    /// Returns the last part of the prompt.
    pub fn last(&self) -> Option<PartKey> {
        self.prompt.last
    }

    /// Returns the key that only requests with the same content have.
    pub fn identity(&self) -> PartKey {
        self.keys().first().copied().unwrap_or(PartKey(0))
    }
}
