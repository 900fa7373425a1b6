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

/// Version of the peer protocol; links between different versions are closed.
pub const PEER_PROTOCOL_VERSION: u8 = 1;

/// Message on a link between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message in each direction.
    Hello(Hello),
    /// Periodic state of the sender.
    Heartbeat(Heartbeat),
    /// Request; the peer sends one [`PeerMessage::Reply`] with the same `id`.
    Call {
        /// Identifier, unique per link and direction.
        id: u64,
        /// The request.
        body: CallBody,
    },
    /// Reply to a [`PeerMessage::Call`].
    Reply {
        /// Identifier of the call.
        id: u64,
        /// The reply.
        body: ReplyBody,
    },
    /// Instructs the batch manager of a backend server to preempt items, to free slots for online
    /// requests.
    Yield {
        /// The backend server without free slots.
        backend: BackendId,
    },
}

/// Identifies the sender on a new link.
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
    /// Sequence number, increasing with each heartbeat of the incarnation.
    pub sequence: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// Whether the sender has a configuration and accepts requests.
    pub serving: bool,
    /// Configuration version in force on the sender.
    pub config_version: Version,
    /// Milliseconds since the sender's last confirmed read of the log; `None` if there was none.
    pub log_age_ms: Option<u64>,
    /// Instances whose heartbeats the sender received within the heartbeat timeout.
    pub hears: Vec<InstanceId>,
    /// Groups that the sender owns.
    pub owns: Vec<(GroupId, Epoch)>,
    /// Number of online requests that the sender has in flight at each backend server.
    pub online: Vec<(BackendId, u32)>,
}

/// Requests between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallBody {
    /// Requests admission or a share from the quota owner of an organisation.
    Quota(QuotaCall),
    /// Requests the configuration snapshot if it is newer than a version.
    ConfigFetch {
        /// Version that the caller has.
        newer_than: Version,
    },
    /// Forwards a call of the job interface to the owner of the job group.
    Job(JobCall),
    /// Instructs the batch manager of a backend server to run an item.
    RunItem(RunItem),
    /// Instructs the batch manager to stop an item.
    CancelItem {
        /// Attempt that runs the item.
        attempt: String,
    },
}

/// Replies between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplyBody {
    /// Reply to [`CallBody::Quota`].
    Quota(QuotaReply),
    /// Reply to [`CallBody::ConfigFetch`]; `None` if the callee has no newer version.
    Config(Option<ConfigSnapshot>),
    /// Reply to [`CallBody::Job`].
    Job(JobReply),
    /// Reply to [`CallBody::RunItem`].
    RunItem(ItemReply),
    /// Reply to [`CallBody::CancelItem`], sent once the item has stopped.
    CancelItem,
    /// Reply to any call that was rejected or failed.
    Error(CallError),
}

/// Error of a rejected or failed call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallError {
    /// Error code, as in the HTTP interfaces.
    pub code: String,
    /// Human-readable description in one sentence.
    pub message: String,
    /// Whether the called operation may have taken effect.
    pub verdict: Verdict,
    /// Milliseconds after which a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

/// Quota request of a grantee to the quota owner of an organisation or to a peer with a share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaCall {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The grantee.
    pub borrower: Incarnation,
    /// Number of requests to admit now; 0 if the call only renews the share.
    pub tokens: u32,
    /// Recent request rate of callers at the grantee, in requests per second.
    pub demand: f64,
    /// Share that the grantee holds, confirmed by this message.
    pub held: Option<HeldShare>,
    /// Whether the grantee requests a renewal of its share.
    pub renew: bool,
    /// Whether to admit from the callee's own share only, even if the callee is the quota owner;
    /// such a call does not report the grantee's demand and share.
    pub share_only: bool,
}

/// Share of a limit as reported by its grantee.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldShare {
    /// Epoch of the quota owner that granted the share.
    pub epoch: Epoch,
    /// Number of the grant within the epoch.
    pub grant: u64,
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the bucket, in requests.
    pub cap: f64,
    /// Remaining lifetime in milliseconds by the grantee's clock.
    pub remaining_ms: u64,
}

/// Reply to a [`QuotaCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Number of admitted requests, at most the requested number.
    pub admitted: u32,
    /// Renewed share, which replaces the one that the grantee holds.
    pub share: Option<GrantedShare>,
    /// Milliseconds until the quota owner's bucket has a token, if not all requests were admitted.
    pub retry_after_ms: Option<u64>,
}

/// Share of a limit, granted by the quota owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantedShare {
    /// Epoch of the quota owner.
    pub epoch: Epoch,
    /// Number of the grant within the epoch.
    pub grant: u64,
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the bucket, in requests.
    pub cap: f64,
    /// Tokens moved from the quota owner's bucket to the grantee's.
    pub tokens: f64,
    /// Lifetime in milliseconds, counted from the time the grantee sent its call.
    pub lease_ms: u64,
    /// Rate of the whole limit, in requests per second.
    pub limit_rate: f64,
    /// Burst of the whole limit, in requests.
    pub limit_burst: f64,
}

/// Configuration snapshot of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the configuration.
    pub version: Version,
    /// Offset of the last record applied to the snapshot.
    pub as_of: u64,
    /// Snapshot of the replica, in the same format as in the log.
    #[serde(with = "crate::bytes")]
    pub snapshot: Vec<u8>,
}

/// Call of the job interface; the sender has authenticated the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobCall {
    /// Organisation that the caller's key belongs to.
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
    /// Requests the progress of a job.
    Status {
        /// The job.
        job: String,
    },
    /// Requests a page of results.
    Results {
        /// The job.
        job: String,
        /// Index of the first item.
        from: u32,
        /// Maximum number of items.
        limit: u32,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: String,
    },
}

/// Reply of the group owner to a job call, forwarded to the caller unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobReply {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
    /// Milliseconds after which a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

/// Request to run an item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunItem {
    /// Identifier of the attempt, unique in the fleet.
    pub attempt: String,
    /// Epoch in which the sender owns the job group.
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
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Text generated by earlier attempts that were preempted by online requests.
    pub resume_text: String,
    /// Number of tokens in `resume_text`.
    pub resume_tokens: u32,
}

/// Reply of a batch manager to a [`RunItem`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ItemReply {
    /// The item finished; `text` includes the resumed part.
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
    /// The item was preempted by online requests or cancelled.
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
        /// Human-readable description in one sentence.
        message: String,
        /// Whether the item itself caused the failure rather than the backend server.
        item_fault: bool,
    },
    /// The manager accepts no further items or does not manage the backend server.
    Busy {
        /// The attempt.
        attempt: String,
    },
}

/// Error of encoding or decoding a message.
#[derive(Debug, Snafu)]
pub enum PeerCodecError {
    /// The message could not be encoded.
    #[snafu(display("cannot encode a peer message: {source}"))]
    Encode {
        /// Error of the codec.
        source: ciborium::ser::Error<io::Error>,
    },
    /// The bytes are not a message of this protocol version.
    #[snafu(display("cannot decode a peer message of {len} bytes: {source}"))]
    Decode {
        /// Length of the message in bytes.
        len: usize,
        /// Error of the codec.
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
