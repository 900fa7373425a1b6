//! A read whose result is shared by all callers that wait for it.

use std::time::Instant;

use async_lock::Mutex;

/// The last read. The lock is held while the next one is in progress.
#[derive(Debug)]
pub(crate) struct SharedRead<T>(Mutex<Option<Finished<T>>>);

#[derive(Debug)]
struct Finished<T> {
    started: Instant,
    result: T,
}

impl<T> Default for SharedRead<T> {
    fn default() -> Self {
        Self(Mutex::new(None))
    }
}

impl<T: Clone> SharedRead<T> {
    /// Returns the result of a read that started after `called`; `read` is such a read, and it is made
    /// unless another caller has made one meanwhile.
    pub(crate) async fn after(&self, called: Instant, read: impl Future<Output = T>) -> T {
        let mut last = self.0.lock().await;
        if let Some(last) = last.as_ref().filter(|last| last.started >= called) {
            return last.result.clone();
        }
        let started = Instant::now();
        let result = read.await;
        *last = Some(Finished {
            started,
            result: result.clone(),
        });
        result
    }
}
