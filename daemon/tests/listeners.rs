//! Tests of the public and the admin listener of an instance in the test process.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::{
    HeaderMap,
    Request,
    StatusCode, //
};
use limpetweir_protocol::http::ErrorBody;
use limpetweir_protocol::settings::Settings;
use limpetweir_standins::fleet::{
    InstanceSettings,
    OPERATOR_KEY, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::Runtime;
use limpetweir_transport::http::{
    Client,
    ClientLimits,
    SendOptions,
    TrafficClass, //
};
use limpetweird::{
    Daemon,
    Phase, //
};
use rstest::rstest;

/// Upper bound of any wait, far above what a test needs; reaching it means that the test hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    // Dropped in declaration order: the daemon before the runtime whose threads run it.
    daemon: Daemon,
    client: Client,
    runtime: Runtime,
}

impl Fixture {
    fn start() -> Self {
        let runtime = Runtime::start(2).unwrap();
        let spawner = runtime.spawner();
        Self {
            daemon: Daemon::start(&spawner, settings()).unwrap(),
            client: Client::new(&spawner, ClientLimits::default()),
            runtime,
        }
    }

    fn send(&self, addr: SocketAddr, req: Request<Bytes>) -> (StatusCode, HeaderMap, Bytes) {
        let client = self.client.clone();
        let options = SendOptions::within(TrafficClass::Online, TEST_TIMEOUT);
        self.runtime.block_on(async move {
            let response = client.send(addr, req, options).await.unwrap();
            let (head, body) = response.into_parts();
            let body = body.collect_bytes(1 << 20).await.unwrap();
            (head.status, head.headers, body)
        })
    }

    fn get(&self, addr: SocketAddr, path: &str, key: Option<&str>) -> (StatusCode, Bytes) {
        let mut req = Request::get(path);
        if let Some(key) = key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        let (status, _, body) = self.send(addr, req.body(Bytes::new()).unwrap());
        (status, body)
    }
}

fn settings() -> Settings {
    let settings = InstanceSettings {
        timing: vec![("discovery_ttl_ms", 1)],
        ..InstanceSettings::without_platform("a1", "z1")
    };
    Settings::load("test", &settings.to_string(), &[]).unwrap()
}

/// Guards against health responses that direct callers to an instance which cannot serve them.
#[rstest]
#[case(Phase::Starting, StatusCode::SERVICE_UNAVAILABLE)]
#[case(Phase::Serving, StatusCode::OK)]
#[case(Phase::Stale, StatusCode::SERVICE_UNAVAILABLE)]
#[case(Phase::Leaving, StatusCode::OK)]
fn health_follows_the_phase(#[case] phase: Phase, #[case] expected: StatusCode) {
    let fixture = Fixture::start();
    fixture.daemon.node().set_phase(phase);
    let addresses = fixture.daemon.addresses();
    for addr in [addresses.public, addresses.admin] {
        assert_eq!(fixture.get(addr, "/health", None).0, expected);
    }
}

/// Guards against an instance that serves again after a stop has begun.
#[test]
fn leaving_is_final() {
    let fixture = Fixture::start();
    let node = fixture.daemon.node();
    node.set_phase(Phase::Leaving);
    node.set_phase(Phase::Serving);
    assert_eq!(node.phase(), Phase::Leaving);
}

/// Guards against errors without a verdict, after which callers cannot retry safely.
#[rstest]
#[case("/")]
#[case("/v1/jobs/none/none")]
#[case("/v1/jobsandmore")]
fn unknown_paths_get_a_structured_error(#[case] path: &str) {
    let fixture = Fixture::start();
    let req = Request::get(path).body(Bytes::new()).unwrap();
    let (status, headers, body) = fixture.send(fixture.daemon.addresses().public, req);
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(headers["x-limpetweir-verdict"], "not-run");
    assert_eq!(headers["content-type"], "application/json");
    let body: ErrorBody = serde_json::from_slice(&body).unwrap();
    assert_eq!(body.error.code, "not_found");
    assert_eq!(body.error.verdict, Verdict::NotRun);
}

/// Guards against operator data that is readable without the operator key.
#[test]
fn the_admin_listener_requires_the_operator_key() {
    let fixture = Fixture::start();
    let admin = fixture.daemon.addresses().admin;
    for path in ["/metrics", "/admin/config", "/none"] {
        for key in [None, Some("wrong"), Some("")] {
            let (status, _) = fixture.get(admin, path, key);
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{path} {key:?}");
        }
    }
    let (status, body) = fixture.get(admin, "/metrics", Some(OPERATOR_KEY));
    assert_eq!(status, StatusCode::OK);
    let text = String::from_utf8(body.to_vec()).unwrap();
    let line = |l: &str| {
        l.starts_with("limpetweir_requests_total{")
            && l.contains("status=\"401\"")
            && l.ends_with(" 9")
    };
    assert!(text.lines().any(line), "{text}");
    let (status, _) = fixture.get(admin, "/none", Some(OPERATOR_KEY));
    assert_eq!(status, StatusCode::NOT_FOUND);
}

/// Guards against operator data on the public listener.
#[test]
fn the_public_listener_has_no_operator_interface() {
    let fixture = Fixture::start();
    let public = fixture.daemon.addresses().public;
    for path in ["/metrics", "/admin/config"] {
        let (status, _) = fixture.get(public, path, Some(OPERATOR_KEY));
        assert_eq!(status, StatusCode::NOT_FOUND);
    }
}

/// Guards against a stop of an idle instance that hangs or reports aborted requests.
#[test]
fn an_idle_instance_stops_completely() {
    let fixture = Fixture::start();
    let public = fixture.daemon.addresses().public;
    fixture.get(public, "/health", None);
    let Fixture {
        daemon,
        client,
        runtime,
    } = fixture;
    assert!(runtime.block_on(daemon.stop()));
    runtime.block_on(async move {
        let options = SendOptions::within(TrafficClass::Online, TEST_TIMEOUT);
        let req = Request::get("/health").body(Bytes::new()).unwrap();
        let err = client.send(public, req, options).await.unwrap_err();
        assert_eq!(err.verdict(), Verdict::NotRun);
    });
}
