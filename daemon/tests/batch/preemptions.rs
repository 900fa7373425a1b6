//! Batch work beside online requests.

use std::thread;

use limpetweir_standins::client::{
    self,
    Exchange, //
};
use limpetweir_standins::engine::RequestOutcome;
use limpetweir_standins::fleet::Instance;
use serde_json::json;

use crate::fleet::{
    Fleet,
    KEY,
    MODEL,
    SLOTS,
    Setup,
    eventually,
    items, //
};

/// Tokens of an item that gives way: 80 ms of text, of which the last may still be on their way.
const TEXT_TOKENS: usize = 20;

/// Guards against online requests behind batch items, and against items that lose or repeat text
/// when they resume.
#[test]
fn items_give_way_to_online_requests_and_resume_exactly() {
    let fleet = Fleet::start(Setup {
        instances: 2,
        engines: 1,
        step_us: 4_000,
        ..Setup::named("burst")
    });
    let items = items(20, 300, None);
    let job = fleet.submit(0, "beside-online", &items);
    // An item without text has nothing to resume from.
    eventually("batch items fill the engine and have text", || {
        let records = fleet.records();
        let with_text = records.iter().filter(|record| {
            record.outcome == RequestOutcome::Running && record.generated >= TEXT_TOKENS
        });
        with_text.count() >= SLOTS - 1
    });
    let body = json!({ "model": MODEL, "prompt": "pump 4", "max_tokens": 200, "stream": true });
    let authorization = format!("Bearer {KEY}");
    thread::scope(|scope| {
        for at in 0..SLOTS {
            let address = fleet.instance(at % 2).addresses().public.clone();
            let (body, authorization) = (body.to_string(), authorization.as_str());
            scope.spawn(move || {
                let answer = client::send(Exchange {
                    address: &address,
                    method: "POST",
                    path: "/v1/completions",
                    headers: &[("authorization", authorization)],
                    body: body.into_bytes(),
                });
                let answer = answer.unwrap();
                assert_eq!(answer.status, 200, "{}", answer.text());
                assert!(answer.text().ends_with("data: [DONE]\n\n"));
            });
        }
    });
    fleet.check_complete(1, &job, &items);
    let records = fleet.records();
    let cancelled = records
        .iter()
        .filter(|record| record.outcome == RequestOutcome::Cancelled);
    assert!(cancelled.count() >= SLOTS - 1, "the items gave way");
    let resumed = records.iter().filter(|record| record.resume_tokens > 0);
    let completed = |record: &&_| {
        let record: &limpetweir_standins::engine::RequestRecord = record;
        record.outcome == RequestOutcome::Completed
    };
    assert!(
        resumed.filter(completed).count() >= SLOTS - 1,
        "items resumed"
    );
}
