//! Freshness of the configuration of this instance, and the serving mode that follows from it.

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
    /// Online requests and running jobs; requests that need an append to the log are rejected.
    OnlineOnly,
    /// Nothing; health checks fail.
    Nothing,
}

/// Reason for which an instance rejects a publication; the publication had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PublicationRefusal {
    /// No recent read of the log reached its end.
    LogUnreachable,
    /// This instance reaches no majority, so another majority might continue without the published
    /// version.
    NoMajority,
    /// A peer has a newer version in force.
    Outdated,
}

/// Next step in the start of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// The configuration is known to be current.
    Serve,
    /// A majority of peers holds configurations; the newest must be fetched first.
    Fetch {
        /// Peer that holds the newest configuration.
        peer: InstanceId,
        /// Version of that configuration.
        version: Version,
    },
    /// The current version was confirmed neither by the log nor by a majority of peers.
    Wait,
}

/// Freshness of the configuration that this instance holds.
#[derive(Clone, Debug)]
pub struct Freshness {
    version: Version,
    /// Send time of the last read that reached the end of the stream.
    confirmed_at: Option<Timestamp>,
    /// Time at which the log or a majority of peers, without the own vote, last confirmed the
    /// version as current.
    proven_at: Option<Timestamp>,
    stall_watch: StallWatch,
}

impl Freshness {
    /// Creates the state of an instance that starts at `now` without a configuration.
    pub fn new(now: Timestamp) -> Self {
        Self {
            version: Version(0),
            confirmed_at: None,
            proven_at: None,
            stall_watch: StallWatch::new(now),
        }
    }

    /// Returns the version that the instance holds.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Records a read of the configuration stream that was sent at `sent_at` and reached the end of
    /// the stream; the instance holds `version` after it.
    pub fn on_confirmed_read(&mut self, sent_at: Timestamp, version: Version) {
        self.version = self.version.max(version);
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Records that the instance now holds `version`, read from the log or fetched from a peer.
    pub fn on_version(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// Records that the process is running at `now`; must be called with every heartbeat.
    pub fn tick(&mut self, now: Timestamp, members: &Membership) {
        self.stall_watch.tick(now);
        if self.proven_at.is_none() && self.start(now, members) == StartStep::Serve {
            self.proven_at = Some(now);
        }
    }

    /// Returns the next step of a starting instance.
    ///
    /// Only the votes of peers count, because this instance has no record of versions that an
    /// earlier incarnation accepted.
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
        if self.stall_watch.is_stalled(now) {
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
        if self.stall_watch.is_stalled(now) || !self.log_confirmed(now) {
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
    /// If only this instance held the version and failed together with the log, the other instances
    /// would continue with the former version and confirm it to each other.
    pub fn may_acknowledge(&self, now: Timestamp, members: &Membership, version: Version) -> bool {
        let own_votes = usize::from(self.version >= version);
        !self.stall_watch.is_stalled(now) && members.majority_holds(now, version, own_votes)
    }

    fn log_confirmed(&self, now: Timestamp) -> bool {
        let confirmed = self.confirmed_at;
        confirmed.is_some_and(|sent_at| now.since(sent_at) < CONFIG_FRESHNESS_LIMIT)
    }

    /// Returns whether a majority confirms the own version and no peer reports a newer one.
    fn peers_confirm(&self, now: Timestamp, members: &Membership) -> bool {
        let resumed_at = self.stall_watch.resumed_at();
        let proven = self.proven_at.is_some_and(|at| at >= resumed_at);
        let own_votes = usize::from(self.version > Version(0));
        proven
            && members.majority_holds_config(now, own_votes)
            && self.fetch(now, members).is_none()
    }
}
