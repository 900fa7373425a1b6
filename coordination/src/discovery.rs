//! The order in which callers of an organisation should use the instances.

use std::cmp::Reverse;
use std::net::SocketAddr;

use limpetweir_state::{
    InstanceId,
    OrganisationId,
    ZoneId, //
};

use crate::rendezvous::rendezvous_score;

/// An instance that discovery may name.
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
    /// Whether it is stopping, by the list or by its heartbeat.
    pub leaving: bool,
    /// Whether it was not heard within the silence limit.
    pub unreachable: bool,
}

impl DiscoveryMember<'_> {
    fn is_usable(&self) -> bool {
        self.serving && !self.leaving && !self.unreachable
    }
}

/// Orders the usable members for callers of `organisation`.
///
/// The order by rendezvous hash keeps the callers of an organisation together, so that few
/// instances need a share of its quota, and moves only the callers of an instance that is lost.
/// Members of the caller's zone come first if it names one.
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
