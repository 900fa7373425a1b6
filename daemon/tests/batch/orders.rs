//! Orders to the engines.

use limpetweir_standins::client;
use limpetweir_standins::engine::{
    Change,
    Order,
    OrderRecord, //
};
use serde_json::Value;

use crate::fleet::{
    Fleet,
    SECOND_MODEL,
    Setup,
    eventually,
    items, //
};

fn get(fleet: &Fleet, engine: usize, path: &str) -> Value {
    let address = fleet.engines[engine].address();
    client::get(address, path).unwrap().json().unwrap()
}

fn is_loaded(fleet: &Fleet, engine: usize) -> bool {
    get(fleet, engine, "/load")["models"][SECOND_MODEL].is_string()
}

/// Orders an engine to unload the second model.
fn unload(fleet: &Fleet, engine: usize, fencing: u64) {
    let model = SECOND_MODEL.to_owned();
    let change = Change::UnloadModel { model };
    let order = Order { change, fencing };
    let response = client::post(fleet.engines[engine].address(), "/orders", &order);
    assert_eq!(response.unwrap().status, 200);
}

/// Guards against an engine that never gets a configured model, also after it unloaded the model,
/// and against orders without the epoch of their sender.
#[test]
fn engines_are_ordered_to_load_configured_models() {
    let fleet = Fleet::start(Setup {
        instances: 2,
        ..Setup::named("orders")
    });
    for engine in 0..2 {
        eventually("the model is loaded", || is_loaded(&fleet, engine));
        let mut record = get(&fleet, engine, "/record");
        let orders: Vec<OrderRecord> = serde_json::from_value(record["orders"].take()).unwrap();
        let load = Change::LoadModel {
            model: SECOND_MODEL.to_owned(),
            version: "1".to_owned(),
        };
        assert!(orders.iter().all(|record| record.order.change == load));
        let fencing = orders.iter().map(|record| record.order.fencing).max();
        let fencing = fencing.unwrap();
        assert!(fencing > 0);

        unload(&fleet, engine, fencing);
        eventually("the model is unloaded", || !is_loaded(&fleet, engine));
        eventually("the model is loaded again", || is_loaded(&fleet, engine));
    }
}

/// Guards against items that fail permanently, or that block other jobs, while the engines load
/// their model.
#[test]
fn items_wait_for_their_model() {
    let fleet = Fleet::start(Setup {
        instances: 2,
        ..Setup::named("loading")
    });
    // Unloading the model makes the engines load it again for `LOAD_TIME_MS`, however long their
    // start took.
    for engine in 0..2 {
        eventually("the model is loaded", || is_loaded(&fleet, engine));
        let fencing = get(&fleet, engine, "/load")["fencing"].as_u64().unwrap();
        unload(&fleet, engine, fencing);
    }
    let mut waiting = items(30, 8, None);
    for item in &mut waiting {
        item.model = SECOND_MODEL;
    }
    let first = fleet.submit(0, "waits", &waiting);
    let others = items(30, 8, None);
    let second = fleet.submit(1, "runs", &others);
    fleet.check_complete(0, &second, &others);
    fleet.check_complete(1, &first, &waiting);
}
