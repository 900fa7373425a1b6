//! Continues a stream on another backend server, after its server has been lost or while it is silent.
//!
//! A server that is silent may be sound and go on. Its run is kept, and the first of the two servers
//! that shows an event has the stream; the other run is dropped before this event is forwarded.

use std::pin::pin;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::choose::{
    Eligible,
    PlacedRequest,
    choose, //
};
use super::crash_checks;
use super::leases;
use super::lines::{
    OVERLAP_BEGAN,
    OVERLAP_ENDED,
    STREAM_RESUMED,
    log_event, //
};
use super::relay::{
    Interruption,
    Relay,
    Source, //
};
use super::rest::{
    NoRest,
    open_rest, //
};
use super::stream::{
    Read,
    STALL_TIMEOUT,
    StreamRun, //
};
use super::suspicion::suspect;
use crate::platform::{
    Dialect,
    Store, //
};

/// Longest time for which two servers work on the same stream. A request must not go on at one server
/// while the one before still works on it 400 ms later; the rest is the time to close a connection.
const OVERLAP_LIMIT: Duration = Duration::from_millis(300);

/// Pause between two searches for a server that takes the rest of a stream.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Result of two runs of the same stream beside each other.
enum Race<P: Store + Dialect> {
    /// The first server went on, its stream ended, or its run was lost and the second server does not
    /// send the rest, for this reason if it is known.
    First(Result<Read, Interruption>, Option<NoRest>),
    /// The second server has the rest; the first run was lost meanwhile if there is a cause.
    Second(Box<StreamRun<P>>, Read, Option<Interruption>),
    /// The second server does not send the rest.
    Failed(NoRest),
    /// Neither has shown an event in time.
    Neither,
}

impl<P: Store + Dialect> Relay<'_, P> {
    /// Returns whether another server may be asked for the rest of the stream.
    pub(crate) fn may_continue(&self) -> bool {
        // Events without numbers can only be repeated from the first one on.
        let has_position = self.forwarded.events == 0 || self.history.last_event.is_some();
        has_position && self.history.may_run_again(&self.admitted.route)
    }

    /// Asks another server for the rest of the stream while that of `run` is silent. Returns what was
    /// read of the run that goes on, which is then in `run`; `None` if none has shown an event.
    pub(crate) async fn overlap(
        &mut self,
        run: &mut StreamRun<P>,
    ) -> Result<Option<Read>, Interruption> {
        let Ok(placed) = choose(self.node, self.admitted, self.history, Eligible::AtOnce) else {
            run.ask_at = Instant::now() + SEARCH_INTERVAL;
            return Ok(None);
        };
        let began = Instant::now();
        let silent = run.progressed.elapsed();
        let id = &self.admitted.call.request_id;
        let second = placed.entry.id.clone();
        let last = self.history.last_event;
        log_event!(
            OVERLAP_BEGAN,
            "request={id} silent={} asked={second} after_event={last:?} silent_ms={}",
            self.backend,
            silent.as_millis()
        );
        self.history.tried.push(placed.key);
        // Whether a run that is dropped early has begun is unknown.
        self.history.runs += 1;
        let race = self.bounded(self.race(run, placed, began)).await?;
        let ms = began.elapsed().as_millis();
        let winner = match &race {
            Race::First(Ok(_), _) => "first",
            Race::Second(..) => "second",
            Race::First(Err(_), _) | Race::Failed(_) | Race::Neither => "none",
        };
        log_event!(
            OVERLAP_ENDED,
            "request={id} silent={} asked={second} winner={winner} ms={ms}",
            self.backend
        );
        run.ask_at = Instant::now() + STALL_TIMEOUT;
        match race {
            Race::First(read, no_rest) => {
                if let Some(no_rest) = no_rest {
                    self.count(no_rest);
                }
                read.map(Some)
            }
            Race::Neither => Ok(None),
            Race::Failed(no_rest) => {
                self.count(no_rest);
                if no_rest.is_not_run() {
                    run.ask_at = Instant::now();
                }
                Ok(None)
            }
            Race::Second(next, read, lost) => {
                match lost {
                    Some(lost) => self.record_loss(&run.watch, &lost),
                    None => run.watch.dropped_in_silence(),
                }
                let cause = format!("no event for {} ms", silent.as_millis());
                // Closes the connection to the first server before the event is forwarded.
                *run = *next;
                self.resumed(run, &cause);
                Ok(Some(read))
            }
        }
    }

    /// Lets two servers work on the stream until one of them shows an event.
    async fn race(
        &self,
        run: &mut StreamRun<P>,
        placed: PlacedRequest<P>,
        began: Instant,
    ) -> Result<Race<P>, Interruption> {
        let mut second = pin!(self.second_run(placed));
        let first = async { Race::First(run.first_output().await, None) };
        let either = future::or(first, second.as_mut());
        let race = timeout_at(began + OVERLAP_LIMIT, either).await;
        match race {
            // Only one server works on the stream from here on.
            Some(Race::First(Err(lost), _)) => {
                let second = timeout_at(Instant::now() + STALL_TIMEOUT, second).await;
                Ok(match second {
                    Some(Race::Second(next, read, _)) => Race::Second(next, read, Some(lost)),
                    Some(Race::Failed(no_rest)) => Race::First(Err(lost), Some(no_rest)),
                    _ => Race::First(Err(lost), None),
                })
            }
            Some(race) => Ok(race),
            None => Ok(Race::Neither),
        }
    }

    async fn second_run(&self, placed: PlacedRequest<P>) -> Race<P> {
        let source = match open_rest(self.node, self.admitted, self.history, placed).await {
            Ok(source) => source,
            Err(no_rest) => return Race::Failed(no_rest),
        };
        let last = self.history.last_event;
        let mut next = Box::new(StreamRun::new(self.node, self.admitted, source, last));
        match next.first_output().await {
            Ok(read) => Race::Second(next, read, None),
            Err(interruption) => {
                let key = next.placed.key;
                Race::Failed(match &interruption {
                    Interruption::ConnectionLost(cause) => {
                        next.watch.connection_lost(true);
                        suspect(self.node, key, cause);
                        NoRest::Lost
                    }
                    Interruption::Backend(cause) => {
                        suspect(self.node, key, cause);
                        NoRest::Ran
                    }
                    Interruption::CallerDisconnected
                    | Interruption::Deadline
                    | Interruption::Stopped
                    | Interruption::Withdrawn => NoRest::Ran,
                })
            }
        }
    }

    /// Continues a stream whose run has been lost, and returns the run that has its rest. Waits for a
    /// server with room; fails if no server is left that may take the rest.
    pub(crate) async fn replace(
        &mut self,
        run: StreamRun<P>,
        interruption: Interruption,
    ) -> Result<StreamRun<P>, Interruption> {
        let (Interruption::ConnectionLost(cause) | Interruption::Backend(cause)) = &interruption
        else {
            return Err(interruption);
        };
        self.record_loss(&run.watch, &interruption);
        drop(run);
        let mut rejected_by = Vec::new();
        while self.may_continue() {
            let checked = async {
                for key in &self.history.tried {
                    crash_checks::checked(self.node, *key).await;
                }
                Ok(())
            };
            self.bounded(checked).await?;
            let lease = async {
                let deadline = self.admitted.deadline;
                Ok(leases::acquire(self.node, &self.admitted.parts, deadline).await)
            };
            let Ok(lease) = self.bounded(lease).await? else {
                continue;
            };
            let mut placed = match choose(self.node, self.admitted, self.history, Eligible::Rest) {
                Ok(placed) => placed,
                Err(rejection) if rejection.is_final && rejected_by.is_empty() => break,
                Err(_) => {
                    // Servers that had no room may have some later.
                    let rejected_by = std::mem::take(&mut rejected_by);
                    self.history.tried.retain(|key| !rejected_by.contains(key));
                    let pause = async {
                        sleep(SEARCH_INTERVAL).await;
                        Ok(())
                    };
                    self.bounded(pause).await?;
                    continue;
                }
            };
            placed.lease = lease;
            let key = placed.key;
            self.history.tried.push(key);
            self.history.runs += 1;
            match self.bounded(self.rest(placed)).await? {
                Ok(source) => {
                    let last = self.history.last_event;
                    let run = StreamRun::new(self.node, self.admitted, source, last);
                    self.resumed(&run, cause);
                    return Ok(run);
                }
                Err(no_rest) => {
                    self.count(no_rest);
                    match no_rest {
                        NoRest::Ran => break,
                        NoRest::Rejected => rejected_by.push(key),
                        NoRest::Refused | NoRest::Lost | NoRest::NoResponse => {}
                    }
                }
            }
        }
        Err(interruption)
    }

    /// Asks a server for the rest of the stream. One that sends no head is given up while another one
    /// may be asked.
    async fn rest(
        &self,
        placed: PlacedRequest<P>,
    ) -> Result<Result<Source<P>, NoRest>, Interruption> {
        let rest = open_rest(self.node, self.admitted, self.history, placed);
        if !self.may_continue() {
            return Ok(rest.await);
        }
        let rest = timeout_at(Instant::now() + STALL_TIMEOUT, rest).await;
        Ok(rest.unwrap_or(Err(NoRest::NoResponse)))
    }

    fn resumed(&mut self, run: &StreamRun<P>, cause: &str) {
        let to = &run.placed.entry.id;
        let id = &self.admitted.call.request_id;
        let last = self.history.last_event.unwrap_or(0);
        log_event!(
            STREAM_RESUMED,
            "request={id} from={} to={to} after_event={last} cause=\"{cause}\"",
            self.backend
        );
        self.backend.clone_from(to);
        if let Some(sent_on) = run.watch.sent_on() {
            self.sent_on = sent_on;
        }
    }

    /// Corrects the number of runs, which counts an attempt from its start on.
    fn count(&mut self, no_rest: NoRest) {
        match no_rest {
            NoRest::Lost => self.history.silent_losses += 1,
            NoRest::Refused => self.history.runs -= 1,
            NoRest::Rejected => {
                self.history.runs -= 1;
                self.history.rejections += 1;
            }
            NoRest::NoResponse => self.history.rejections += 1,
            NoRest::Ran => {}
        }
    }
}
