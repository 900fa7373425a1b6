//! Orders to engines.

use limpetweir_coordination::timing::{
    ORDER_REISSUE_INTERVAL,
    OWNER_LEASE, //
};
use limpetweir_coordination::{
    EngineOrder,
    EngineRole,
    EngineState,
    FencedOrder,
    OrderIssuer, //
};
use limpetweir_state::{
    Epoch,
    ModelId,
    Timestamp, //
};
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

const CLAIMED: Timestamp = Timestamp::from_millis(10_000);

fn model(name: &str) -> ModelId {
    ModelId::try_from(name).expect("accepted name")
}

fn state(models: &[(&str, &str)], adapters: &[(&str, &str)], role: EngineRole) -> EngineState {
    let text = |&(a, b): &(&str, &str)| (model(a), b.to_owned());
    EngineState {
        models: models.iter().map(text).collect(),
        adapters: adapters.iter().map(text).collect(),
        role,
    }
}

fn apply(state: &mut EngineState, order: &EngineOrder) {
    match order.clone() {
        EngineOrder::UnloadAdapter(model, adapter) => {
            state.adapters.remove(&(model, adapter));
        }
        EngineOrder::UnloadModel(model) => {
            state.adapters.retain(|(other, _)| *other != model);
            state.models.remove(&model);
        }
        EngineOrder::LoadModel(model, version) => {
            state.models.insert(model, version);
        }
        EngineOrder::LoadAdapter(model, adapter) => {
            assert!(state.models.contains_key(&model), "its model is loaded");
            state.adapters.insert((model, adapter));
        }
        EngineOrder::SetRole(role) => state.role = role,
    }
}

/// Guards against a lost order that is never reissued, and against reissuing it in every step.
#[test]
fn an_order_is_repeated_until_its_effect_is_reported() {
    let desired = state(&[("m", "2")], &[], EngineRole::Mixed);
    let old = state(&[("m", "1")], &[], EngineRole::Mixed);
    let mut issuer = OrderIssuer::new(Epoch(5), CLAIMED, true);
    let expected = [FencedOrder {
        order: EngineOrder::LoadModel(model("m"), "2".to_owned()),
        fencing: Epoch(5),
    }];
    assert_eq!(issuer.due(CLAIMED, &desired, &old), expected);
    assert_eq!(issuer.due(CLAIMED, &desired, &old), []);
    let later = CLAIMED + ORDER_REISSUE_INTERVAL;
    assert_eq!(issuer.due(later, &desired, &old), expected);
    assert_eq!(issuer.due(later, &desired, &desired), []);
    assert_eq!(issuer.due(later, &desired, &old), expected);
}

/// Guards against two managers that issue orders at the same time to an engine on which fencing
/// numbers have no effect.
#[test]
fn an_engine_that_ignores_fencing_numbers_gets_no_order_for_one_lease() {
    let desired = state(&[("m", "1")], &[], EngineRole::Mixed);
    let empty = EngineState::default();
    let mut issuer = OrderIssuer::new(Epoch(5), CLAIMED, false);
    assert_eq!(issuer.due(CLAIMED, &desired, &empty), []);
    let later = CLAIMED + OWNER_LEASE;
    assert_eq!(issuer.due(later, &desired, &empty).len(), 1);
}

/// Guards against a former owner that issues orders after an engine rejected its fencing number.
#[test]
fn an_outdated_owner_issues_nothing() {
    let desired = state(&[("m", "1")], &[], EngineRole::Mixed);
    let mut issuer = OrderIssuer::new(Epoch(5), CLAIMED, true);
    issuer.on_outdated();
    let due = issuer.due(CLAIMED, &desired, &EngineState::default());
    assert_eq!(due, []);
}

/// Guards against orders that do not converge to the desired state when some of them are lost.
#[rstest]
fn orders_lead_to_the_desired_state(#[values(31, 32, 33, 34)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names = ["a", "b", "c"];
    let random_state = |rng: &mut SmallRng| {
        let mut state = EngineState::default();
        for name in names {
            if rng.random_bool(0.6) {
                let version = rng.random_range(1..3).to_string();
                state.models.insert(model(name), version);
                if rng.random_bool(0.5) {
                    state.adapters.insert((model(name), "x".to_owned()));
                }
            }
        }
        if rng.random_bool(0.5) {
            state.role = EngineRole::Decode;
        }
        state
    };
    for _ in 0..100 {
        let desired = random_state(&mut rng);
        let mut reported = random_state(&mut rng);
        let mut issuer = OrderIssuer::new(Epoch(5), CLAIMED, true);
        let mut now = CLAIMED;
        for _ in 0..200 {
            for issued in issuer.due(now, &desired, &reported) {
                if rng.random_bool(0.5) {
                    apply(&mut reported, &issued.order);
                }
            }
            now = now + ORDER_REISSUE_INTERVAL;
        }
        assert_eq!(reported, desired);
    }
}
