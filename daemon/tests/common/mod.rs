//! An instance inside the test's process.

#![allow(dead_code, reason = "each test directory uses a part")]

use limpetweir_protocol::settings::Settings;
use limpetweir_standins::fleet::{
    Addresses,
    Instance,
    InstanceSettings, //
};
use limpetweir_transport::Runtime;
use limpetweird::Daemon;

/// A running instance; dropping it ends it without a graceful stop.
pub(crate) struct LocalInstance {
    // Dropped in this order: the daemon ends before its threads.
    daemon: Daemon,
    runtime: Runtime,
    addresses: Addresses,
}

impl LocalInstance {
    pub(crate) fn start(settings: &InstanceSettings) -> Self {
        let runtime = Runtime::start(2).unwrap();
        let checked = Settings::load("test", &settings.to_string(), &[]).unwrap();
        let daemon = Daemon::start(&runtime.spawner(), checked).unwrap();
        let bound = daemon.addresses();
        let addresses = Addresses {
            name: bound.name,
            zone: settings.zone.clone(),
            public: bound.public.to_string(),
            peer: bound.peer.to_string(),
            admin: bound.admin.to_string(),
        };
        Self {
            daemon,
            runtime,
            addresses,
        }
    }

    /// Stops the instance gracefully; returns whether no request was cut.
    pub(crate) fn stop(self) -> bool {
        self.runtime.block_on(self.daemon.stop())
    }
}

impl Instance for LocalInstance {
    fn addresses(&self) -> &Addresses {
        &self.addresses
    }
}
