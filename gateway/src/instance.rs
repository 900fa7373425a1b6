//! The records by which instances discover each other in the store.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use snafu::{
    OptionExt,
    Snafu,
    ensure, //
};

use crate::checked::{
    Label,
    excerpt,
    is_machine, //
};
use crate::report::Report;

/// An instance that work is divided among.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone; empty if unknown.
    pub zone: &'a str,
    /// Processor of its machine in thousandths of a core.
    pub capacity: u32,
}

/// An instance that is kept.
#[derive(Clone, Debug)]
pub(crate) struct KnownInstance {
    name: String,
    zone: String,
    capacity: u32,
}

impl From<&Instance<'_>> for KnownInstance {
    fn from(instance: &Instance<'_>) -> Self {
        Self {
            name: instance.name.to_owned(),
            zone: instance.zone.to_owned(),
            capacity: instance.capacity,
        }
    }
}

impl<'a> From<&'a KnownInstance> for Instance<'a> {
    fn from(instance: &'a KnownInstance) -> Self {
        Self {
            name: &instance.name,
            zone: &instance.zone,
            capacity: instance.capacity,
        }
    }
}

impl<'a> From<&'a Report> for Instance<'a> {
    fn from(report: &'a Report) -> Self {
        Self {
            name: &report.name,
            zone: &report.zone,
            capacity: report.capacity,
        }
    }
}

/// Largest processor of a machine in thousandths of a core.
pub(crate) const MAX_CAPACITY: u32 = 1_000_000;

/// Largest record of an instance in bytes.
const MAX_RECORD_BYTES: usize = 1 << 10;

/// Returns whether a machine with `capacity` counts as large in a fleet whose largest machine has
/// `largest`. Fleets have machines of two sizes that differ by a factor of four; smaller
/// differences do not matter.
pub(crate) fn is_large(capacity: u32, largest: u32) -> bool {
    capacity >= largest / 2
}

/// Record of an instance in the store: its address, the processor of its machine and its zone,
/// separated by spaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Address that reports are sent to.
    pub addr: IpAddr,
    /// Processor of the machine in thousandths of a core.
    pub capacity: u32,
    /// Availability zone.
    pub zone: String,
}

/// A record of an instance that cannot be parsed.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected an address, a capacity and a zone, found {text:?}"))]
pub struct InstanceRecordError {
    text: String,
}

impl fmt::Display for InstanceRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.addr, self.capacity, self.zone)
    }
}

impl FromStr for InstanceRecord {
    type Err = InstanceRecordError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fault = InstanceRecordSnafu {
            text: excerpt(text),
        };
        ensure!(text.len() <= MAX_RECORD_BYTES, fault);
        let mut fields = text.splitn(3, ' ');
        let addr = fields.next().and_then(|field| field.parse().ok());
        let addr = addr.filter(|addr| is_machine(*addr));
        let capacity = fields.next().and_then(|field| field.parse::<u32>().ok());
        let zone = fields.next().filter(|zone| !zone.is_empty());
        let zone = zone.and_then(|zone| Label::try_from(zone.to_owned()).ok());
        Ok(Self {
            addr: addr.context(fault.clone())?,
            capacity: capacity.context(fault.clone())?.min(MAX_CAPACITY),
            zone: zone.context(fault)?.into_string(),
        })
    }
}
