//! What the outcomes of several attempts at the same store call mean together.

use crate::platform::StoreError;

/// The attempts at one call.
///
/// All attempts at an append have the same records and the same condition on the end of the partition, so
/// at most one of them takes effect, and the others are rejected because the partition has grown. If
/// another attempt may still be executed, such a rejection does not tell who has written the records, and
/// the outcome is unknown until the partition is read.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    running: usize,
    /// Error of an attempt that may have been executed.
    doubt: Option<StoreError>,
    /// Error of the first attempt that was not executed.
    not_done: Option<StoreError>,
}

impl Attempts {
    /// Records that an attempt has started.
    pub fn started(&mut self) {
        self.running += 1;
    }

    /// Records the end of an attempt. Returns the outcome of the call if it is known by now; otherwise
    /// further attempts may be started.
    pub fn ended<T>(&mut self, result: Result<T, StoreError>) -> Option<Result<T, StoreError>> {
        self.running = self.running.saturating_sub(1);
        let in_doubt = self.running > 0 || self.doubt.is_some();
        let err = match result {
            Ok(answer) => return Some(Ok(answer)),
            Err(err) => err,
        };
        match err {
            StoreError::OffsetMismatch if in_doubt => Some(Err(StoreError::Unknown {
                reason: "the partition has grown, perhaps by another attempt".to_owned(),
            })),
            StoreError::Refused { reason } if in_doubt => Some(Err(StoreError::Failed { reason })),
            StoreError::OffsetMismatch | StoreError::Refused { .. } => Some(Err(err)),
            // Only reads get this answer, and a read has no effect.
            StoreError::Trimmed { .. } => Some(Err(err)),
            StoreError::Failed { .. } => {
                self.doubt = Some(err);
                None
            }
            StoreError::Unknown { .. } => {
                self.doubt.get_or_insert(err);
                None
            }
            StoreError::NotDone { .. } => {
                self.not_done.get_or_insert(err);
                None
            }
        }
    }

    /// Returns the outcome when all attempts have ended and no further one is made.
    pub fn all_ended(self) -> StoreError {
        let none = || StoreError::NotDone {
            reason: "no attempt was made".to_owned(),
        };
        self.doubt.or(self.not_done).unwrap_or_else(none)
    }
}
