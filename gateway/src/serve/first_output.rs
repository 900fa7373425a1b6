//! Waits for the first output of a response. Until then its caller gets nothing, and the request may go
//! to another backend server or end with a status of this instance.

use hyper::Response;
use hyper::body::Bytes;
use limpetweir_state::Verdict;
use limpetweir_transport::http::ConnectionUse;

use super::lines::{
    ATTEMPT_FAILED,
    log_event, //
};
use super::relay::{
    Forwarded,
    Interruption,
    Relay,
    Source, //
};
use super::stream::{
    Read,
    StreamRun, //
};
use super::whole::WholeRun;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::sse::Event;

/// A response that has output, or is complete without any.
pub(crate) struct Started<P: Store + Dialect> {
    pub(crate) output: Output<P>,
    /// Progress with the first output.
    pub(crate) forwarded: Forwarded,
    /// Identifier of the server that the output comes from.
    pub(crate) backend: String,
    /// Connection to it on which the request was sent.
    pub(crate) sent_on: ConnectionUse,
}

/// The beginning of a response, and what follows it.
pub(crate) struct Output<P: Store + Dialect> {
    /// Status and headers for the caller.
    pub(crate) head: Response<()>,
    /// The first output; empty if the response is complete without any.
    pub(crate) first: Bytes,
    pub(crate) rest: Rest<P>,
}

/// What follows the first output of a response.
pub(crate) enum Rest<P: Store + Dialect> {
    Stream(Box<StreamRun<P>>),
    Bytes(Box<WholeRun<P>>),
    Nothing,
}

impl<P: Store + Dialect> Relay<'_, P> {
    /// Waits for the first output of a response. The run of a stream that is lost or silent before is
    /// replaced at another server if the route allows it.
    pub(crate) async fn first_output(
        mut self,
        source: Source<P>,
    ) -> Result<Started<P>, Interruption> {
        let output = match source.is_stream(&self.admitted.head.method) {
            true => self.first_events(source).await,
            false => self.first_bytes(source).await,
        };
        if let Err(cause) = &output {
            let id = &self.admitted.call.request_id;
            let verdict = Verdict::MayHaveRun;
            log_event!(
                ATTEMPT_FAILED,
                "request={id} backend={} verdict={verdict} cause=\"{cause}\" {}",
                self.backend,
                self.sent_on
            );
        }
        Ok(Started {
            output: output?,
            forwarded: self.forwarded,
            backend: self.backend,
            sent_on: self.sent_on,
        })
    }

    async fn first_events(&mut self, source: Source<P>) -> Result<Output<P>, Interruption> {
        let last = self.history.last_event;
        let mut run = StreamRun::new(self.node, self.admitted, source, last);
        let read = loop {
            match self.next(&mut run).await {
                Ok(Some(read)) => break read,
                Ok(None) => {}
                Err(interruption) => run = self.replace(run, interruption).await?,
            }
        };
        let head = std::mem::take(&mut run.head);
        let (first, rest) = match read {
            Read::Events(events) => {
                events.iter().for_each(|event| self.record(event));
                (joined(events), Rest::Stream(Box::new(run)))
            }
            Read::End => {
                run.watch.completed();
                (Bytes::new(), Rest::Nothing)
            }
        };
        Ok(Output { head, first, rest })
    }

    async fn first_bytes(&mut self, source: Source<P>) -> Result<Output<P>, Interruption> {
        let mut run = self.whole_run(source);
        let first = self.next_bytes(&mut run).await?;
        let head = std::mem::take(&mut run.head);
        let (first, rest) = match first {
            Some(bytes) => {
                self.forwarded.first = Some(self.admitted.arrived.elapsed());
                (bytes, Rest::Bytes(Box::new(run)))
            }
            None => (Bytes::new(), Rest::Nothing),
        };
        Ok(Output { head, first, rest })
    }
}

/// Returns the bytes of all events; a copy only if there are several.
fn joined(mut events: Vec<Event>) -> Bytes {
    if events.len() == 1 {
        return events.remove(0).raw;
    }
    let parts: Vec<Bytes> = events.into_iter().map(|event| event.raw).collect();
    parts.concat().into()
}
