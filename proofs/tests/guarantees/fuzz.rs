//! Stateful fuzzing of a fleet against the oracle; a failing case prints the actions of a scenario.
//!
//! The seed is fixed. A longer run:
//! `LIMPETWEIR_FUZZ_CASES=2000 cargo test --release -p limpetweir-proofs --test guarantees fuzz`;
//! `LIMPETWEIR_FUZZ_SEED` sets another seed. With `--nocapture` each case prints its size.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fleet::Fleet;
use crate::scenario::ScenarioRun;

const NODES: usize = 5;
const KEYS: usize = 6;
const CASES: u32 = 24;
const SEED: u64 = 0x6c77_0100;

/// Reference model: the number of publications so far, which gives each a unique name.
struct Publications;

impl ReferenceStateMachine for Publications {
    type State = usize;
    type Transition = String;

    fn init_state() -> BoxedStrategy<usize> {
        Just(0).boxed()
    }

    fn transitions(count: &usize) -> BoxedStrategy<String> {
        let node = || 0..NODES;
        let (engine, key) = (0..2usize, 0..KEYS);
        let n = *count;
        let on_instance =
            |action: &'static str| (0..NODES).prop_map(move |i| format!("{action} i{i}"));
        let document = ["k1 k2", "k1"][n % 2];
        prop_oneof![
            12 => (1..60u64).prop_map(|n| format!("run {}", n * 50)),
            3 => (60..160u64).prop_map(|n| format!("run {}", n * 50)),
            2 => on_instance("kill"),
            1 => Just("kill-on-ack".to_owned()),
            3 => on_instance("restart"),
            2 => on_instance("pause"),
            3 => on_instance("wake"),
            2 => (node(), node()).prop_map(|(i, j)| format!("cut i{i} i{j}")),
            1 => on_instance("isolate"),
            2 => on_instance("cut-log"),
            2 => Just("heal".to_owned()),
            1 => Just("log-down".to_owned()),
            1 => Just("log-up".to_owned()),
            1 => (1..200u64).prop_map(|n| format!("log-slow {}", n * 50)),
            1 => Just("lose-answers".to_owned()),
            1 => Just("return-answers".to_owned()),
            1 => Just("trim".to_owned()),
            2 => (0..30, 0..30).prop_map(|(loss, n)| format!("lossy {loss} {}", n * 50)),
            4 => (node(), key.clone(), 0..30)
                .prop_map(|(i, k, n)| format!("submit i{i} key-{k} {n}")),
            1 => (node(), key.clone()).prop_map(|(i, k)| format!("conflict i{i} key-{k}")),
            2 => key.prop_map(|k| format!("cancel key-{k}")),
            2 => node().prop_map(move |i| format!("publish i{i} p{n} current {document}")),
            2 => (node(), node()).prop_map(move |(i, j)| format!("race i{i} i{j} p{n} {document}")),
            1 => node().prop_map(move |i| format!("resend i{i} p{} k1", n.max(1) - 1)),
            1 => on_instance("stop"),
            2 => (node(), 0..2, 0..5).prop_map(|(i, e, n)| format!("online i{i} {e} {n}")),
            1 => engine.prop_map(|e| format!("fail-engine {e}")),
        ]
        .boxed()
    }

    fn apply(count: usize, action: &String) -> usize {
        count + usize::from(action.starts_with("publish") || action.starts_with("race"))
    }
}

struct Guarantees;

impl StateMachineTest for Guarantees {
    type SystemUnderTest = ScenarioRun;
    type Reference = Publications;

    fn init_test(_: &usize) -> ScenarioRun {
        ScenarioRun::new(Fleet::settled(NODES, SEED))
    }

    fn apply(mut run: ScenarioRun, _: &usize, action: String) -> ScenarioRun {
        run.perform(&action);
        run
    }

    fn teardown(mut run: ScenarioRun, _: usize) {
        run.fleet.finish();
        run.fleet.oracle.report(run.fleet.now);
    }
}

fn variable<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: variable("LIMPETWEIR_FUZZ_CASES", CASES),
        rng_seed: RngSeed::Fixed(variable("LIMPETWEIR_FUZZ_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against a guarantee that each component keeps alone but a fleet does not.
    #[test]
    fn guarantees_hold_under_any_failures(sequential 30..60 => Guarantees);
}
