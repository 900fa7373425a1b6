//! Time constants of the fleet and the counts that go with them.

use std::time::Duration;

/// Time between two heartbeats to the same peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A peer that was not heard for this long is silent.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a holder that confirmed no read of the claims no longer acts, by any clock.
pub const OWNER_LEASE: Duration = Duration::from_secs(3);

/// Time for which a holder may act after a confirmed read of the claims, by its own clock.
///
/// A clock that runs slow by up to 10% still reaches this time within the owner lease.
pub const HOLDER_LEASE: Duration = Duration::from_millis(2_700);

/// Time for which a confirmed read of the configuration proves that it is current.
pub const CONFIG_FRESHNESS_LIMIT: Duration = Duration::from_secs(3);

/// Longest wait of one read of the configuration stream.
pub const CONFIG_LONG_POLL: Duration = Duration::from_secs(1);

/// Lifetime of a quota share, counted by the borrower from the send time of its renewal.
///
/// It lasts until the successor of a lost home acts, and one renewal more: 1.5 s to 2.5 s of silence,
/// the owner lease and 10%. Borrowers lower their shares themselves when the limit is lowered.
pub const SHARE_LEASE: Duration = Duration::from_secs(8);

/// Time between two renewals of a quota share.
pub const SHARE_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a caller may keep a discovery answer.
pub const DISCOVERY_TTL: Duration = Duration::from_secs(5);

/// Longest graceful shutdown.
pub const MAX_DRAIN: Duration = Duration::from_secs(60);

/// Time between two reads of the platform's list.
pub const LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an ask for quota counts as unanswered.
pub const QUOTA_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which an ask that the quota home does not answer goes to peers, within the ask timeout.
pub const QUOTA_OWNER_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after which an ask that a peer does not answer goes to the next peer.
pub const QUOTA_PEER_TIMEOUT: Duration = Duration::from_millis(10);

/// Failed attempts after which a batch item has a final failed outcome.
pub const ITEM_ATTEMPTS: u32 = 3;

/// Time for which another instance must have been able to own before a group is handed to it.
///
/// Groups would otherwise move back and forth with an instance that restarts repeatedly.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(5);

/// Time for which a backend server gets no new work after a failure.
pub const BACKEND_COOLDOWN: Duration = Duration::from_secs(2);

/// Least time between two completion records of a job group.
pub const COMPLETION_INTERVAL: Duration = Duration::from_millis(100);

/// Items of a completion record; a full record is due at once.
pub const COMPLETION_MAX_ITEMS: usize = 256;

/// Time between two issues of the same engine order.
pub const ORDER_REISSUE_INTERVAL: Duration = Duration::from_secs(1);
