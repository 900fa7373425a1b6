//! Whether the configuration of this instance is known to be current, and what follows from that.

use limpetweir_state::{
    InstanceId,
    Timestamp,
    Version, //
};
use strum::Display;

use crate::membership::Membership;
use crate::stall::StallWatch;
use crate::timing::CONFIG_FRESHNESS_LIMIT;

/// What an instance may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServingMode {
    /// Everything.
    All,
    /// Online requests and running jobs; what needs an append to the log is rejected.
    OnlineOnly,
    /// Nothing; health checks fail.
    Nothing,
}

/// Why an instance may not accept a publication; the publication did not take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PublicationRefusal {
    /// The log was not read to its end recently.
    LogUnreachable,
    /// The accepted version might not reach every majority.
    NoMajority,
    /// A peer acts on a newer version.
    Outdated,
}

/// How the start of an instance goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// The configuration is known to be current.
    Serve,
    /// A majority of peers holds configurations; the newest must be fetched first.
    Fetch {
        /// Peer that holds it.
        peer: InstanceId,
        /// Its version.
        version: Version,
    },
    /// Neither the log nor a majority of peers has shown the current version.
    Wait,
}

/// Freshness of the configuration that this instance holds.
#[derive(Clone, Debug)]
pub struct Freshness {
    version: Version,
    /// Send time of the last read that reached the end of the stream.
    confirmed_at: Option<Timestamp>,
    /// When the log or a majority of peers last proved the version current by itself.
    proven_at: Option<Timestamp>,
    watch: StallWatch,
}

impl Freshness {
    /// Creates the state of an instance that starts at `now` without a configuration.
    pub fn new(now: Timestamp) -> Self {
        Self {
            version: Version(0),
            confirmed_at: None,
            proven_at: None,
            watch: StallWatch::new(now),
        }
    }

    /// Returns the version that the instance holds.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Records a read of the configuration stream that was sent at `sent_at`, reached the end of
    /// the stream and left the instance with `version`.
    pub fn on_confirmed_read(&mut self, sent_at: Timestamp, version: Version) {
        self.version = self.version.max(version);
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Records that the instance now holds `version`, read from the log or fetched from a peer.
    pub fn on_version(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// Notes that the process runs at `now`; must be called with every heartbeat.
    pub fn tick(&mut self, now: Timestamp, members: &Membership) {
        self.watch.tick(now);
        if self.proven_at.is_none() && self.start(now, members) == StartStep::Serve {
            self.proven_at = Some(now);
        }
    }

    /// Returns how a starting instance goes on.
    ///
    /// Only the votes of peers count, because this instance remembers nothing that an earlier
    /// incarnation accepted.
    pub fn start(&self, now: Timestamp, members: &Membership) -> StartStep {
        if self.proven_at.is_some() {
            return StartStep::Serve;
        }
        if !members.majority_holds_config(now, 0) {
            return StartStep::Wait;
        }
        match self.fetch(now, members) {
            Some((peer, version)) => StartStep::Fetch { peer, version },
            None => StartStep::Serve,
        }
    }

    /// Returns the peer to fetch a newer version from, and that version.
    pub fn fetch(&self, now: Timestamp, members: &Membership) -> Option<(InstanceId, Version)> {
        members
            .newest_config(now)
            .filter(|&(_, version)| version > self.version)
            .map(|(peer, version)| (peer.clone(), version))
    }

    /// Returns what the instance may serve at `now`.
    pub fn mode(&self, now: Timestamp, members: &Membership) -> ServingMode {
        if self.watch.is_stalled(now) {
            ServingMode::Nothing
        } else if self.log_confirmed(now) {
            ServingMode::All
        } else if self.peers_confirm(now, members) {
            ServingMode::OnlineOnly
        } else {
            ServingMode::Nothing
        }
    }

    /// Returns whether the instance may accept a publication at `now`.
    pub fn may_publish(
        &self,
        now: Timestamp,
        members: &Membership,
    ) -> Result<(), PublicationRefusal> {
        if self.watch.is_stalled(now) || !self.log_confirmed(now) {
            Err(PublicationRefusal::LogUnreachable)
        } else if !members.reaches_majority(now) {
            Err(PublicationRefusal::NoMajority)
        } else if self.fetch(now, members).is_some() {
            Err(PublicationRefusal::Outdated)
        } else {
            Ok(())
        }
    }

    /// Returns whether the publication that made `version` may be acknowledged at `now`.
    ///
    /// If this instance were the only one that holds the version when it is lost together with the
    /// log, the others would go on with the former version and vouch for each other.
    pub fn may_acknowledge(&self, now: Timestamp, members: &Membership, version: Version) -> bool {
        let own_votes = usize::from(self.version >= version);
        !self.watch.is_stalled(now) && members.majority_holds(now, version, own_votes)
    }

    fn log_confirmed(&self, now: Timestamp) -> bool {
        let confirmed = self.confirmed_at;
        confirmed.is_some_and(|sent_at| now.since(sent_at) < CONFIG_FRESHNESS_LIMIT)
    }

    /// Returns whether a majority without a newer version vouches for the own one.
    fn peers_confirm(&self, now: Timestamp, members: &Membership) -> bool {
        let resumed_at = self.watch.resumed_at();
        let proven = self.proven_at.is_some_and(|at| at >= resumed_at);
        let own_votes = usize::from(self.version > Version(0));
        proven
            && members.majority_holds_config(now, own_votes)
            && self.fetch(now, members).is_none()
    }
}
