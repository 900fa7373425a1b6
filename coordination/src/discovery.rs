//! Order in which callers of an organisation should try the instances.

use std::cmp::Reverse;
use std::net::SocketAddr;

use limpetweir_state::{
    InstanceId,
    OrganisationId,
    ZoneId, //
};

use crate::rendezvous::rendezvous_score;

/// An instance that a discovery answer may list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryMember<'a> {
    /// The instance.
    pub instance: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// Address of its public listener.
    pub public: SocketAddr,
    /// Whether it accepts requests.
    pub serving: bool,
    /// Whether it is stopping, according to the platform's list or its heartbeat.
    pub leaving: bool,
    /// Whether no heartbeat of it arrived within the heartbeat timeout.
    pub unreachable: bool,
}

impl DiscoveryMember<'_> {
    fn is_usable(&self) -> bool {
        self.serving && !self.leaving && !self.unreachable
    }
}

/// Sorts the usable members for callers of `organisation`.
///
/// Rendezvous hashing sends the callers of an organisation to the same instances, so that few
/// instances need a share of its quota, and the loss of an instance moves only its own callers.
/// If `zone` is given, members of that zone come first.
pub fn discovery_order<'a>(
    organisation: &OrganisationId,
    zone: Option<&ZoneId>,
    members: impl IntoIterator<Item = DiscoveryMember<'a>>,
) -> Vec<DiscoveryMember<'a>> {
    let key = organisation.as_str().as_bytes();
    let rank = |member: &DiscoveryMember<'a>| {
        let near = zone.is_some_and(|zone| zone == member.zone);
        let score = rendezvous_score(key, member.instance.as_str());
        Reverse((near, score, member.instance))
    };
    let members = members.into_iter();
    let mut order: Vec<_> = members.filter(DiscoveryMember::is_usable).collect();
    order.sort_by_key(rank);
    order
}
