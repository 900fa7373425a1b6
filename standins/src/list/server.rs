//! HTTP interface of the list.

use std::{
    cell::RefCell,
    io,
    net::TcpListener,
    rc::Rc,
    time::Duration, //
};

use async_executor::LocalExecutor;
use futures_lite::future;
use hyper::{
    Method,
    StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;

use super::state::{
    Backend,
    Instance,
    ListState, //
};
use crate::{
    clock::Clock,
    http::{
        self,
        Call,
        HttpResponse,
        Outcome,
        Rejected,
        Service, //
    }, //
};

/// Body of `POST /control`; absent fields change nothing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListControl {
    /// Instances to add or replace by name.
    pub instances: Vec<Instance>,
    /// Backend servers to add or replace by name.
    pub backends: Vec<Backend>,
    /// Names of instances and backend servers to remove.
    pub remove: Vec<String>,
    /// Changes the lag, in milliseconds, also for changes that are not yet visible.
    pub lag_ms: Option<u64>,
    /// Rejects `GET /list` with 503 while true.
    pub outage: Option<bool>,
}

struct ListService {
    clock: Clock,
    list: RefCell<ListState>,
    outage: RefCell<bool>,
}

/// Serves the list until the process terminates.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(listener: TcpListener, lag: Duration) -> io::Result<()> {
    let service = Rc::new(ListService {
        clock: Clock::start(),
        list: RefCell::new(ListState::new(lag)),
        outage: RefCell::new(false),
    });
    let executor = LocalExecutor::new();
    let served = executor.run(http::serve(&executor, listener, service));
    future::block_on(served).map(|_| ())
}

impl Service for ListService {
    async fn call(&self, call: Call) -> Outcome {
        Ok(match (&call.method, call.path.as_str()) {
            (&Method::GET, "/list") => self.list(),
            (&Method::POST, "/control") => http::response(self.control(&call)),
            _ => http::not_found(&call),
        })
    }
}

impl ListService {
    fn list(&self) -> HttpResponse {
        if *self.outage.borrow() {
            return http::error(StatusCode::SERVICE_UNAVAILABLE, "the list is not available");
        }
        let mut list = self.list.borrow_mut();
        http::json(StatusCode::OK, list.visible(self.clock.now()))
    }

    fn control(&self, call: &Call) -> Result<HttpResponse, Rejected> {
        let control: ListControl = call.json()?;
        let mut list = self.list.borrow_mut();
        if let Some(lag_ms) = control.lag_ms {
            list.set_lag(Duration::from_millis(lag_ms));
        }
        if let Some(outage) = control.outage {
            self.outage.replace(outage);
        }
        list.change(self.clock.now(), |listing| {
            control
                .instances
                .into_iter()
                .for_each(|instance| listing.put_instance(instance));
            control
                .backends
                .into_iter()
                .for_each(|backend| listing.put_backend(backend));
            control.remove.iter().for_each(|name| listing.remove(name));
        });
        Ok(http::json(StatusCode::OK, &json!({})))
    }
}
