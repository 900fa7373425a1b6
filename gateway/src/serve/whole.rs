//! One run of a request whose response is not a stream.

use hyper::Response;
use hyper::body::Bytes;
use limpetweir_transport::http::{
    BodySender,
    ClientBody, //
};

use super::choose::PlacedRequest;
use super::relay::{
    ENDED_WITH_SERVER,
    Interruption,
    Relay,
    Source,
    forwarded,
    has_end, //
};
use super::run_watch::RunWatch;
use super::stream::{
    next_bytes,
    watched, //
};
use crate::platform::{
    Dialect,
    Store, //
};

/// A run whose response is passed on as it arrives. Dropping it before its end closes its connection,
/// which ends the run at the server.
pub(crate) struct WholeRun<P: Store + Dialect> {
    /// Status and headers for the caller.
    pub(crate) head: Response<()>,
    body: ClientBody,
    watch: RunWatch<P>,
    /// Whether bytes have been read. The run is not withdrawn any more then, whatever its status.
    has_begun: bool,
    is_success: bool,
    /// Whether the body ends with its connection, as it has neither a length nor chunks.
    has_open_end: bool,
    /// Whether a signature says that the server had the whole response.
    is_signed: bool,
    /// Counts the request in the load of the server.
    _placed: PlacedRequest<P>,
}

impl<P: Store + Dialect> WholeRun<P> {
    /// Reads the next bytes; `None` at the end of the response.
    async fn next(&mut self) -> Result<Option<Bytes>, Interruption> {
        let bytes = match self.has_begun {
            true => next_bytes(&mut self.body).await?,
            false => watched(&self.watch, &mut self.body).await?,
        };
        self.has_begun |= bytes.is_some();
        if bytes.is_none() && self.has_open_end {
            if !self.is_signed {
                let cause = "a response without a signature ended with its connection".to_owned();
                return Err(Interruption::ConnectionLost(cause));
            }
            // The server may have crashed while it sent the response.
            if self.watch.is_server_gone().await {
                return Err(Interruption::ConnectionLost(ENDED_WITH_SERVER.to_owned()));
            }
        }
        if self.is_success {
            match bytes {
                Some(_) => self.watch.output(),
                None => self.watch.completed(),
            }
        }
        Ok(bytes)
    }
}

impl<P: Store + Dialect> Relay<'_, P> {
    /// Returns the run of a response that is not a stream.
    pub(crate) fn whole_run(&self, source: Source<P>) -> WholeRun<P> {
        let Source {
            response,
            head: decoded,
            placed,
        } = source;
        let has_end = has_end(&self.admitted.head.method, &response);
        let (head, body) = forwarded(self.node, response);
        let id = &self.admitted.call.request_id;
        let mut watch = RunWatch::new(self.node, id, &self.admitted.parts, placed.place());
        watch.set_sent_on(Some(body.sent_on()));
        WholeRun {
            has_begun: false,
            is_success: head.status().is_success(),
            has_open_end: !has_end,
            is_signed: decoded.signed,
            head,
            body,
            watch,
            _placed: placed,
        }
    }

    /// Waits for the next bytes of a response, and records the loss of its run.
    pub(crate) async fn next_bytes(
        &mut self,
        run: &mut WholeRun<P>,
    ) -> Result<Option<Bytes>, Interruption> {
        let read = self.bounded(run.next()).await;
        if let Err(interruption) = &read {
            self.record_loss(&run.watch, interruption);
        }
        read
    }

    /// Forwards a response until it is complete.
    pub(crate) async fn forward_bytes(
        &mut self,
        mut run: WholeRun<P>,
        sender: &BodySender,
    ) -> Result<(), Interruption> {
        while let Some(bytes) = self.next_bytes(&mut run).await? {
            self.send(sender, bytes).await?;
        }
        Ok(())
    }
}
