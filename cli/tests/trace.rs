//! Finding the lines about a request in log files.

use limpetweir::trace::{
    Ending,
    Line,
    Trace, //
};
use rstest::rstest;

const LOG: &str = r#"
  12.0 one 100.000 WARN LW2302 backend=i-1 for_ms=1000 cause="refused"
  12.0 one 100.100 WARN LW2503 request=r1 backend=i-1 verdict=not-run cause="cannot connect"
  12.0 two 100.150 WARN LW2401 peer=three addr=10.0.0.1 version=2
  12.0 one 100.200 WARN LW2101 topic=jobs partition=0 cause="status 503"
  12.0 one 100.300 WARN LW2502 request=r1 status=503 cause=full route=a tried=1 retry_after_ms=400
  12.0 one 100.400 INFO LW2501 request=r11 status=200 backend=i-2
  12.0 one 109.000 WARN LW2402 peer=two silent_ms=1000
not a line of the log
"#;

fn lines() -> Vec<Line> {
    LOG.lines()
        .filter_map(|raw| Line::parse("file", raw))
        .collect()
}

/// Guards against context that contains lines of other requests, instances or times.
#[test]
fn a_rejected_request_is_traced_to_its_cause() {
    let trace = Trace::of("r1", lines()).expect("lines about the request");
    assert_eq!(trace.ending, Ending::Refused);
    assert_eq!(trace.cause.as_deref(), Some("full"));
    assert_eq!(trace.matching.len(), 2);
    let context: Vec<u16> = trace.context.iter().map(|line| line.event).collect();
    assert_eq!(context, [2302, 2101]);
}

/// Guards against a trace that lacks the restart of an instance that was killed while it handled
/// the request.
#[test]
fn the_trace_of_a_request_on_a_killed_instance_includes_the_restart() {
    let log = "one 100.000 INFO LW2507 request=r1 backend=i-1 online=0 batch=3 servers=4\n\
               one 103.500 WARN LW2001 name=one zone=a\n\
               two 103.600 WARN LW2001 name=two zone=a\n";
    let lines = log.lines().filter_map(|raw| Line::parse("file", raw));
    let trace = Trace::of("r1", lines.collect()).expect("lines about the request");
    assert_eq!(trace.ending, Ending::Unknown);
    let context: Vec<_> = trace.context.iter().map(|line| &line.instance).collect();
    assert_eq!(context, ["one"]);
}

/// Guards against an identifier that matches as a prefix of another one.
#[rstest]
#[case("r11", Some(Ending::Answered))]
#[case("r", None)]
fn identifiers_are_compared_whole(#[case] id: &str, #[case] ending: Option<Ending>) {
    assert_eq!(Trace::of(id, lines()).map(|trace| trace.ending), ending);
}

/// Guards against lines without the prefix of a log collector that are not parsed.
#[test]
fn the_file_name_is_the_default_instance() {
    let line = Line::parse("gateway-1", "7.005 INFO LW2601 job=j call=submit").expect("a line");
    assert_eq!(line.instance, "gateway-1");
    assert_eq!(line.time, 7_005);
    assert_eq!(line.field("call"), Some("submit"));
    assert_eq!(Line::parse("x", "7.005 INFO something else"), None);
}

/// Guards against a trace that does not say why a request was held back, or what crashed before.
#[test]
fn the_trace_of_a_request_that_is_held_back_names_the_parts_and_the_crashes() {
    let lines = [
        "10.900 WARN LW2304 parts=de crashes=3 seen_at=i-1@one,i-2@two,i-3@one age_ms=900",
        "11.000 WARN LW2502 request=r1 status=503 cause=held-back route=r tried=0 parts=de crashes=3 seen_at=i-1@one",
    ];
    let lines = lines.iter().filter_map(|raw| Line::parse("one", raw));
    let trace = Trace::of("r1", lines.collect()).expect("a trace");
    assert_eq!(trace.ending, Ending::Refused);
    assert_eq!(trace.cause.as_deref(), Some("held-back"));
    let field = |name| trace.matching[0].field(name);
    assert_eq!(field("parts"), Some("de"));
    assert_eq!(field("crashes"), Some("3"));
    assert_eq!(field("seen_at"), Some("i-1@one"));
    assert_eq!(trace.context[0].event, 2304);
}
