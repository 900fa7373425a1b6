//! Parsing, checking and serialization of configuration documents.

use limpetweir_protocol::{
    RawConfiguration,
    parse_configuration,
    write_configuration, //
};
use limpetweir_state::{
    KeyDigest,
    OrganisationId,
    ServiceId, //
};
use rstest::rstest;

const DIGEST: &str = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";

fn document() -> String {
    format!(
        r#"[[organisation]]
id = "fapapucs"
rate = 20
burst = 40.5
services = ["chat", "quotes"]

[[organisation.key]]
id = "main"
sha256 = "{DIGEST}"

[[organisation]]
id = "gulf-reef"
rate = 0.5
burst = 1
services = ["chat"]

[[service]]
id = "chat"
kind = "model"
models = ["small"]
backends = ["engine-1", "engine-2"]

[[service]]
id = "quotes"
kind = "plain"
access = "keyed"
idempotent = ["GET", "HEAD"]
backends = ["quotes-1"]

[[service]]
id = "status"
kind = "plain"
access = "open"

[[backend]]
id = "engine-1"
service = "chat"
zone = "z1"
address = "127.0.0.1:9001"
slots = 8
checks_fencing = true

[[backend]]
id = "engine-2"
service = "chat"
zone = "z2"
address = "[::1]:9002"
slots = 4
checks_fencing = false

[[backend]]
id = "quotes-1"
service = "quotes"
zone = "z1"
address = "127.0.0.1:9003"
slots = 16
checks_fencing = false
"#
    )
}

/// Guards against a valid document that is rejected or parsed with wrong values.
#[test]
fn valid_document_is_parsed() {
    let cfg = parse_configuration(&document()).unwrap();
    let (organisation, key) = cfg.find_key(&KeyDigest::of_key(b"foo")).unwrap();
    assert_eq!(organisation.as_str(), "fapapucs");
    assert_eq!(key.as_str(), "main");
    assert!(cfg.find_key(&KeyDigest::of_key(b"bar")).is_none());
    let gulf_reef = OrganisationId::try_from("gulf-reef").unwrap();
    let quotes = ServiceId::try_from("quotes").unwrap();
    assert!(!cfg.allows(&gulf_reef, &quotes));
    assert!(cfg.allows(organisation, &quotes));
    assert_eq!(cfg.organisation(organisation).unwrap().limit.burst(), 40.5);
    let quotes = cfg.service(&quotes).unwrap();
    assert!(quotes.is_idempotent("GET") && !quotes.is_idempotent("POST"));
    assert!(!quotes.is_idempotent("get"));
    let status = ServiceId::try_from("status").unwrap();
    assert!(cfg.service(&status).unwrap().is_open() && !quotes.is_open());
    let chat = cfg.service_for_model(&gulf_reef, "small").unwrap();
    assert_eq!(cfg.backends_of(chat).count(), 2);
    assert!(chat.is_idempotent("POST"));
    assert!(cfg.service_for_model(&gulf_reef, "large").is_none());
}

/// Guards against a published configuration that changes when it is serialized and parsed again.
#[test]
fn serialized_document_parses_to_the_same_configuration() {
    let cfg = parse_configuration(&document()).unwrap();
    let text = write_configuration(&cfg).unwrap();
    assert_eq!(parse_configuration(&text).unwrap(), cfg);
    let raw = RawConfiguration::parse(&document()).unwrap();
    assert_eq!(parse_configuration(&raw.to_toml().unwrap()).unwrap(), cfg);
}

/// Guards against an empty configuration that cannot be published or parsed.
#[test]
fn empty_document_is_parsed() {
    let cfg = parse_configuration("").unwrap();
    assert_eq!(cfg, Default::default());
    assert_eq!(
        parse_configuration(&write_configuration(&cfg).unwrap()).unwrap(),
        cfg
    );
}

/// Guards against an undetected fault, a wrong line or field, and a message without valid values.
#[rstest]
#[case(
    "burst = 40.5",
    "burst = 0.5",
    4,
    "organisation.burst",
    "use 1 to 1000000"
)]
#[case(
    "burst = 40.5",
    "burst = -2",
    4,
    "organisation.burst",
    "use 1 to 1000000"
)]
#[case(
    "\"gulf-reef\"",
    "\"fapapucs\"",
    12,
    "organisation.id",
    "line 2: use a different"
)]
#[case("\"gulf-reef\"", "\"gulf reef\"", 12, "organisation.id", "use 1 to 64")]
#[case(
    "[\"chat\"]",
    "[\"cat\"]",
    15,
    "organisation.services",
    "use one of \"chat\""
)]
#[case(
    "[\"chat\"]",
    "[\"chat\", \"chat\"]",
    15,
    "organisation.services",
    "use a different"
)]
#[case("\"main\"", "\"\"", 8, "organisation.key.id", "use 1 to 64")]
#[case(
    "= \"2c26",
    "= \"zc26",
    9,
    "organisation.key.sha256",
    "64 hexadecimal digits"
)]
#[case(
    "= \"2c26",
    "= \"c26",
    9,
    "organisation.key.sha256",
    "64 hexadecimal digits"
)]
#[case(
    "id = \"status\"",
    "id = \"chat\"",
    31,
    "service.id",
    "line 18: use a different"
)]
#[case(
    "kind = \"model\"",
    "kind = \"modal\"",
    19,
    "service.kind",
    "use \"model\" or \"plain\""
)]
#[case(
    "models = [\"small\"]",
    "models = []",
    19,
    "service.models",
    "at least one model"
)]
#[case("models = [\"small\"]", "", 19, "service.models", "at least one model")]
#[case(
    "models = [\"small\"]",
    "models = [\"a b\"]",
    20,
    "service.models",
    "use 1 to 64"
)]
#[case(
    "models = [\"small\"]",
    "models = [\"a\", \"a\"]",
    20,
    "service.models",
    "different"
)]
#[case(
    "access = \"keyed\"",
    "access = \"none\"",
    26,
    "service.access",
    "\"open\" or \"keyed\""
)]
#[case(
    "access = \"keyed\"",
    "",
    25,
    "service.access",
    "\"open\" or \"keyed\""
)]
#[case(
    "access = \"keyed\"",
    "access = \"open\"\nmodels = []",
    27,
    "service.models",
    "\"model\""
)]
#[case(
    "models =",
    "access = \"open\"\nmodels =",
    20,
    "service.access",
    "\"plain\""
)]
#[case(
    "models =",
    "idempotent = []\nmodels =",
    20,
    "service.idempotent",
    "\"plain\""
)]
#[case("\"HEAD\"", "\"TRACE\"", 27, "service.idempotent", "use GET, HEAD")]
#[case("\"HEAD\"", "\"GET\"", 27, "service.idempotent", "use a different")]
#[case(
    "[\"quotes-1\"]",
    "[\"quotes-1\", \"q\"]",
    28,
    "service.backends",
    "use one of"
)]
#[case(
    "[\"quotes-1\"]",
    "[\"quotes-1\", \"engine-1\"]",
    28,
    "service.backends",
    "belongs to"
)]
#[case(
    "\"engine-1\", \"engine-2\"",
    "\"engine-1\"",
    45,
    "backend.service",
    "add it"
)]
#[case(
    "id = \"engine-2\"",
    "id = \"engine-1\"",
    44,
    "backend.id",
    "line 36: use a different"
)]
#[case(
    "service = \"quotes\"",
    "service = \"none\"",
    53,
    "backend.service",
    "use one of"
)]
#[case("zone = \"z2\"", "zone = \"z/2\"", 46, "backend.zone", "use 1 to 64")]
#[case(
    "127.0.0.1:9003",
    "127.0.0.1:9001",
    55,
    "backend.address",
    "line 39: use a different"
)]
#[case("slots = 4", "slots = 4.5", 48, "document", "")]
#[case("slots = 4", "slot = 4", 48, "document", "expected one of")]
#[case("slots = 4", "", 43, "document", "missing field `slots`")]
#[case("[[service]]", "[[servicce]]", 17, "document", "expected one of")]
#[case("burst = 40.5", "burst = ", 4, "document", "")]
fn fault_is_reported(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] field: &str,
    #[case] accepted: &str,
) {
    check_fault(from, to, line, field, accepted);
}

/// Guards against a rate at which a token bucket cannot refill.
#[rstest]
fn invalid_rate_is_rejected(
    #[values("rate = 0", "rate = -1.5", "rate = nan", "rate = inf")] to: &str,
) {
    check_fault(
        "rate = 20",
        to,
        3,
        "organisation.rate",
        "use 0.0001 to 1000000",
    );
}

/// Guards against an address that requires a DNS lookup or cannot be connected to.
#[rstest]
fn invalid_address_is_rejected(
    #[values("localhost:9001", "127.0.0.1", "127.0.0.1:0", "0.0.0.0:9001")] to: &str,
) {
    check_fault(
        "127.0.0.1:9001",
        to,
        39,
        "backend.address",
        "IP address and a port",
    );
}

/// Guards against a number of slots that is not positive or exceeds the maximum.
#[rstest]
fn invalid_slots_are_rejected(#[values("slots = 0", "slots = -4", "slots = 65537")] to: &str) {
    check_fault(
        "slots = 4",
        to,
        48,
        "backend.slots",
        "use a number from 1 to 65536",
    );
}

/// Replaces `from` by `to` in the document and expects a fault with `line`, `field` and `accepted`.
fn check_fault(from: &str, to: &str, line: usize, field: &str, accepted: &str) {
    let text = document();
    assert!(
        text.contains(from),
        "the document does not contain the text to replace"
    );
    let faulty = text.replacen(from, to, 1);
    let error = parse_configuration(&faulty).expect_err("a fault is reported");
    let matches = |fault: &&limpetweir_protocol::ConfigFault| {
        fault.line == line && fault.field == field && fault.message.contains(accepted)
    };
    assert!(
        error.faults().iter().any(|fault| matches(&fault)),
        "{error}"
    );
}

/// Guards against two organisations whose callers cannot be distinguished.
#[test]
fn digest_used_twice_is_a_fault() {
    let key = format!("[[organisation.key]]\nid = \"other\"\nsha256 = \"{DIGEST}\"\n");
    let text = document().replacen("[[service]]", &format!("{key}[[service]]"), 1);
    let error = parse_configuration(&text).unwrap_err();
    let fault = &error.faults()[0];
    assert_eq!(
        (fault.line, fault.field.as_str()),
        (19, "organisation.key.sha256")
    );
    assert!(fault.message.contains("line 9"), "{fault}");
}

/// Guards against a key name that does not identify a key in logs.
#[test]
fn key_id_used_twice_is_a_fault() {
    let other = "0".repeat(64);
    let key = format!("[[organisation.key]]\nid = \"main\"\nsha256 = \"{other}\"\n\n");
    let text = document().replacen(
        "[[organisation.key]]",
        &format!("{key}[[organisation.key]]"),
        1,
    );
    let error = parse_configuration(&text).unwrap_err();
    let fault = &error.faults()[0];
    assert_eq!(
        (fault.line, fault.field.as_str()),
        (12, "organisation.key.id")
    );
}

/// Guards against faults that are reported only one at a time, each after another publication.
#[test]
fn all_faults_are_reported_in_line_order() {
    let text = document()
        .replace("rate = 20", "rate = 0")
        .replace("burst = 1", "burst = 0")
        .replace("kind = \"model\"", "kind = \"x\"")
        .replace("slots = 16", "slots = 0");
    let error = parse_configuration(&text).unwrap_err();
    let lines: Vec<usize> = error.faults().iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [3, 14, 19, 56]);
}

/// Guards against an invalid name that is reported again at each use.
#[test]
fn invalid_name_is_not_reported_as_unknown() {
    let text = document().replace("\"chat\"", "\"chat!\"");
    let error = parse_configuration(&text).unwrap_err();
    let unknown = |message: &str| message.contains("does not exist");
    assert!(
        !error.faults().iter().any(|f| unknown(&f.message)),
        "{error}"
    );
}

/// Guards against a digest, or a key pasted in its place, that is written to a log or a response.
#[rstest]
#[case(DIGEST)]
#[case("the-secret-key-itself")]
fn digest_is_never_printed(#[case] secret: &str) {
    let text = document().replace(DIGEST, secret);
    let raw = RawConfiguration::parse(&text).unwrap();
    assert!(!format!("{raw:?}").contains(secret));
    match parse_configuration(&text) {
        Ok(cfg) => assert!(!format!("{cfg:?}").contains(secret)),
        Err(error) => assert!(!format!("{error} {error:?}").contains(secret)),
    }
    let broken = text.replace(&format!("\"{secret}\""), &format!("\"{secret}\" x"));
    let error = parse_configuration(&broken).unwrap_err();
    assert!(!format!("{error} {error:?}").contains(secret));
}
