//! Global options and environment variables.

use std::env;
use std::fs;
use std::io::{
    self,
    Read, //
};
use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use clap::ArgMatches;
use limpetweir_state::ZoneId;
use limpetweir_transport::{
    Runtime,
    Spawner, //
};
use snafu::ResultExt;

use crate::error::{
    Error,
    ReadSnafu,
    StartSnafu, //
};
use crate::fleet::Fleet;
use crate::secret::Secret;

/// Environment variable with the key of a caller.
const CALLER_KEY: &str = "LIMPETWEIR_KEY";

/// Environment variable with the key of an operator.
const OPERATOR_KEY: &str = "LIMPETWEIR_OPERATOR_KEY";

/// File argument that stands for standard input.
const STDIN: &str = "-";

/// The global options, and the runtime for the connections.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) json: bool,
    pub(crate) timeout: Duration,
    pub(crate) zone: Option<ZoneId>,
    addresses: Vec<SocketAddr>,
    admin: Vec<SocketAddr>,
    key_file: Option<PathBuf>,
    runtime: Runtime,
}

impl Options {
    /// Reads the global options and starts the runtime.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self, Error> {
        let addresses = |name: &str| -> Vec<SocketAddr> {
            let values = matches.get_many(name);
            values.map(|v| v.copied().collect()).unwrap_or_default()
        };
        let timeout = matches.get_one::<Duration>("timeout").copied();
        Ok(Self {
            json: matches.get_flag("json"),
            timeout: timeout.unwrap_or(Duration::from_secs(30)),
            zone: matches.get_one::<ZoneId>("zone").cloned(),
            addresses: addresses("address"),
            admin: addresses("admin"),
            key_file: matches.get_one::<PathBuf>("key-file").cloned(),
            runtime: Runtime::start(1).context(StartSnafu)?,
        })
    }

    /// Returns a client for the public addresses, with discovery.
    pub(crate) fn public(&self) -> Result<Fleet, Error> {
        let zone = self.zone.as_ref().map(ZoneId::as_str);
        Ok(self.public_without_discovery()?.with_discovery(zone))
    }

    /// Returns a client for the public addresses given in the options, without discovery.
    pub(crate) fn public_without_discovery(&self) -> Result<Fleet, Error> {
        let addresses = require_addresses(&self.addresses, "--address", "public")?;
        let key = self.key(CALLER_KEY)?;
        Ok(Fleet::new(
            &self.spawner(),
            addresses,
            Some(key),
            self.timeout,
        ))
    }

    /// Returns a client for the admin addresses.
    pub(crate) fn admin(&self) -> Result<Fleet, Error> {
        let addresses = require_addresses(&self.admin, "--admin", "admin")?;
        let key = self.key(OPERATOR_KEY)?;
        Ok(Fleet::new(
            &self.spawner(),
            addresses,
            Some(key),
            self.timeout,
        ))
    }

    /// Returns a client for the peer addresses of gateway instances, which require no key.
    pub(crate) fn peers(&self) -> Result<Fleet, Error> {
        let addresses = require_addresses(&self.admin, "--admin", "peer")?;
        Ok(Fleet::new(&self.spawner(), addresses, None, self.timeout))
    }

    fn spawner(&self) -> Spawner {
        self.runtime.spawner()
    }

    fn key(&self, variable: &str) -> Result<Secret, Error> {
        if let Some(path) = &self.key_file {
            return Secret::read(path);
        }
        let Ok(text) = env::var(variable) else {
            return Err(Error::usage(format!(
                "no key: use --key-file FILE or the environment variable {variable}"
            )));
        };
        Secret::new(&text, variable)
    }
}

fn require_addresses(
    addresses: &[SocketAddr],
    option: &str,
    kind: &str,
) -> Result<Vec<SocketAddr>, Error> {
    if addresses.is_empty() {
        let message = format!("no address: use {option} IP:PORT with the {kind} address");
        return Err(Error::usage(message));
    }
    Ok(addresses.to_vec())
}

/// Reads a text file, or standard input for `-`.
pub(crate) fn read_text(path: &Path) -> Result<String, Error> {
    let text = read_bytes(path).and_then(|bytes| {
        String::from_utf8(bytes).map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, cause))
    });
    text.context(ReadSnafu { path })
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read_bytes(path: &Path) -> io::Result<Vec<u8>> {
    if path.as_os_str() != STDIN {
        return fs::read(path);
    }
    let mut bytes = Vec::new();
    io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}
