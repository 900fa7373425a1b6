//! Definition of the command-line arguments.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::{
    OsStringValueParser,
    PossibleValue,
    TypedValueParser,
    ValueParser, //
};
use clap::{
    Arg,
    ArgAction,
    ArgGroup,
    Command,
    value_parser, //
};
use limpetweir_state::{
    JobId,
    KeyId,
    ModelId,
    OrganisationId,
    PublicationId,
    ServiceId,
    ZoneId, //
};

use crate::span::{
    Deadline,
    parse_duration, //
};

const KEYS_HELP: &str = "Keys are never arguments. The caller's key comes from --key-file or the \
    environment variable LIMPETWEIR_KEY, the operator's key from --key-file or \
    LIMPETWEIR_OPERATOR_KEY.\n\nExit codes: 0 success, 1 the operation was refused or failed, \
    2 wrong usage.";

const CHECK_HELP: &str = "The document has the product's own form (TOML) or the platform's (a JSON \
    object). --against current takes the product's form, --servers the platform's.\n\nExit codes for \
    the platform's form: 0 no findings, 1 warnings only, 2 errors or a file that cannot be read. For \
    the product's form: 0 no findings, 1 otherwise.";

/// The version that a publication replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The version in force when the command runs.
    Current,
    /// An explicitly given version.
    Version(u64),
}

fn parse_base(text: &str) -> Result<Base, String> {
    if text == "current" {
        return Ok(Base::Current);
    }
    let version = text.parse().map(Base::Version);
    version.map_err(|_| "use a version number or \"current\"".to_owned())
}

/// The document that a document is compared with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Against {
    /// The version in force when the command runs.
    Current,
    /// A file.
    File(PathBuf),
}

impl From<OsString> for Against {
    fn from(text: OsString) -> Self {
        if text == "current" {
            return Self::Current;
        }
        Self::File(text.into())
    }
}

/// Returns a parser that validates an identifier and converts it to its type `T`.
fn id_parser<T>() -> ValueParser
where
    T: for<'r> TryFrom<&'r str, Error: std::fmt::Display> + Clone + Send + Sync + 'static,
{
    ValueParser::new(|text: &str| T::try_from(text).map_err(|cause| cause.to_string()))
}

/// Returns the definition of all commands and arguments.
pub fn command() -> Command {
    Command::new("limpetweir")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a limpetweir fleet and sends requests and jobs to it")
        .after_help(KEYS_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(config())
        .subcommand(key())
        .subcommand(job())
        .subcommand(complete())
        .subcommand(explain())
        .subcommand(held())
        .subcommand(trace())
        .subcommand(plot())
        .subcommand(bound())
        .subcommand(Command::new("addresses").about("Prints the addresses that a caller may use"))
        .subcommand(completions())
}

fn global_args() -> [Arg; 6] {
    let addresses = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("IP:PORT")
            .action(ArgAction::Append)
            .value_delimiter(',')
            .value_parser(value_parser!(SocketAddr))
            .global(true)
    };
    [
        addresses("address").help("Public address of an instance; several with commas"),
        addresses("admin").help("Admin address of an instance; several with commas"),
        Arg::new("key-file")
            .long("key-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .global(true)
            .help("File with the key to present"),
        Arg::new("zone")
            .long("zone")
            .value_name("ZONE")
            .value_parser(id_parser::<ZoneId>())
            .global(true)
            .help("Availability zone of the caller; its instances are preferred"),
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .global(true)
            .help("Prints machine-readable JSON"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("DURATION")
            .default_value("30s")
            .value_parser(parse_duration)
            .global(true)
            .help("Longest time for one request, with its retries"),
    ]
}

fn held() -> Command {
    let key = |text: &str| {
        let key = u64::from_str_radix(text, 16);
        key.map_err(|_| "a key is a hexadecimal number of up to 16 digits".to_owned())
    };
    Command::new("held")
        .about("Prints what a gateway holds back because backend servers crashed, or releases it")
        .after_help("--admin takes the address of the peer port of any instance.")
        .arg(
            Arg::new("release")
                .long("release")
                .value_name("KEY")
                .value_parser(key)
                .help("Closes the cases with this key on all instances"),
        )
}

fn log_files() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("Log files, one for each instance, or one with the names before the lines")
}

fn trace() -> Command {
    let id = Arg::new("id").value_name("ID").required(true);
    Command::new("trace")
        .about("Follows a request, item or job through collected log files of the gateway")
        .arg(id.help("Identifier of the request, item or job"))
        .arg(log_files())
}

fn bound() -> Command {
    Command::new("bound")
        .about("Prints how much worth any schedule could earn at most on a planned day under load")
        .arg(
            Arg::new("plan")
                .value_name("PLAN")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Plan of the day in TOML, see docs/load-plans.md"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the arrivals"),
        )
        .arg(
            Arg::new("window")
                .long("window")
                .value_name("DURATION")
                .default_value("5s")
                .value_parser(parse_duration)
                .help("Width of the windows of time"),
        )
        .arg(
            Arg::new("within-limits")
                .long("within-limits")
                .action(ArgAction::SetTrue)
                .help("Leaves out requests beyond the limit of their organisation"),
        )
}

fn plot() -> Command {
    let seconds_arg = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("SECOND")
            .value_parser(value_parser!(u64))
    };
    let output = Arg::new("output")
        .long("output")
        .short('o')
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    Command::new("plot")
        .about("Draws the load between two times from collected log files of the gateway")
        .arg(
            seconds_arg("from")
                .help("Start, in seconds after the first line; the first line by default"),
        )
        .arg(
            seconds_arg("to")
                .help("End, in seconds after the first line; the last line by default"),
        )
        .arg(output.help("SVG file that is written"))
        .arg(log_files())
}

fn document_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Configuration document")
}

fn config() -> Command {
    let base = Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .required(true)
        .value_parser(parse_base)
        .help("Version that the document replaces, or \"current\" for the one in force");
    let publication = Arg::new("id")
        .long("id")
        .value_name("ID")
        .value_parser(id_parser::<PublicationId>())
        .help("Identity of the publication; give it again to repeat one without an answer");
    let against = Arg::new("against")
        .long("against")
        .value_name("FILE")
        .value_parser(OsStringValueParser::new().map(Against::from))
        .help("Also prints the differences to this document, or to the one in force (\"current\")");
    let servers = Arg::new("servers")
        .long("servers")
        .value_name("N")
        .value_parser(value_parser!(u32).range(1..))
        .help("Backend servers of the fleet, to compare with the rates of all organisations");
    Command::new("config")
        .about("Checks, publishes and shows the configuration")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about(
                    "Reports errors of a document, entries without effect and contradicting limits",
                )
                .after_help(CHECK_HELP)
                .args([document_arg(), against, servers]),
        )
        .subcommand(
            Command::new("publish")
                .about("Publishes a document and waits until it is in force everywhere")
                .args([document_arg(), base, publication]),
        )
        .subcommand(
            Command::new("diff")
                .about("Compares a document with the version in force")
                .arg(document_arg()),
        )
        .subcommand(Command::new("show").about("Prints the document in force"))
        .subcommand(Command::new("status").about("Prints the version in force on each instance"))
}

fn key() -> Command {
    let organisation = Arg::new("organisation")
        .value_name("ORGANISATION")
        .required(true)
        .value_parser(id_parser::<OrganisationId>());
    let file = Arg::new("file")
        .long("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Changes this document and prints it instead of publishing");
    let print = Arg::new("print")
        .long("print")
        .action(ArgAction::SetTrue)
        .help("Prints the changed document instead of publishing it");
    let name = Arg::new("id")
        .long("id")
        .value_name("KEY-ID")
        .value_parser(id_parser::<KeyId>())
        .help("Name of the new key; made from the time by default");
    let withdrawn_key = Arg::new("key-id")
        .value_name("KEY-ID")
        .required(true)
        .value_parser(id_parser::<KeyId>());
    Command::new("key")
        .about("Creates and withdraws keys of organisations")
        .subcommand_required(true)
        .subcommand(
            Command::new("create")
                .about("Creates a key, prints it once and publishes its digest")
                .args([organisation.clone(), name, file.clone(), print.clone()]),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Removes a key from the configuration")
                .args([organisation, withdrawn_key, file, print]),
        )
}

fn job() -> Command {
    let job = Arg::new("job")
        .value_name("JOB")
        .required(true)
        .value_parser(id_parser::<JobId>());
    let output = Arg::new("output")
        .long("output")
        .short('o')
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Writes the results to a file instead of the standard output");
    let page = Arg::new("page")
        .long("page")
        .value_name("ITEMS")
        .default_value("1000")
        .value_parser(value_parser!(u32).range(1..))
        .help("Results in one request");
    Command::new("job")
        .about("Submits and follows batch jobs")
        .subcommand_required(true)
        .subcommand(submit())
        .subcommand(
            Command::new("watch")
                .about("Shows the progress of a job until it ends")
                .arg(job.clone()),
        )
        .subcommand(
            Command::new("results")
                .about("Prints the finished items of a job as JSON lines")
                .args([job.clone(), output, page]),
        )
        .subcommand(
            Command::new("cancel")
                .about("Cancels a job")
                .arg(job.clone()),
        )
        .subcommand(
            Command::new("status")
                .about("Prints the state of a job")
                .arg(job),
        )
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a job of items from JSON lines or a JSON array")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Items with id, prompt and max_tokens; - reads the standard input"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .required(true)
                .value_parser(id_parser::<ServiceId>()),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .required(true)
                .value_parser(id_parser::<ModelId>()),
        )
        .arg(
            Arg::new("deadline")
                .long("deadline")
                .required(true)
                .value_parser(value_parser!(Deadline))
                .help("When the results are due: a duration such as 2h or a time with zone"),
        )
        .arg(
            Arg::new("idempotency-key")
                .long("idempotency-key")
                .value_name("KEY")
                .help("Identity of the submission; give it again to repeat one without an answer"),
        )
}

fn complete() -> Command {
    Command::new("complete")
        .about("Sends one online request and prints the answer as it arrives")
        .arg(
            Arg::new("prompt")
                .value_name("PROMPT")
                .required(true)
                .help("Prompt; - reads the standard input"),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .required(true)
                .value_parser(id_parser::<ModelId>()),
        )
        .arg(
            Arg::new("max-tokens")
                .long("max-tokens")
                .default_value("256")
                .value_parser(value_parser!(u32).range(1..)),
        )
        .arg(
            Arg::new("chat")
                .long("chat")
                .action(ArgAction::SetTrue)
                .help("Sends the prompt as the message of a user"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Prints where a request would be sent now, and why")
        .arg(
            Arg::new("model")
                .long("model")
                .value_parser(id_parser::<ModelId>())
                .requires("organisation")
                .conflicts_with("service")
                .help("Model of the request"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_parser(id_parser::<ServiceId>())
                .help("Service of the request"),
        )
        .arg(
            Arg::new("organisation")
                .long("organisation")
                .value_parser(id_parser::<OrganisationId>())
                .help("Organisation of the caller; not needed for open services"),
        )
        .arg(
            Arg::new("prompt")
                .long("prompt")
                .help("Beginning of the prompt, for its prefix affinity"),
        )
        .group(
            ArgGroup::new("target")
                .args(["model", "service"])
                .required(true),
        )
}

fn completions() -> Command {
    let shells = ["bash", "elvish", "fish", "powershell", "zsh"];
    Command::new("completions")
        .about("Prints the completions for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(shells.map(PossibleValue::new)),
        )
}
