//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    /// Adds a line with the time since the start of the case.
    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{ms:6} ms  {text}").expect("the record can be written");
        println!("{ms:6} ms  {text}");
    }
}
