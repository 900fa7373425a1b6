//! One run of a stream on a backend server, read event by event.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use futures_lite::future;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Bytes;
use hyper::header::CONTENT_LENGTH;
use limpetweir_transport::http::{
    BodySender,
    ClientBody, //
};

use super::admitted::Admitted;
use super::choose::PlacedRequest;
use super::node::Node;
use super::relay::{
    ENDED_WITH_SERVER,
    Interruption,
    Relay,
    Source,
    forwarded,
    has_end, //
};
use super::run_watch::RunWatch;
use crate::event_reader::{
    EventReader,
    IncompleteOutput,
    InvalidOutput, //
};
use crate::platform::{
    Dialect,
    Store, //
};
use crate::speed::PaceMeter;
use crate::sse::Event;

/// Most bytes without output that are kept of a run until its first event. Comments and blank lines
/// mean nothing to callers, and a faulty server may send them endlessly.
const MAX_HELD_BYTES: usize = 64 << 10;

/// Time without a complete event after which another server is asked for the rest of a stream. A sound
/// server is silent for about a second at times, and callers leave a stream after a gap of two seconds.
/// With 700 ms instead, 12 of 26 second servers were asked in vain on six days with such silences, and
/// none of 4 with this time; the share of served requests was the same.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A run whose response is a stream of events. Dropping it closes its connection, which ends the run
/// at the server.
pub(crate) struct StreamRun<P: Store + Dialect> {
    node: Arc<Node<P>>,
    pub(crate) placed: PlacedRequest<P>,
    pub(crate) watch: RunWatch<P>,
    /// Status and headers for the caller, made before the first event is there.
    pub(crate) head: Response<()>,
    /// `None` after an interruption, which closes the connection.
    body: Option<ClientBody>,
    reader: EventReader,
    pace: PaceMeter,
    /// Blocks without output that are still to be forwarded, with the first event if possible.
    held: Vec<Event>,
    held_bytes: usize,
    /// Whether only the end of the connection ends the response, so that a loss before the first event
    /// looks like the end of a stream that another server has begun.
    has_open_end: bool,
    /// Whether the body was read to its end.
    has_ended: bool,
    /// When the last event was complete; bytes that complete no event are no progress.
    pub(crate) progressed: Instant,
    /// Earliest time at which another server is asked for the rest.
    pub(crate) ask_at: Instant,
}

/// What has been read of a stream.
pub(crate) enum Read {
    /// Complete events, at least one.
    Events(Vec<Event>),
    /// The stream is complete.
    End,
}

impl<P: Store + Dialect> StreamRun<P> {
    /// Starts to read a response that continues after `last_event`.
    pub(crate) fn new(
        node: &Arc<Node<P>>,
        admitted: &Admitted,
        source: Source<P>,
        last_event: Option<u64>,
    ) -> Self {
        let Source {
            response, placed, ..
        } = source;
        let id = &admitted.call.request_id;
        let has_open_end = !has_end(&admitted.head.method, &response);
        let (mut head, body) = forwarded(node, response);
        let mut watch = RunWatch::new(node, id, &admitted.parts, placed.place());
        watch.set_sent_on(Some(body.sent_on()));
        // Another server may continue the stream, so its total length is not known yet.
        head.headers_mut().remove(CONTENT_LENGTH);
        Self {
            node: node.clone(),
            watch,
            head,
            body: Some(body),
            reader: EventReader::after(last_event, &node.output_budget),
            pace: PaceMeter::default(),
            held: Vec::new(),
            held_bytes: 0,
            has_open_end,
            has_ended: false,
            progressed: Instant::now(),
            ask_at: Instant::now() + STALL_TIMEOUT,
            placed,
        }
    }

    /// Reads the next complete events. Dropping the future loses nothing.
    pub(crate) async fn next(&mut self) -> Result<Read, Interruption> {
        if !self.held.is_empty() {
            return Ok(Read::Events(self.take_held()));
        }
        self.read().await
    }

    async fn read(&mut self) -> Result<Read, Interruption> {
        let read = self.read_events().await;
        if read.is_err() {
            // A server whose response is invalid must not go on beside another one.
            self.body = None;
        }
        read
    }

    async fn read_events(&mut self) -> Result<Read, Interruption> {
        loop {
            if self.has_ended {
                return self.end().await;
            }
            let Some(body) = &mut self.body else {
                let cause = "the response has been interrupted".to_owned();
                return Err(Interruption::ConnectionLost(cause));
            };
            self.reader.check().map_err(invalid)?;
            let Some(bytes) = watched(&self.watch, body).await? else {
                self.has_ended = true;
                continue;
            };
            let events = self.reader.push(&bytes).map_err(invalid)?;
            for _ in events.iter().filter(|event| event.is_output()) {
                self.record_output();
            }
            if !events.is_empty() {
                return Ok(Read::Events(events));
            }
        }
    }

    /// Reads until the run has shown an event of the output, or has ended: blank lines and comments
    /// show nothing. What was read before the event is returned with it.
    pub(crate) async fn first_output(&mut self) -> Result<Read, Interruption> {
        loop {
            let Read::Events(events) = self.read().await? else {
                break;
            };
            let shows_output = events.iter().any(Event::is_output);
            self.hold(events);
            if shows_output {
                break;
            }
        }
        match self.held.is_empty() {
            true => Ok(Read::End),
            false => Ok(Read::Events(self.take_held())),
        }
    }

    fn hold(&mut self, events: Vec<Event>) {
        for event in events {
            let len = event.raw.len() + size_of::<Event>();
            if event.is_output() || self.held_bytes + len <= MAX_HELD_BYTES {
                self.held_bytes += len;
                self.held.push(event);
            }
        }
    }

    fn take_held(&mut self) -> Vec<Event> {
        self.held_bytes = 0;
        std::mem::take(&mut self.held)
    }

    fn record_output(&mut self) {
        self.progressed = Instant::now();
        self.ask_at = self.progressed + STALL_TIMEOUT;
        self.node.measure(self.placed.key, &mut self.pace);
        self.watch.output();
    }

    /// Checks that a body that has ended is whole. A response without a length and without chunks
    /// ends with its connection, whether it is complete or not; it is not if its server is gone.
    async fn end(&self) -> Result<Read, Interruption> {
        let lost = |cause: IncompleteOutput| Interruption::ConnectionLost(cause.to_string());
        self.reader.end().map_err(lost)?;
        if self.has_open_end && !self.watch.has_output() {
            return Err(lost(IncompleteOutput::WithoutEvent));
        }
        if self.has_open_end && self.watch.is_server_gone().await {
            return Err(Interruption::ConnectionLost(ENDED_WITH_SERVER.to_owned()));
        }
        Ok(Read::End)
    }
}

/// Returns the interruption of a run whose server sends what is not its output.
fn invalid(err: InvalidOutput) -> Interruption {
    Interruption::Backend(err.to_string())
}

/// Reads the next bytes of the body of a run, unless its request is blamed for crashes before the run
/// has output; `None` at the end of the body.
pub(crate) async fn watched<P: Store + Dialect>(
    watch: &RunWatch<P>,
    body: &mut ClientBody,
) -> Result<Option<Bytes>, Interruption> {
    let withdrawn = async {
        watch.blamed().await;
        Err(Interruption::Withdrawn)
    };
    future::or(next_bytes(body), withdrawn).await
}

/// Reads the next bytes of a body; `None` at its end.
pub(crate) async fn next_bytes(body: &mut ClientBody) -> Result<Option<Bytes>, Interruption> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
            Some(Err(err)) if err.is_deadline() => return Err(Interruption::Deadline),
            Some(Err(err)) if err.is_interrupted() => {
                return Err(Interruption::ConnectionLost(err.to_string()));
            }
            Some(Err(err)) => return Err(Interruption::Backend(err.to_string())),
        }
    }
}

impl<P: Store + Dialect> Relay<'_, P> {
    /// Forwards the events of a stream until it is complete. Only complete events are forwarded, so that
    /// another backend server can continue the stream after the last one.
    pub(crate) async fn forward_stream(
        &mut self,
        mut run: StreamRun<P>,
        sender: &BodySender,
    ) -> Result<(), Interruption> {
        loop {
            let read = match self.next(&mut run).await {
                Ok(read) => read,
                Err(interruption) => {
                    run = self.replace(run, interruption).await?;
                    continue;
                }
            };
            match read {
                None => {}
                Some(Read::Events(events)) => {
                    let began = Instant::now();
                    for event in events {
                        self.record(&event);
                        self.send(sender, event.raw).await?;
                    }
                    // The server is not read while the caller does not read.
                    run.ask_at += began.elapsed();
                }
                Some(Read::End) => {
                    run.watch.completed();
                    return Ok(());
                }
            }
        }
    }

    /// Waits for the next events, or for the first output while the caller has got nothing, and asks
    /// another server for the rest when the stream is silent. Returns `None` if it is still silent.
    pub(crate) async fn next(
        &mut self,
        run: &mut StreamRun<P>,
    ) -> Result<Option<Read>, Interruption> {
        let ask_at = self.may_continue().then_some(run.ask_at);
        let is_waiting = self.sender.is_none();
        let read = async {
            match is_waiting {
                true => run.first_output().await,
                false => run.next().await,
            }
        };
        let Some(ask_at) = ask_at else {
            return self.bounded(read).await.map(Some);
        };
        let mut silence = std::mem::take(&mut self.silence);
        let read = async { silence.timeout_at(ask_at, read).await.transpose() };
        let read = self.bounded(read).await;
        self.silence = silence;
        match read? {
            Some(read) => Ok(Some(read)),
            None => self.overlap(run).await,
        }
    }

    /// Records an event that is passed on to the caller.
    pub(crate) fn record(&mut self, event: &Event) {
        if event.id.is_some() {
            self.history.last_event = event.id;
        }
        let arrived = self.admitted.arrived;
        self.forwarded
            .first
            .get_or_insert_with(|| arrived.elapsed());
        self.forwarded.events += u64::from(event.is_output());
    }
}
