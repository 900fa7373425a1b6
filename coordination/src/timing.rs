//! Time constants of the fleet and related counts.

use std::time::Duration;

/// Time between two heartbeats to the same peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a heartbeat after which a peer is unreachable.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a holder without a confirmed read of the claims has stopped acting, by any
/// clock.
pub const OWNER_LEASE: Duration = Duration::from_secs(3);

/// Time for which a holder may act after a confirmed read of the claims, by its own clock.
///
/// On a clock that runs up to 10% slow, this time still ends within the owner lease.
pub const HOLDER_LEASE: Duration = Duration::from_millis(2_700);

/// Time for which a confirmed read shows that the configuration is current.
pub const CONFIG_FRESHNESS_LIMIT: Duration = Duration::from_secs(3);

/// Maximum wait of one long-poll read of the configuration stream.
pub const CONFIG_LONG_POLL: Duration = Duration::from_secs(1);

/// Lifetime of a quota share, counted by the grantee from the send time of its renewal.
///
/// It covers the time until the successor of a lost quota owner acts, plus one renewal. The
/// successor claims after 1.5 s to 2.5 s without heartbeats and acts after the owner lease plus 10%.
/// Grantees reduce their shares themselves when the limit is lowered.
pub const SHARE_LEASE: Duration = Duration::from_secs(8);

/// Time between two renewals of a quota share.
pub const SHARE_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a caller may keep a discovery answer.
pub const DISCOVERY_TTL: Duration = Duration::from_secs(5);

/// Maximum duration of a graceful shutdown.
pub const MAX_DRAIN: Duration = Duration::from_secs(60);

/// Time between two reads of the platform's list.
pub const LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an admission request to other instances counts as unanswered.
pub const QUOTA_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which an admission request that the quota owner has not answered is sent to peers;
/// part of [`QUOTA_REQUEST_TIMEOUT`].
pub const QUOTA_OWNER_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after which an admission request that a peer has not answered is sent to the next peer.
pub const QUOTA_PEER_TIMEOUT: Duration = Duration::from_millis(10);

/// Number of failed attempts after which the failure is the final outcome of a batch item.
pub const ITEM_ATTEMPTS: u32 = 3;

/// Time for which another instance must have been eligible before a group is handed over to it.
///
/// Without the delay, groups would move back and forth when an instance restarts repeatedly.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(5);

/// Time for which a backend server receives no new work after a failure.
pub const BACKEND_COOLDOWN: Duration = Duration::from_secs(2);

/// Minimum time between two completion records of a job group, unless a record is full.
pub const COMPLETION_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of items in a completion record; a full record is due immediately.
pub const COMPLETION_MAX_ITEMS: usize = 256;

/// Time between two issues of the same engine order.
pub const ORDER_REISSUE_INTERVAL: Duration = Duration::from_secs(1);
