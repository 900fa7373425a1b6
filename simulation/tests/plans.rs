//! Tests of plans: what is accepted, and the lines of faults.

use limpetweir_simulation::Plan;
use rstest::rstest;

mod support;

use support::PLAN;

// Guards against a documented example that the checks do not accept.
#[test]
fn the_documented_plan_is_accepted() {
    let page = include_str!("../../docs/load-plans.md");
    let text = page.split("```").nth(1).expect("the page has an example");
    let plan = Plan::try_from(text.trim_start_matches("toml")).expect("accepted");
    assert_eq!(plan.classes.len(), 2);
    assert_eq!(plan.loads.len(), 2);
    assert_eq!(plan.servers[0].slow.len(), 2);
    assert!((plan.organisations[1].share - 0.25).abs() < 1e-9);
}

// Guards against values that are accepted outside of their range, and faults without their line; a
// missing field is reported at its table.
#[rstest]
#[case(
    "length_s = 10.0",
    "length_s = 0.0",
    "day.length_s",
    "above 0",
    "length_s"
)]
#[case(
    "late_worth = 1.0",
    "late_worth = 7.0",
    "class[0].late_worth",
    "0 to 6",
    "late_worth"
)]
#[case(
    "target_ms = 300",
    "",
    "class[0].target_ms",
    "kind stream requires it",
    "[[class]]"
)]
#[case(
    "due_s = 8.0",
    "due_s = 8.0\npause_ms = 1",
    "class[1].pause_ms",
    "remove it",
    "pause_ms = 1"
)]
#[case(
    "[2.0, 30.0]",
    "[0.0, 30.0]",
    "class[0].rate[1]",
    "later than the one before",
    "rate ="
)]
#[case(
    "repeat_s = 4.0",
    "repeat_s = 2.0",
    "class[0].repeat_s",
    "longer than",
    "repeat_s"
)]
#[case(
    "share = 2.0",
    "share = -1.0",
    "organisation[0].share",
    "above 0",
    "share"
)]
#[case(
    "burst = 9.0",
    "",
    "organisation[0].burst",
    "a rate requires a burst",
    "[[organisation]]"
)]
#[case(
    "name = \"sheets\"",
    "name = \"chat\"",
    "class[1].name",
    "already used",
    ""
)]
#[case("slots = 4", "slots = 0", "servers[0].slots", "use 1 to", "slots")]
#[case(
    "class = \"all\"",
    "class = \"none\"",
    "load[0].class",
    "not defined",
    "class ="
)]
#[case(
    "to_s = 6.0",
    "to_s = 1.0",
    "load[0].to_s",
    "later than from_s",
    "to_s"
)]
fn a_fault_names_line_field_and_what_is_accepted(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
    #[case] accepted: &str,
    #[case] line: &str,
) {
    let text = PLAN.replacen(from, to, 1);
    let error = Plan::try_from(text.as_str()).expect_err("the plan is accepted");
    let [fault] = error.faults() else {
        panic!("not one fault: {error}");
    };
    assert_eq!(fault.field, field);
    assert!(fault.message.contains(accepted), "{fault}");
    let at = text
        .lines()
        .nth(fault.line - 1)
        .expect("a line of the plan");
    assert!(at.contains(line), "{fault}: {at:?}");
}

// Guards against a misspelt field that is silently ignored.
#[test]
fn an_unknown_field_is_a_fault_with_its_line() {
    let text = PLAN.replace("slots = 4", "slot = 4\nslots = 4");
    let error = Plan::try_from(text.as_str()).expect_err("accepted");
    assert!(
        error.to_string().contains("unknown field `slot`"),
        "{error}"
    );
    let line = 1 + PLAN.lines().position(|l| l == "slots = 4").expect("a line");
    assert_eq!(error.faults()[0].line, line);
}

// Guards against checks that stop at the first fault.
#[test]
fn all_faults_are_reported_in_order_of_lines() {
    let text = PLAN.replace("length_s = 10.0", "length_s = 0.0");
    let text = text.replace("slots = 4", "slots = 0");
    let error = Plan::try_from(text.as_str()).expect_err("accepted");
    let fields: Vec<&str> = error.faults().iter().map(|f| f.field.as_str()).collect();
    assert_eq!(fields, ["day.length_s", "servers[0].slots"]);
}
