//! Runs a stand-in on loopback and prints its address as one JSON line.

use std::{
    collections::BTreeMap,
    error::Error,
    io::Write,
    net::TcpListener,
    time::Duration, //
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};
use limpetweir_standins::{
    bind,
    engine,
    list,
    log,
    plain,
    weights, //
};

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
        "weights" => weights::serve(listener, weights_config(sub))?,
        "engine" => engine::serve(listener, &engine_config(sub))?,
        "plain" => plain::serve(listener)?,
        _ => return Err(format!("unknown stand-in {name:?}").into()),
    }
    Ok(())
}

/// Exits when the parent process closes its end of the pipe, also when the parent is killed.
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
        .subcommand(weights_command())
        .subcommand(engine_command())
        .subcommand(standin(
            "plain",
            "Plain service with tank readings and salinity orders",
        ))
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

fn weights_command() -> Command {
    standin("weights", "Weight store with rate-limited reads")
        .arg(number_arg::<f64>(
            "reads-per-s",
            "10",
            "Reads a second over all weights",
        ))
        .arg(number_arg::<f64>(
            "read-burst",
            "4",
            "Reads that may come at once",
        ))
        .arg(
            Arg::new("weight")
                .long("weight")
                .value_name("NAME=BYTES")
                .action(ArgAction::Append)
                .value_parser(parse_weight)
                .help("Adds a weight; may be repeated"),
        )
}

fn engine_command() -> Command {
    standin("engine", "Model engine with continuous batching")
        .arg(
            Arg::new("model")
                .long("model")
                .default_value("reef-1")
                .help("Model at the start"),
        )
        .arg(number_arg::<usize>(
            "slots",
            "16",
            "Most sequences in the batch",
        ))
        .arg(number_arg::<u64>(
            "step-base-us",
            "10000",
            "Fixed part of a step",
        ))
        .arg(number_arg::<u64>(
            "step-per-sequence-us",
            "1000",
            "Part of a step per sequence",
        ))
        .arg(number_arg::<u64>(
            "prefill-per-token-us",
            "50",
            "Time per uncached prompt token",
        ))
        .arg(number_arg::<usize>(
            "cache-blocks",
            "4096",
            "Prefix cache, in blocks of 16 tokens",
        ))
        .arg(number_arg::<usize>(
            "context-tokens",
            "32768",
            "Maximum number of tokens of prompt and response together",
        ))
        .arg(number_arg::<u64>(
            "load-time-ms",
            "200",
            "Time to load a model, adapter or version",
        ))
        .arg(number_arg::<u64>("load-lag-ms", "200", "Lag of GET /load"))
        .arg(number_arg::<u64>(
            "cache-event-lag-ms",
            "500",
            "Lag of cache events",
        ))
        .arg(number_arg::<u64>(
            "cache-event-gap-every",
            "50",
            "Loses every nth event; 0 none",
        ))
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .action(ArgAction::SetTrue)
                .help("Accept orders with an old fencing number"),
        )
}

fn standin(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .args_override_self(true)
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

fn weights_config(sub: &ArgMatches) -> weights::WeightsConfig {
    let weights: BTreeMap<String, usize> = sub
        .get_many::<(String, usize)>("weight")
        .unwrap_or_default()
        .cloned()
        .collect();
    weights::WeightsConfig {
        weights,
        reads_per_s: number(sub, "reads-per-s"),
        read_burst: number(sub, "read-burst"),
    }
}

fn parse_weight(text: &str) -> Result<(String, usize), String> {
    let (name, bytes) = text.split_once('=').ok_or("expected NAME=BYTES")?;
    let bytes = bytes
        .parse()
        .map_err(|err| format!("{bytes:?} is not a size: {err}"))?;
    if bytes > weights::MAX_WEIGHT {
        return Err(format!(
            "a weight has at most {} bytes",
            weights::MAX_WEIGHT
        ));
    }
    Ok((name.to_owned(), bytes))
}

fn engine_config(sub: &ArgMatches) -> engine::EngineConfig {
    let micros = |name| Duration::from_micros(number(sub, name));
    engine::EngineConfig {
        model: sub.get_one::<String>("model").cloned().unwrap_or_default(),
        time: engine::TimeModel {
            step_base: micros("step-base-us"),
            step_per_sequence: micros("step-per-sequence-us"),
            prefill_per_token: micros("prefill-per-token-us"),
            slots: number::<usize>(sub, "slots").max(1),
            cache_blocks: number(sub, "cache-blocks"),
        },
        context_tokens: number(sub, "context-tokens"),
        check_fencing: !sub.get_flag("ignore-fencing"),
        load_time: millis(sub, "load-time-ms"),
        load_lag: millis(sub, "load-lag-ms"),
        cache_event_lag: millis(sub, "cache-event-lag-ms"),
        cache_event_gap_every: number(sub, "cache-event-gap-every"),
    }
}
