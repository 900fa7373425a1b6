//! The accepted configuration, as a fold over the `config` stream.

use std::collections::VecDeque;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    Offset,
    PublicationId,
    Version, //
};
use crate::log::Fold;

/// Largest number of publications whose result is kept.
///
/// An accepted publication whose result was dropped cannot be accepted again, because its base is
/// older than the current version.
const MAX_RESULTS: usize = 256;

/// A data record of the `config` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publish {
    /// Identifier of the publication; a resend has the same one.
    pub id: PublicationId,
    /// Version that the document is meant to replace.
    pub base: Version,
    /// Configuration document in TOML.
    pub document: String,
}

/// Result of a publication; a resend gets the result of the first record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishResult {
    /// The document was accepted as this version of the configuration.
    Accepted(Version),
    /// The base was not the current version, which is this one.
    Conflict(Version),
}

/// Effect of a record of the `config` stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishEvent {
    /// First record of the publication, with its result.
    Decided(PublishResult),
    /// Resend of a publication, with the result of the first record.
    Repeated(PublishResult),
}

/// The current configuration and the results of recent publications.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publications {
    version: Version,
    current: Option<Current>,
    /// At most [`MAX_RESULTS`] results, oldest first.
    results: VecDeque<(PublicationId, PublishResult)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Current {
    id: PublicationId,
    document: String,
}

impl Publications {
    /// Returns the current version; 0 before the first publication.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the current document; `None` before the first publication.
    pub fn document(&self) -> Option<&str> {
        let current = self.current.as_ref()?;
        Some(&current.document)
    }

    /// Returns the identifier of the publication that became the current version.
    pub fn publication(&self) -> Option<&PublicationId> {
        self.current.as_ref().map(|current| &current.id)
    }

    /// Returns the result of a publication if it is still kept.
    pub fn result(&self, id: &PublicationId) -> Option<PublishResult> {
        let mut results = self.results.iter();
        let found = results.find(|(other, _)| other == id);
        found.map(|(_, result)| *result)
    }

    fn store_result(&mut self, id: PublicationId, result: PublishResult) {
        if self.results.len() >= MAX_RESULTS {
            self.results.pop_front();
        }
        self.results.push_back((id, result));
    }
}

impl Fold for Publications {
    type Record = Publish;
    type Event = PublishEvent;

    fn apply(&mut self, _at: Offset, record: Publish) -> PublishEvent {
        if let Some(result) = self.result(&record.id) {
            return PublishEvent::Repeated(result);
        }
        let Publish { id, base, document } = record;
        let result = if base == self.version {
            self.version = Version(base.0 + 1);
            PublishResult::Accepted(self.version)
        } else {
            PublishResult::Conflict(self.version)
        };
        self.store_result(id.clone(), result);
        if matches!(result, PublishResult::Accepted(_)) {
            self.current = Some(Current { id, document });
        }
        PublishEvent::Decided(result)
    }
}
