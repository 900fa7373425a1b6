//! An instance that runs in the test process.

#![allow(
    dead_code,
    reason = "each test directory uses only some of these items"
)]

use std::sync::{
    Arc,
    Barrier, //
};
use std::thread;
use std::time::Duration;

use limpetweir_protocol::settings::Settings;
use limpetweir_standins::fleet::{
    Addresses,
    Instance,
    InstanceSettings, //
};
use limpetweir_transport::Runtime;
use limpetweird::Daemon;

/// Number of threads of an instance.
const THREADS: usize = 2;

/// A running instance; dropping it stops it without a graceful stop.
pub(crate) struct LocalInstance {
    // Dropped in declaration order: the daemon before the runtime whose threads run it.
    daemon: Daemon,
    runtime: Runtime,
    addresses: Addresses,
}

impl LocalInstance {
    pub(crate) fn start(settings: &InstanceSettings) -> Self {
        let runtime = Runtime::start(THREADS).unwrap();
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

    /// Keeps every thread of the instance busy for `length`; returns once all of them are.
    pub(crate) fn block(&self, length: Duration) {
        let started = Arc::new(Barrier::new(THREADS + 1));
        for _ in 0..THREADS {
            let started = started.clone();
            let blocking = async move {
                started.wait();
                thread::sleep(length);
            };
            self.runtime.spawner().spawn(blocking).detach();
        }
        started.wait();
    }

    /// Stops the instance gracefully; returns whether all requests completed.
    pub(crate) fn stop(self) -> bool {
        self.runtime.block_on(self.daemon.stop())
    }
}

impl Instance for LocalInstance {
    fn addresses(&self) -> &Addresses {
        &self.addresses
    }
}
