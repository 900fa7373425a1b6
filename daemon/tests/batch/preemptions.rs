//! Batch items that are preempted by online requests.

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

/// Minimum tokens of an item before it is preempted: 80 ms of text, of which the last tokens may
/// still be in transit.
const MIN_TEXT_TOKENS: usize = 20;

/// Guards against online requests that wait for batch items, and against items that lose or repeat
/// text when they resume.
#[test]
fn online_requests_preempt_items_that_resume_exactly() {
    let fleet = Fleet::start(Setup {
        instances: 2,
        engines: 1,
        step_us: 4_000,
        ..Setup::named("burst")
    });
    let items = items(20, 300, None);
    let job = fleet.submit(0, "beside-online", &items);
    // An item without text has no resume point.
    eventually("batch items fill the engine and have text", || {
        let records = fleet.records();
        let with_text = records.iter().filter(|record| {
            record.outcome == RequestOutcome::Running && record.generated >= MIN_TEXT_TOKENS
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
                let response = client::send(Exchange {
                    address: &address,
                    method: "POST",
                    path: "/v1/completions",
                    headers: &[("authorization", authorization)],
                    body: body.into_bytes(),
                });
                let response = response.unwrap();
                assert_eq!(response.status, 200, "{}", response.text());
                assert!(response.text().ends_with("data: [DONE]\n\n"));
            });
        }
    });
    fleet.check_complete(1, &job, &items);
    let records = fleet.records();
    let cancelled = records
        .iter()
        .filter(|record| record.outcome == RequestOutcome::Cancelled);
    assert!(cancelled.count() >= SLOTS - 1, "the items were preempted");
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
