//! The record of a run: what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    counts: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            counts: Arc::default(),
        })
    }

    /// Writes a line with the time since the begin in seconds.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the file");
        let _ = writeln!(file, "{at:8.3} {text}");
        println!("{at:8.3} {text}");
    }

    /// Counts what happens too often for a line each.
    pub fn count(&self, name: &str) {
        let mut counts = self.counts.lock().expect("the counts");
        *counts.entry(name.to_owned()).or_default() += 1;
    }

    /// Writes all counts.
    pub fn counts(&self) {
        let counts = std::mem::take(&mut *self.counts.lock().expect("the counts"));
        for (name, count) in counts {
            self.line(&format!("count {name}: {count}"));
        }
    }
}
