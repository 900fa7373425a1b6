//! Starts instances as separate processes, with the command of the deploy file, and ends them.

use std::fs::{
    self,
    File, //
};
use std::net::{
    Ipv4Addr,
    SocketAddr,
    TcpListener, //
};
use std::path::PathBuf;
use std::process::{
    Child,
    Command,
    Stdio, //
};
use std::thread::sleep;
use std::time::{
    Duration,
    Instant, //
};

use crate::http::call;

/// Longest time until an instance is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Instance {
    pub name: String,
    pub public: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Instance {
    fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
        let log = File::options().create(true).append(true).open(log);
        Command::new("target/release/limpetweird")
            .arg("gateway")
            .env("LIMPETWEIR_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the log of an instance"))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the daemon starts; it is built as deploy/system.toml says")
    }

    /// Returns the memory of the process in megabytes; `None` if it has ended.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kb: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kb / 1_024)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = Self::spawn(&self.settings, &self.log);
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_secs(1);
        let response = call(
            self.readiness,
            "GET /readiness",
            &[("Host", "x")],
            b"",
            timeout,
        );
        response.is_ok_and(|response| response.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a signal to a process that this one has started.
pub fn signal(pid: u32, name: &str) {
    let status = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .status();
    let _ = status.expect("the command kill");
}

/// Returns free ports of an address, all different.
fn free_ports<const N: usize>(ip: Ipv4Addr) -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

/// Starts instances `one`, `two` and so on, each at a loopback address of its own, and waits until all
/// are ready and know each other.
pub fn start(count: usize, store: SocketAddr, folder: &PathBuf) -> Result<Vec<Instance>, String> {
    let names = [
        "one", "two", "three", "four", "five", "six", "seven", "eight", "nine",
    ];
    let [.., high, low] = std::process::id().to_be_bytes();
    let [peer_port] = free_ports::<1>(Ipv4Addr::LOCALHOST);
    let ips: Vec<Ipv4Addr> = (0..count)
        .map(|n| Ipv4Addr::new(127, high | 64, low, 20 + n as u8))
        .collect();
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:9\"")).collect();
    let mut instances = Vec::new();
    for (name, ip) in names.iter().zip(&ips) {
        let ports = free_ports::<4>(*ip);
        let text = format!(
            r#"name = "{name}"
zone = "z"
address = "{ip}"
seeds = [{}]

[machine]
cpu_share = 0.5
cores = 1

[listen]
public = "{ip}:{}"
readiness = "{ip}:{}"
directory = "{ip}:{}"
metrics_port = {}
peer_port = {peer_port}
address_lifetime_s = 2

[store]
address = "{store}"
partitions = 4
record_bytes = 262144
call_bytes = 2097152

[stop]
grace_s = 8

[jobs]
result_retention_s = 120

[quota]
window_s = 5
overshoot = 0.1
slack = 20

[log]
level = "info"
"#,
            seeds.join(","),
            ports[0],
            ports[1],
            ports[2],
            ports[3],
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).map_err(|err| err.to_string())?;
        let log = folder.join(format!("{name}.log"));
        instances.push(Instance {
            name: (*name).to_owned(),
            public: (*ip, ports[0]).into(),
            readiness: (*ip, ports[1]).into(),
            directory: (*ip, ports[2]).into(),
            child: Instance::spawn(&settings, &log),
            settings,
            log,
        });
    }
    let deadline = Instant::now() + READY_TIMEOUT;
    for instance in &mut instances {
        while !instance.is_ready() {
            if Instant::now() >= deadline || instance.has_ended() {
                return Err(format!("instance {} is not ready in time", instance.name));
            }
            sleep(Duration::from_millis(50));
        }
    }
    for instance in &instances {
        loop {
            let uri = "GET /resolution?name=one.example&region=r&zone=z";
            let timeout = Duration::from_secs(1);
            let response = call(instance.directory, uri, &[("Host", "x")], b"", timeout);
            let text = response.map(|response| response.text()).unwrap_or_default();
            if instances
                .iter()
                .all(|other| text.contains(&other.public.to_string()))
            {
                break;
            }
            if Instant::now() >= deadline {
                return Err(format!(
                    "instance {} does not list all others",
                    instance.name
                ));
            }
            sleep(Duration::from_millis(50));
        }
    }
    // A started instance denies nothing for two seconds after its first configuration.
    sleep(Duration::from_millis(2_500));
    Ok(instances)
}
