//! Stateful fuzzing of a fleet against the oracle.
//!
//! The seed is fixed. A longer run:
//! `LIMPETWEIR_FUZZ_CASES=2000 cargo test --release -p limpetweir-proofs --test guarantees fuzz`;
//! `LIMPETWEIR_FUZZ_SEED` sets another seed.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fleet::Fleet;

const NODES: usize = 5;
const KEYS: usize = 6;
const CASES: u32 = 24;
const SEED: u64 = 0x6c77_0100;

/// One thing that happens to the fleet.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Run(u64),
    Kill(usize),
    /// Kills the next instance that acknowledges something, and stops the log.
    KillOnAck,
    Restart(usize),
    Pause(usize),
    Wake(usize),
    Cut(usize, usize),
    Isolate(usize),
    CutLog(usize),
    Heal,
    LogDown(bool),
    LogSlow(u64),
    LoseAnswers(bool),
    Trim,
    Lossy(u32, u64),
    Submit(usize, usize, u32),
    Conflict(usize, usize),
    Cancel(usize),
    Publish(usize),
    Race(usize, usize),
    Resend(usize),
    Stop(usize),
    Online(usize, usize, u32),
    EngineFails(usize),
}

/// Counts the publications, so that each has its own name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Model {
    publications: usize,
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let node = 0..NODES;
        let key = 0..KEYS;
        let pair = (0..NODES, 0..NODES);
        prop_oneof![
            12 => (1..60u64).prop_map(|n| Event::Run(n * 50)),
            3 => (60..160u64).prop_map(|n| Event::Run(n * 50)),
            2 => node.clone().prop_map(Event::Kill),
            1 => Just(Event::KillOnAck),
            3 => node.clone().prop_map(Event::Restart),
            2 => node.clone().prop_map(Event::Pause),
            3 => node.clone().prop_map(Event::Wake),
            2 => pair.clone().prop_map(|(i, j)| Event::Cut(i, j)),
            1 => node.clone().prop_map(Event::Isolate),
            2 => node.clone().prop_map(Event::CutLog),
            2 => Just(Event::Heal),
            2 => any::<bool>().prop_map(Event::LogDown),
            1 => (1..50u64).prop_map(|n| Event::LogSlow(n * 50)),
            1 => any::<bool>().prop_map(Event::LoseAnswers),
            1 => Just(Event::Trim),
            2 => (0..30u32, 0..30u64).prop_map(|(loss, n)| Event::Lossy(loss, n * 50)),
            4 => (node.clone(), key.clone(), 0..30u32).prop_map(|(i, k, n)| Event::Submit(i, k, n)),
            1 => (node.clone(), key.clone()).prop_map(|(i, k)| Event::Conflict(i, k)),
            2 => key.prop_map(Event::Cancel),
            2 => node.clone().prop_map(Event::Publish),
            2 => pair.prop_map(|(i, j)| Event::Race(i, j)),
            1 => node.clone().prop_map(Event::Resend),
            1 => node.clone().prop_map(Event::Stop),
            2 => (node, 0..2usize, 0..5u32).prop_map(|(i, e, n)| Event::Online(i, e, n)),
            1 => (0..2usize).prop_map(Event::EngineFails),
        ]
        .boxed()
    }

    fn apply(mut state: Self, event: &Event) -> Self {
        if matches!(event, Event::Publish(_) | Event::Race(..)) {
            state.publications += 1;
        }
        state
    }
}

pub(crate) struct Guarantees;

impl StateMachineTest for Guarantees {
    type SystemUnderTest = Fleet;
    type Reference = Model;

    fn init_test(_: &Model) -> Fleet {
        Fleet::settled(NODES, SEED)
    }

    fn apply(mut fleet: Fleet, model: &Model, event: Event) -> Fleet {
        happen(&mut fleet, model.publications, event);
        fleet
    }

    fn teardown(mut fleet: Fleet, _: Model) {
        fleet.finish();
        fleet.oracle.report(fleet.now);
    }
}

fn happen(fleet: &mut Fleet, publications: usize, event: Event) {
    let version = |i: usize, fleet: &Fleet| Some(fleet.nodes[i].freshness.version().0);
    let document = match publications % 2 {
        0 => "k1 k2",
        _ => "k1",
    };
    match event {
        Event::Run(ms) => fleet.run(ms),
        Event::Kill(i) => fleet.nodes[i].dead = true,
        Event::KillOnAck => fleet.kill_on_ack = true,
        Event::Restart(i) => fleet.restart(i),
        Event::Pause(i) => fleet.nodes[i].paused = true,
        Event::Wake(i) => fleet.nodes[i].paused = false,
        Event::Cut(i, j) => {
            fleet.network.cut.insert((i, j));
        }
        Event::Isolate(i) => fleet.isolate(i),
        Event::CutLog(i) => fleet.nodes[i].log_reachable = false,
        Event::Heal => fleet.heal(),
        Event::LogDown(down) => fleet.world.condition.down = down,
        Event::LogSlow(ms) => fleet.world.condition.delay_ms = ms,
        Event::LoseAnswers(lose) => fleet.world.condition.lose_answers = lose,
        Event::Trim => fleet.trim(),
        Event::Lossy(loss, ms) => {
            fleet.network.loss = loss;
            fleet.network.max_delay_ms = ms;
        }
        Event::Submit(i, k, items) => fleet.submit(i, &format!("key-{k}"), items, 1),
        Event::Conflict(i, k) => fleet.submit(i, &format!("key-{k}"), 0, 2),
        Event::Cancel(k) => fleet.cancel(&format!("key-{k}")),
        Event::Publish(i) => {
            let id = format!("p{publications}");
            fleet.publish(i, &id, version(i, fleet), document);
        }
        Event::Race(i, j) => {
            let base = version(i, fleet);
            fleet.publish(i, &format!("p{publications}"), base, document);
            fleet.publish(j, &format!("q{publications}"), base, document);
        }
        Event::Resend(i) => {
            let id = format!("p{publications}");
            let base = fleet.oracle.base(&id);
            fleet.publish(i, &id, base, document);
        }
        Event::Stop(i) => fleet.nodes[i].leaving = true,
        Event::Online(i, engine, count) => fleet.set_online(i, engine, count),
        Event::EngineFails(engine) => fleet.world.engines[engine].fail(),
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

    /// Guards against a guarantee that holds for each part alone but not for a fleet.
    #[test]
    fn guarantees_hold_under_any_failures(sequential 30..60 => Guarantees);
}
