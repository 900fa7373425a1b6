//! Test data shared by several tests.

use limpetweir_gateway::{
    EvacuationReport,
    Report, //
};

/// Returns the report of a ready instance without requests, items and read positions.
pub(crate) fn idle_report(name: &str) -> Report {
    Report {
        name: name.to_owned(),
        boot: 1,
        sequence: 1,
        next_ms: 250,
        ready: true,
        leaving: false,
        stalled: false,
        zone: "zone".to_owned(),
        public: ([127, 0, 0, 1], 1).into(),
        capacity: 500,
        version: 1,
        online: Vec::new(),
        batch: Vec::new(),
        held: Vec::new(),
        waiting: 0,
        waiting_in_time: 0,
        admitted: Vec::new(),
        suspects: Vec::new(),
        leaving_backends: Vec::new(),
        positions: Vec::new(),
        limits: Some(Vec::new()),
        leaving_runs: Vec::new(),
        evacuations: Some(EvacuationReport::default()),
        store_answers: false,
        shortages: Vec::new(),
        cold: Vec::new(),
    }
}
