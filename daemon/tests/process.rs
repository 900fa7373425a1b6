//! Tests of the daemon process: command line, output of the bound addresses, graceful stop.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::fs;
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::path::{
    Path,
    PathBuf, //
};
use std::process::{
    Command,
    Output, //
};
use std::time::Duration;

use limpetweir_standins::harness::{
    Launch,
    Process, //
};

/// Upper bound of any wait, far above what a test needs; reaching it means that the test hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const SETTINGS: &str = r#"name = "a1"
zone = "z1"
listen = { public = "127.0.0.1:0", peer = "127.0.0.1:0", admin = "127.0.0.1:0" }
platform = { log = "127.0.0.1:1", list = "127.0.0.1:1" }

[operator]
key_digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

[timing]
discovery_ttl_ms = 1
"#;

fn settings_file(name: &str, text: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{name}.toml"));
    fs::write(&path, text).unwrap();
    path
}

fn daemon(config: &PathBuf, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetweird"));
    command.arg("--config").arg(config).args(args);
    command
}

fn check(name: &str, text: &str, args: &[&str]) -> Output {
    let config = settings_file(name, text);
    daemon(&config, &["--check"]).args(args).output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Guards against a check that starts the daemon or accepts invalid settings.
#[test]
fn check_reports_faults_and_exits() {
    let good = check("good", SETTINGS, &[]);
    assert!(good.status.success(), "{}", stderr(&good));

    let faulty = SETTINGS.replace("zone = \"z1\"", "zone = \"\"");
    let bad = check("faulty", &faulty, &[]);
    assert_eq!(bad.status.code(), Some(2));
    let message = stderr(&bad);
    assert!(
        message.contains("faulty.toml:2: zone: \"\" is not accepted"),
        "{message}"
    );

    let mended = check("mended", &faulty, &["--set", "zone=z2"]);
    assert!(mended.status.success(), "{}", stderr(&mended));

    let form = check("form", SETTINGS, &["--set", "zone"]);
    assert_eq!(form.status.code(), Some(2));
    assert!(stderr(&form).contains("key=value"));
}

/// Guards against a missing settings file that is treated as empty settings.
#[test]
fn a_missing_file_is_named() {
    let config = PathBuf::from("/nonexistent/limpetweir.toml");
    let output = daemon(&config, &["--check"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("cannot read /nonexistent/limpetweir.toml"));
}

/// Starts a daemon that logs to `<name>.log`.
fn start(name: &str) -> Process {
    let config = settings_file(name, SETTINGS);
    let log = config.with_extension("log");
    fs::write(&log, "").unwrap();
    let launch = Launch::new(env!("CARGO_BIN_EXE_limpetweird")).stderr(log);
    launch.arg("--config").arg(config).spawn().unwrap()
}

/// Guards against an instance that does not print the ports which the operating system chose, and
/// against a graceful stop that exits with an error.
#[test]
fn announces_its_addresses_and_stops_on_sigterm() {
    let mut running = start("running");
    assert_eq!(running.field("name"), "a1");
    for listener in ["public", "peer", "admin"] {
        let addr: SocketAddr = running.field(listener).parse().unwrap();
        assert_ne!(addr.port(), 0);
        TcpStream::connect(addr).unwrap();
    }
    running.terminate().unwrap();
    assert!(running.wait(TEST_TIMEOUT).unwrap().unwrap().success());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("running.log");
    let log = fs::read_to_string(path).unwrap();
    for event in ["LW1001", "LW1003", "LW1004"] {
        assert!(
            log.lines().any(|line| line.contains(event)),
            "{event}: {log}"
        );
    }
}

/// Guards against a port conflict whose error does not name the address and the setting.
#[test]
fn a_taken_port_is_reported_with_its_setting() {
    let running = start("first");
    let taken = running.field("admin");
    let config = settings_file("second", SETTINGS);
    let set = format!("listen.admin={taken}");
    let output = daemon(&config, &["--set", &set]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let log = stderr(&output);
    assert!(log.contains("LW1002"), "{log}");
    assert!(
        log.contains(&format!("cannot listen on {taken} (listen.admin)")),
        "{log}"
    );
}
