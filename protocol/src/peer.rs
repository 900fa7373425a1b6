//! Messages on the WebSocket links between instances, encoded as CBOR.

use std::io;

use limpetweir_state::{
    BackendId,
    Epoch,
    GroupId,
    Incarnation,
    InstanceId,
    ModelId,
    OrganisationId,
    ServiceId,
    Verdict,
    Version,
    ZoneId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

/// Version of this protocol; links between different versions are closed.
pub const PEER_PROTOCOL_VERSION: u8 = 1;

/// Everything that travels on a link between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message in each direction.
    Hello(Hello),
    /// Periodic state of the sender.
    Heartbeat(Heartbeat),
    /// A request that expects one [`PeerMessage::Reply`] with the same `id`.
    Call {
        /// Unique on the link and direction.
        id: u64,
        /// The request.
        body: CallBody,
    },
    /// The answer to a [`PeerMessage::Call`].
    Reply {
        /// Identifier of the call.
        id: u64,
        /// The answer.
        body: ReplyBody,
    },
    /// Asks the batch manager of a backend server to free slots for online requests.
    Yield {
        /// The full backend server.
        backend: BackendId,
    },
}

/// Introduces the sender on a new link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PEER_PROTOCOL_VERSION`] of the sender.
    pub version: u8,
    /// The sender.
    pub incarnation: Incarnation,
    /// Availability zone of the sender.
    pub zone: ZoneId,
}

/// Periodic state of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of the incarnation.
    pub sequence: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Whether the sender holds a configuration and accepts requests.
    pub serving: bool,
    /// Configuration version that the sender acts on.
    pub config_version: Version,
    /// Milliseconds since the sender's last confirmed read of the log; `None` if there was none.
    pub log_age_ms: Option<u64>,
    /// Instances that the sender heard within the silence limit.
    pub hears: Vec<InstanceId>,
    /// Groups that the sender owns.
    pub owns: Vec<(GroupId, Epoch)>,
    /// Online requests of the sender in flight for each backend server.
    pub online: Vec<(BackendId, u32)>,
}

/// Requests between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallBody {
    /// Asks the home of an organisation for admission or for a share.
    Quota(QuotaCall),
    /// Asks for the configuration snapshot if it is newer than a version.
    ConfigFetch {
        /// Version that the caller holds.
        newer_than: Version,
    },
    /// Forwards a call of the job interface to the owner of the job group.
    Job(JobCall),
    /// Asks the batch manager of a backend server to run an item.
    RunItem(RunItem),
    /// Asks the batch manager to stop an item.
    CancelItem {
        /// Attempt to stop.
        attempt: String,
    },
}

/// Answers between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplyBody {
    /// Answer to [`CallBody::Quota`].
    Quota(QuotaReply),
    /// Answer to [`CallBody::ConfigFetch`]; `None` if the callee holds nothing newer.
    Config(Option<ConfigSnapshot>),
    /// Answer to [`CallBody::Job`].
    Job(JobReply),
    /// Answer to [`CallBody::RunItem`].
    RunItem(ItemReply),
    /// Answer to [`CallBody::CancelItem`], sent once the item has stopped.
    CancelItem,
    /// The call was not answered by its type.
    Error(CallError),
}

/// A refused or failed call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallError {
    /// Short name of the error, as in the HTTP interfaces.
    pub code: String,
    /// One sentence for a person.
    pub message: String,
    /// Whether the called operation may have taken effect.
    pub verdict: Verdict,
    /// Milliseconds after which another try is useful.
    pub retry_after_ms: Option<u64>,
}

/// A borrower's message to the home of an organisation's quota, or to a peer that holds a share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaCall {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The borrower.
    pub borrower: Incarnation,
    /// Requests to admit now; 0 for a pure renewal.
    pub tokens: u32,
    /// Requests per second that callers recently offered at the borrower.
    pub demand: f64,
    /// Share that the borrower holds, confirmed by this message.
    pub held: Option<HeldShare>,
    /// Whether the borrower asks for a renewed share.
    pub renew: bool,
    /// Whether only the callee's own share is asked, even if the callee is the home; such a call
    /// tells nothing of the borrower's demand and share.
    pub share_only: bool,
}

/// A share as the borrower reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldShare {
    /// Epoch of the home that gave the share.
    pub epoch: Epoch,
    /// Number of the grant within the epoch.
    pub grant: u64,
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the bucket, in requests.
    pub cap: f64,
    /// Remaining lifetime in milliseconds by the borrower's clock.
    pub remaining_ms: u64,
}

/// The home's answer to a [`QuotaCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Requests admitted, at most the number asked for.
    pub admitted: u32,
    /// The renewed share, which replaces the held one.
    pub share: Option<GrantedShare>,
    /// Milliseconds until the home's bucket holds a token, if not all was admitted.
    pub retry_after_ms: Option<u64>,
}

/// A share that a home grants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantedShare {
    /// Epoch of the home.
    pub epoch: Epoch,
    /// Number of the grant within the epoch.
    pub grant: u64,
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the bucket, in requests.
    pub cap: f64,
    /// Tokens that move from the home's bucket into the borrower's.
    pub tokens: f64,
    /// Lifetime in milliseconds, counted from the time the borrower sent its call.
    pub lease_ms: u64,
    /// Rate of the limit of which the share is a part, in requests per second.
    pub limit_rate: f64,
    /// Burst of the limit of which the share is a part, in requests.
    pub limit_burst: f64,
}

/// A configuration as an instance holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the configuration.
    pub version: Version,
    /// Offset of the last record folded into the snapshot.
    pub as_of: u64,
    /// The replica's snapshot as in the log.
    #[serde(with = "crate::bytes")]
    pub snapshot: Vec<u8>,
}

/// A call of the job interface, authenticated by the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobCall {
    /// Organisation of the caller's key.
    pub organisation: OrganisationId,
    /// Group of the job.
    pub group: GroupId,
    /// The operation.
    pub action: JobAction,
}

/// Operations of the job interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobAction {
    /// Submits a job.
    Submit {
        /// The caller's idempotency key.
        key: String,
        /// JSON body of the request.
        #[serde(with = "crate::bytes")]
        body: Vec<u8>,
    },
    /// Asks for progress.
    Status {
        /// The job.
        job: String,
    },
    /// Asks for a page of results.
    Results {
        /// The job.
        job: String,
        /// Index of the first item.
        from: u32,
        /// Largest number of items.
        limit: u32,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: String,
    },
}

/// The owner's answer to a job call, relayed to the caller as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobReply {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
    /// Milliseconds after which another try is useful.
    pub retry_after_ms: Option<u64>,
}

/// An item for a batch manager.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunItem {
    /// Identifier of the attempt, unique in the fleet.
    pub attempt: String,
    /// Epoch under which the sender owns the job group.
    pub owner_epoch: Epoch,
    /// Backend server that runs the item.
    pub backend: BackendId,
    /// Organisation that is billed.
    pub organisation: OrganisationId,
    /// Service of the job.
    pub service: ServiceId,
    /// Model of the job.
    pub model: ModelId,
    /// Prompt of the item.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Text generated by earlier attempts that were cancelled in favour of online requests.
    pub resume_text: String,
    /// Number of tokens in `resume_text`.
    pub resume_tokens: u32,
}

/// A batch manager's answer about an item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ItemReply {
    /// The item ran to its end; `text` includes the resumed part.
    Finished {
        /// The attempt.
        attempt: String,
        /// Generated text.
        text: String,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Generated tokens, including the resumed ones.
        completion_tokens: u32,
    },
    /// The item was stopped in favour of online requests or by a cancel.
    Yielded {
        /// The attempt.
        attempt: String,
        /// Text generated so far, including the resumed part.
        text: String,
        /// Number of tokens in `text`.
        tokens: u32,
    },
    /// The backend server failed or rejected the item.
    Failed {
        /// The attempt.
        attempt: String,
        /// One sentence for a person.
        message: String,
        /// Whether the fault lies with the item itself rather than with the backend server.
        item_fault: bool,
    },
    /// The manager holds enough items or does not manage the backend server.
    Busy {
        /// The attempt.
        attempt: String,
    },
}

/// A message that could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum PeerCodecError {
    /// The message could not be encoded.
    #[snafu(display("cannot encode a peer message: {source}"))]
    Encode {
        /// Cause given by the codec.
        source: ciborium::ser::Error<io::Error>,
    },
    /// The bytes are no message of this protocol version.
    #[snafu(display("cannot decode a peer message of {len} bytes: {source}"))]
    Decode {
        /// Length of the message in bytes.
        len: usize,
        /// Cause given by the codec.
        source: ciborium::de::Error<io::Error>,
    },
}

impl PeerMessage {
    /// Encodes the message as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, PeerCodecError> {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).context(EncodeSnafu)?;
        Ok(buf)
    }

    /// Decodes a message from CBOR.
    pub fn decode(buf: &[u8]) -> Result<Self, PeerCodecError> {
        ciborium::from_reader(buf).context(DecodeSnafu { len: buf.len() })
    }
}
