//! Starts one stand-in process on loopback and prints its address as one JSON line.

use std::{error::Error, io::Write, net::TcpListener, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command};
use limpetweir_standins::{bind, list, log};

fn main() -> Result<(), Box<dyn Error>> {
    env_logger::init();
    let matches = command().get_matches();
    let Some((name, sub)) = matches.subcommand() else {
        return Err("a subcommand is required".into());
    };
    if sub.get_flag("until-stdin-closes") {
        exit_when_stdin_closes();
    }
    let (listener, addr) = bind(number::<u16>(sub, "port"))?;
    let line = serde_json::json!({
        "standin": name,
        "address": addr.to_string(),
        "pid": std::process::id(),
    });
    println!("{line}");
    std::io::stdout().flush()?;
    run(name, sub, listener)
}

fn run(name: &str, sub: &ArgMatches, listener: TcpListener) -> Result<(), Box<dyn Error>> {
    match name {
        "log" => log::serve(listener, &log_config(sub))?,
        "list" => list::serve(listener, millis(sub, "lag-ms"))?,
        _ => return Err(format!("unknown stand-in {name:?}").into()),
    }
    Ok(())
}

/// Ends the process when the starting process closes its end of the pipe, also by being killed.
fn exit_when_stdin_closes() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(0);
    });
}

fn command() -> Command {
    Command::new("standin")
        .about("Starts one stand-in of the platform or of a backend server on loopback")
        .subcommand_required(true)
        .subcommand(log_command())
        .subcommand(list_command())
}

fn log_command() -> Command {
    standin("log", "Append-only log service")
        .arg(number_arg::<u64>(
            "retain-ms",
            "3600000",
            "Age after which records are trimmed",
        ))
        .arg(number_arg::<u64>(
            "retain-records",
            "100000",
            "Records that a stream retains",
        ))
        .arg(number_arg::<f64>(
            "appends-per-s",
            "500",
            "Appends a second over all streams",
        ))
        .arg(number_arg::<f64>(
            "append-burst",
            "100",
            "Appends that may come at once",
        ))
}

fn list_command() -> Command {
    standin("list", "Lagging list of instances and backend servers").arg(number_arg::<u64>(
        "lag-ms",
        "1000",
        "Lag with which a change is shown",
    ))
}

fn standin(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(number_arg::<u16>(
            "port",
            "0",
            "Loopback port; 0 lets the system choose",
        ))
        .arg(
            Arg::new("until-stdin-closes")
                .long("until-stdin-closes")
                .action(ArgAction::SetTrue)
                .help("Exit when standard input reaches its end"),
        )
}

fn number_arg<T>(name: &'static str, default: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: Error + Send + Sync + 'static,
{
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(|text: &str| text.parse::<T>())
        .help(help)
}

fn number<T: Copy + Default + Send + Sync + 'static>(sub: &ArgMatches, name: &str) -> T {
    sub.get_one::<T>(name).copied().unwrap_or_default()
}

fn millis(sub: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(sub, name))
}

fn log_config(sub: &ArgMatches) -> log::LogConfig {
    log::LogConfig {
        retain_age: millis(sub, "retain-ms"),
        retain_records: usize::try_from(number::<u64>(sub, "retain-records")).unwrap_or(usize::MAX),
        appends_per_s: number(sub, "appends-per-s"),
        append_burst: number(sub, "append-burst"),
    }
}
