//! What identifies a request or an item of a batch job, and what it shares with others.

use std::sync::OnceLock;

use hyper::Method;
use hyper::body::Bytes;
use xxhash_rust::xxh3::{
    Xxh3,
    xxh3_64, //
};

use crate::prompt::{
    PartKey,
    PromptParts, //
};
use crate::report::ItemKey;

/// Upper 16 bits of the keys of identities, which distinguish them from the parts of prompts.
const IDENTITY_TAG: u64 = 0xfd1d << 48;

/// Bits of such a key that are part of the tag.
const IDENTITY_MASK: u64 = 0xffff << 48;

impl PartKey {
    /// Returns the key of an identity with this hash.
    pub fn identity(hash: u64) -> Self {
        Self(hash >> 16 | IDENTITY_TAG)
    }

    /// Returns whether this is the key of an identity. A part that a caller has invented may look
    /// like one.
    pub fn is_identity(self) -> bool {
        self.0 & IDENTITY_MASK == IDENTITY_TAG
    }
}

/// What the identity of a request is a hash of. It is the same for all requests of callers that
/// repeat one, with other identifiers.
#[derive(Clone, Debug)]
enum Content {
    /// All parts of the prompt, for this host.
    Prompt { host: u64, parts: PromptParts },
    /// Method, host, path and query, whose hash is `head`, and the body.
    Plain { head: u64, body: Bytes },
    /// An item without a prompt, whose runs repeat the same request.
    Item(ItemKey),
}

impl Content {
    fn identity(&self) -> PartKey {
        let mut hasher = Xxh3::new();
        match self {
            Self::Prompt { host, parts } => {
                hasher.update(&host.to_be_bytes());
                for part in parts.shared.iter().chain(&parts.last) {
                    hasher.update(&part.0.to_be_bytes());
                }
            }
            Self::Plain { head, body } => {
                hasher.update(&head.to_be_bytes());
                hasher.update(body);
            }
            Self::Item(key) => hasher.update(&key.0.to_be_bytes()),
        }
        PartKey::identity(hasher.digest())
    }
}

/// The keys of a request: its identity, the last part of its prompt and the shared ones.
#[derive(Debug)]
pub struct RequestParts {
    content: Content,
    /// Computed when it is needed, as the body may be long: a run was lost, or servers have crashed.
    keys: OnceLock<Vec<PartKey>>,
}

impl RequestParts {
    /// Creates the keys of a request with these parts of its prompt, if it has any.
    pub fn of_request(
        method: &Method,
        host: &str,
        target: &str,
        parts: PromptParts,
        body: &Bytes,
    ) -> Self {
        let host = xxh3_64(host.as_bytes());
        let content = if parts.last.is_some() {
            Content::Prompt { host, parts }
        } else {
            let mut hasher = Xxh3::new();
            hasher.update(&host.to_be_bytes());
            // Neither a method nor a target contains a space.
            hasher.update(method.as_str().as_bytes());
            hasher.update(b" ");
            hasher.update(target.as_bytes());
            Content::Plain {
                head: hasher.digest(),
                body: body.clone(),
            }
        };
        Self::new(content)
    }

    /// Creates the keys of an item of a job for this host.
    pub fn of_item(key: ItemKey, host: &str, parts: PromptParts) -> Self {
        let host = xxh3_64(host.as_bytes());
        Self::new(match parts.last {
            Some(_) => Content::Prompt { host, parts },
            None => Content::Item(key),
        })
    }

    fn new(content: Content) -> Self {
        Self {
            content,
            keys: OnceLock::new(),
        }
    }

    /// Returns all keys, each of which may be blamed for crashes. The identity is the first one, so
    /// that limits never cut it off.
    pub fn keys(&self) -> &[PartKey] {
        self.keys.get_or_init(|| {
            let mut keys = vec![self.content.identity()];
            keys.extend(self.last());
            keys.extend_from_slice(self.shared());
            keys
        })
    }

    /// Returns the parts of the prompt that other requests may have too.
    pub fn shared(&self) -> &[PartKey] {
        match &self.content {
            Content::Prompt { parts, .. } => &parts.shared,
            Content::Plain { .. } | Content::Item(_) => &[],
        }
    }

    /// Returns the last part of the prompt.
    pub fn last(&self) -> Option<PartKey> {
        match &self.content {
            Content::Prompt { parts, .. } => parts.last,
            Content::Plain { .. } | Content::Item(_) => None,
        }
    }

    /// Returns the key that only requests with the same content have.
    pub fn identity(&self) -> PartKey {
        self.keys().first().copied().unwrap_or(PartKey(0))
    }
}
