//! Groups and identifiers of jobs.

use std::fmt::Write;

use sha2::{
    Digest,
    Sha256, //
};

use crate::ids::{
    GroupId,
    GroupKind,
    IdError,
    JobId,
    OrganisationId, //
};

/// Number of bytes of the hash in a job's identifier.
const HASH_BYTES: usize = 16;

/// Returns the group of a job, of `count` job groups.
pub fn job_group(organisation: &OrganisationId, key: &str, count: u16) -> GroupId {
    GroupId::of(
        GroupKind::Jobs,
        identity(organisation, key).as_bytes(),
        count,
    )
}

/// Returns the identifier of the job that an organisation submits with an idempotency key.
///
/// The hash is cryptographic because callers choose the key: they must not be able to construct
/// one that gives the identifier of another organisation's job.
pub fn job_id(group: GroupId, organisation: &OrganisationId, key: &str) -> Result<JobId, IdError> {
    let hash = Sha256::digest(identity(organisation, key));
    let mut id = format!("{}-", group.index);
    for byte in &hash[..HASH_BYTES] {
        // Writing to a string cannot fail.
        let _ = write!(id, "{byte:02x}");
    }
    JobId::try_from(id)
}

/// Joins both with a separator that cannot occur in an organisation's identifier, so that
/// different pairs give different strings.
fn identity(organisation: &OrganisationId, key: &str) -> String {
    format!("{organisation}/{key}")
}
