//! Stand-in of the platform: it fills in the settings, starts the instances, and kills and restarts one that
//! exceeds the memory of its machine.

use std::fs;
use std::io::{
    self,
    Write as _, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::path::{
    Path,
    PathBuf, //
};
use std::process::{
    Child,
    Command,
    Stdio, //
};
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::net;
use crate::record::Record;

/// Ports of an instance; each instance has an address of its own.
const FRONTEND: u16 = 18689;
const READINESS: u16 = 18687;
const DIRECTORY: u16 = 18682;
const METRICS: u16 = 9464;
const PEER: u16 = 17360;

/// Time between two looks at the memory of the processes.
const LOOK: Duration = Duration::from_millis(20);

/// Time after which a process that has ended is started again.
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// A machine and the process on it.
pub struct Machine {
    pub name: String,
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Times at which the process was killed for its memory.
    pub kills: Mutex<Vec<Instant>>,
    /// Largest resident memory in bytes.
    pub peak: Mutex<u64>,
}

pub struct Platform {
    pub machines: Vec<Arc<Machine>>,
    root: PathBuf,
    memory_mb: u64,
    record: Record,
    stopped: Arc<AtomicBool>,
}

/// Returns a loopback network whose ports are free, as the first two numbers of its addresses.
fn free_network(machines: u8) -> io::Result<(u8, u8)> {
    let seed = std::process::id() as u8;
    for step in 0..100_u8 {
        let network = (77 + step % 50, seed.wrapping_add(step.wrapping_mul(7)));
        let is_free = (1..=machines).all(|n| {
            let ports = [FRONTEND, READINESS, DIRECTORY, METRICS, PEER];
            let addr = [127, network.0, network.1, n];
            ports
                .iter()
                .all(|port| TcpListener::bind((std::net::Ipv4Addr::from(addr), *port)).is_ok())
        });
        if is_free {
            return Ok(network);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

impl Platform {
    /// Starts instances with the settings of a small deployment.
    pub fn start(
        root: &Path,
        folder: &Path,
        machines: u8,
        memory_mb: u64,
        store: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let network = free_network(machines)?;
        let template = fs::read_to_string(root.join("platform/settings.toml.in"))?;
        let ip = |n: u8| format!("127.{}.{}.{n}", network.0, network.1);
        let seeds: Vec<String> = (1..=machines.min(3))
            .map(|n| format!("\"{}:18683\"", ip(n)))
            .collect();
        let mut all = Vec::new();
        for n in 1..=machines {
            let quoted = |text: String| format!("\"{text}\"");
            let fields = [
                ("nodeName|json", quoted(format!("frontend-{n}"))),
                (
                    "zone|json",
                    quoted(format!("alfold-{}", char::from(b'a' + (n - 1) % 3))),
                ),
                ("ipAddress|json", quoted(ip(n))),
                ("seeds|json", format!("[{}]", seeds.join(","))),
                ("limits.cpuShare", "0.5".to_owned()),
                ("limits.cores", "1".to_owned()),
                ("limits.memoryMb", memory_mb.to_string()),
                ("limits.fileDescriptors", "8200".to_owned()),
                (
                    "listenAddresses.frontend|json",
                    quoted(format!("{}:{FRONTEND}", ip(n))),
                ),
                (
                    "listenAddresses.readiness|json",
                    quoted(format!("{}:{READINESS}", ip(n))),
                ),
                (
                    "listenAddresses.directory|json",
                    quoted(format!("{}:{DIRECTORY}", ip(n))),
                ),
                ("internalPorts.0", PEER.to_string()),
                ("platform.address|json", quoted(store.to_string())),
                ("platform.recordBytes", "262144".to_owned()),
                ("platform.callBytes", "2097152".to_owned()),
                ("bounds.gracePeriodS", "8".to_owned()),
                ("bounds.statusS", "120".to_owned()),
                ("bounds.quotaWindowS", "5".to_owned()),
                ("bounds.quotaOvershoot", "0.1".to_owned()),
                ("bounds.quotaSlack", "20".to_owned()),
            ];
            let mut text = template.clone();
            for (name, value) in &fields {
                text = text.replace(&format!("{{{{{name}}}}}"), value);
            }
            if text.contains("{{") {
                return Err(io::Error::other(
                    "the template has a field that is not known here",
                ));
            }
            let settings = folder.join(format!("settings-{n}.toml"));
            fs::write(&settings, text)?;
            let addr = |port: u16| format!("{}:{port}", ip(n)).parse().expect("an address");
            all.push(Arc::new(Machine {
                name: format!("frontend-{n}"),
                frontend: addr(FRONTEND),
                readiness: addr(READINESS),
                settings,
                log: folder.join(format!("frontend-{n}.log")),
                child: Mutex::default(),
                kills: Mutex::default(),
                peak: Mutex::default(),
            }));
        }
        let platform = Self {
            machines: all,
            root: root.to_owned(),
            memory_mb,
            record: record.clone(),
            stopped: Arc::default(),
        };
        for machine in &platform.machines {
            platform.spawn(machine)?;
            platform.watch(machine);
        }
        Ok(platform)
    }

    fn spawn(&self, machine: &Machine) -> io::Result<()> {
        spawn(&self.root, machine)
    }

    /// Watches the memory of a machine for as long as the platform runs.
    fn watch(&self, machine: &Arc<Machine>) {
        let (machine, record, root) = (machine.clone(), self.record.clone(), self.root.clone());
        let (stopped, limit) = (self.stopped.clone(), self.memory_mb << 20);
        thread::spawn(move || {
            while !stopped.load(Ordering::Acquire) {
                thread::sleep(LOOK);
                let mut child = machine.child.lock().expect("the process");
                let Some(running) = child.as_mut() else {
                    continue;
                };
                if let Ok(Some(status)) = running.try_wait() {
                    record.line(&format!("{} ended by itself: {status}", machine.name));
                    machine
                        .kills
                        .lock()
                        .expect("the kills")
                        .push(Instant::now());
                } else {
                    let rss = resident(running.id());
                    let mut peak = machine.peak.lock().expect("the peak");
                    *peak = rss.max(*peak);
                    if rss <= limit {
                        continue;
                    }
                    let mb = rss as f64 / 1e6;
                    let name = &machine.name;
                    record.line(&format!(
                        "{name} has {mb:.0} MB, over its {} MiB: killed",
                        limit >> 20
                    ));
                    let _ = running.kill();
                    let _ = running.wait();
                    machine
                        .kills
                        .lock()
                        .expect("the kills")
                        .push(Instant::now());
                }
                *child = None;
                drop(child);
                thread::sleep(RESTART_AFTER);
                if !stopped.load(Ordering::Acquire) && spawn(&root, &machine).is_err() {
                    record.line(&format!("{} cannot be started", machine.name));
                }
            }
        });
    }

    /// Waits until all machines are ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        self.machines.iter().all(|machine| {
            while Instant::now() < until {
                if machine.is_ready() {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        for machine in &self.machines {
            if let Some(mut child) = machine.child.lock().expect("the process").take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Machine {
    pub fn is_ready(&self) -> bool {
        let answer = net::call(
            self.readiness,
            "GET",
            "/readiness",
            &[("Host", "r")],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

fn spawn(root: &Path, machine: &Machine) -> io::Result<()> {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(&machine.log)?;
    let child = Command::new(root.join("target/release/limpetweird"))
        .arg("gateway")
        .env_clear()
        .env("LIMPETWEIR_SETTINGS", &machine.settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    // The script ends what is left if it is interrupted.
    let pids = machine.log.with_file_name("pids");
    let mut pids = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(pids)?;
    writeln!(pids, "{}", child.id())?;
    *machine.child.lock().expect("the process") = Some(child);
    Ok(())
}

/// Returns the resident memory of a process in bytes.
fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) << 10
}
