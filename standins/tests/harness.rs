//! Tests of the process harness.

use std::{
    os::unix::process::ExitStatusExt,
    path::Path,
    time::Duration, //
};

use limpetweir_standins::{
    client,
    harness::{
        Launch,
        Processes, //
    }, //
};

/// Returns the state letter of a process, or `None` if there is no such process.
fn state(pid: u32) -> Option<char> {
    let stat = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("stat"));
    let stat = stat.ok()?;
    stat.rsplit_once(") ")?.1.chars().next()
}

/// Guards against processes that outlive their test.
#[test]
fn all_processes_are_removed_at_the_end() {
    let mut processes = Processes::new();
    let mut pids = Vec::new();
    for _ in 0..2 {
        let index = processes.spawn(Launch::standin("list").unwrap()).unwrap();
        pids.push(processes.get(index).unwrap().id());
    }
    assert!(pids.iter().all(|pid| state(*pid).is_some()));
    drop(processes);
    assert!(pids.iter().all(|pid| state(*pid).is_none()));
}

/// Guards against a pause that does not stop the process, or after which it does not resume.
#[test]
fn paused_process_continues() {
    let mut list = Launch::standin("list").unwrap().spawn().unwrap();
    list.pause().unwrap();
    while state(list.id()) != Some('T') {
        std::thread::yield_now();
    }
    list.resume().unwrap();
    assert_eq!(client::get(list.address(), "/list").unwrap().status, 200);
}

/// Guards against a kill that leaves the process running.
#[test]
fn killed_process_ends() {
    let mut list = Launch::standin("list").unwrap().spawn().unwrap();
    assert_eq!(list.wait(Duration::ZERO).unwrap(), None);
    list.kill().unwrap();
    assert_eq!(state(list.id()), None);
    let status = list.wait(Duration::ZERO).unwrap().unwrap();
    assert_eq!(status.signal(), Some(9));
}

/// Guards against a signal to another process that reuses the id of an exited one.
#[test]
fn ended_process_gets_no_signal() {
    let mut list = Launch::standin("list").unwrap().spawn().unwrap();
    list.kill().unwrap();
    assert!(list.pause().is_err());
    assert!(list.terminate().is_err());
}

/// Guards against a wait of 30 s for a program that exits before it prints its JSON line.
#[test]
fn program_that_ends_early_is_reported() {
    let launch = Launch::standin("list").unwrap().arg("--no-such-option");
    let error = launch.stderr("/dev/null").spawn().unwrap_err();
    assert!(
        error.to_string().contains("printed no JSON line"),
        "{error}"
    );
}
