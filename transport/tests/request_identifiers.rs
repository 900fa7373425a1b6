//! Identifiers that a client sends at most once on each connection to a backend server.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::net::{
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::{
    Arc,
    Mutex, //
};

use async_io::Async;
use futures_lite::future::block_on;
use futures_lite::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use hyper::Request;
use hyper::header::HeaderName;
use limpetweir_transport::Runtime;
use limpetweir_transport::http::{
    Client,
    ClientBody,
    ClientLimits,
    SendOptions,
    TrafficClass, //
};
use rstest::rstest;
use xxhash_rust::xxh3::xxh3_64;

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Identifiers that count as none; no header is sent for an empty one.
const UNUSABLE: [&[u8]; 6] = [b"", b"\xff", b"", b" ", b"\xfe", b"\xff"];

/// Connections at the server with the identifiers of their requests, empty for those that count as none.
type Log = Arc<Mutex<Vec<(Arc<Async<TcpStream>>, Vec<String>)>>>;

/// Responds with the path of the request; for `/copy`, the last refusal comes once more before it.
async fn serve(stream: Arc<Async<TcpStream>>, index: usize, log: Log) -> std::io::Result<()> {
    let (mut stream, mut refusal) = (&*stream, String::new());
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).await?;
            head.extend(byte);
        }
        let head = String::from_utf8_lossy(&head);
        let word = |name| head.split_once(name)?.1.split([' ', '\r']).next();
        let (id, path) = (word("x-request-id: ").unwrap_or(""), word("GET ").unwrap());
        let id = if id.is_ascii() { id } else { "" };
        log.lock().unwrap()[index].1.push(id.to_owned());
        let refuses = path.starts_with("/refuse");
        let (status, len) = (if refuses { 503 } else { 200 }, path.len());
        let fields = format!("x-request-id: {id}\r\ncontent-length: {len}");
        let response = format!("HTTP/1.1 {status} -\r\n{fields}\r\n\r\n{path}");
        let copy = refusal.repeat(path.starts_with("/copy").into());
        stream.write_all((copy + &response).as_bytes()).await?;
        refusal = if refuses { response } else { refusal };
    }
}

/// Client and server on one thread.
struct Caller {
    client: Client,
    addr: SocketAddr,
    log: Log,
    _runtime: Runtime,
}

fn start(has_header: bool) -> Caller {
    let runtime = Runtime::start(1).unwrap();
    let (spawner, limits, log) = (runtime.spawner(), ClientLimits::default(), Log::default());
    let client = match has_header {
        true => Client::with_request_id(&spawner, limits, REQUEST_ID),
        false => Client::new(&spawner, limits),
    };
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let (addr, logged) = (listener.get_ref().local_addr().unwrap(), log.clone());
    let accepting = async move {
        for index in 0.. {
            let stream = Arc::new(listener.accept().await.unwrap().0);
            logged.lock().unwrap().push((stream.clone(), Vec::new()));
            spawner.spawn(serve(stream, index, logged.clone())).detach();
        }
    };
    runtime.spawner().spawn(accepting).detach();
    Caller {
        client,
        addr,
        log,
        _runtime: runtime,
    }
}

impl Caller {
    /// Returns the identifier in the response and its body.
    fn send(&self, class: TrafficClass, id: &[u8], path: &str) -> (String, ClientBody) {
        let header = Some(id).filter(|id| !id.is_empty()).into_iter();
        let req = header.fold(Request::get(path), |req, id| req.header(REQUEST_ID, id));
        let req = req.body("".into()).unwrap();
        let options = SendOptions::within(class, HANG_TIMEOUT);
        let response = block_on(self.client.send(self.addr, req, options)).unwrap();
        let id = response.headers()[REQUEST_ID].to_str().unwrap().to_owned();
        (id, response.into_body())
    }

    fn call(&self, class: TrafficClass, id: &[u8]) {
        let (_, body) = self.send(class, id, "/refuse");
        assert_eq!(block_on(body.collect_bytes(99)).unwrap(), "/refuse");
    }

    fn ids(&self) -> Vec<Vec<String>> {
        let log = self.log.lock().unwrap();
        log.iter().map(|(_, ids)| ids.clone()).collect()
    }

    fn open(&self) -> usize {
        let log = self.log.lock().unwrap();
        let open = |stream: &Async<TcpStream>| !matches!(stream.get_ref().peek(&mut [0]), Ok(0));
        log.iter().filter(|(stream, _)| open(stream)).count()
    }

    fn send_random(&self, n: u64) {
        let random = xxh3_64(&n.to_le_bytes()) as usize;
        let id = [&b""[..], b" ", b"\xff", b"a", b"b", b"c", b"d"][random % 7];
        let class = [TrafficClass::Online, TrafficClass::Batch][random / 7 % 2];
        let path = format!("/{}/{n}", ["whole", "refuse", "copy"][random / 14 % 3]);
        let (mut text, mut body) = self.send(class, id, &path);
        while text != std::str::from_utf8(id).unwrap_or_default().trim() {
            body.close();
            (text, body) = self.send(class, id, &path);
        }
        assert_eq!(block_on(body.collect_bytes(99)).unwrap(), path);
    }
}

/// Guards against an identifier that comes again on a connection, and a copy of its refusal as response.
#[rstest]
fn no_identifier_comes_twice(#[values(1, 2, 3, 4)] seed: u64, #[values(1, 6)] concurrent: u64) {
    let caller = &start(true);
    let send_all = |first| (first..first + 200).for_each(|n| caller.send_random(n));
    let firsts = (0..concurrent).map(|n| (seed * 10 + n) * 1_000);
    std::thread::scope(|scope| firsts.for_each(|n| drop(scope.spawn(move || send_all(n)))));
    for ids in caller.ids() {
        let repeats = |n: usize| ids[..n].contains(&ids[n]);
        assert!(!(1..ids.len()).any(repeats), "{ids:?}");
    }
}

/// Guards against connections that add up for an identifier that is refused again and again.
#[rstest]
#[case(1, 1)]
#[case(1, 6)]
#[case(4, 1)]
#[case(4, 6)]
fn a_repeat_replaces_one(#[case] callers: usize, #[case] pooled: usize) {
    let caller = &start(true);
    for _ in 0..pooled {
        block_on(caller.client.open(caller.addr, TrafficClass::Online)).unwrap();
    }
    let call_often = || {
        for _ in 0..100 {
            caller.call(TrafficClass::Online, b"a");
            assert!(caller.open() <= callers + pooled);
        }
    };
    std::thread::scope(|scope| (0..callers).for_each(|_| drop(scope.spawn(call_often))));
}

/// Guards against a missing limit, shared connections without identifiers, and new ones where none is needed.
#[rstest]
#[case::limit(true, TrafficClass::Online, |n: usize| n.to_string().into(), 256)]
#[case::none(true, TrafficClass::Batch, |n: usize| [UNUSABLE[n / 2 % 6], b"a"][n % 2].to_vec(), 2)]
#[case::platform(true, TrafficClass::Platform, |_| b"a".into(), 600)]
#[case::online_without_header(false, TrafficClass::Online, |_| b"a".into(), 600)]
#[case::batch_without_header(false, TrafficClass::Batch, |_| b"a".into(), 600)]
fn a_connection_gets_its_number_of_requests(
    #[case] has_header: bool,
    #[case] class: TrafficClass,
    #[case] id: fn(usize) -> Vec<u8>,
    #[case] limit: usize,
) {
    let caller = start(has_header);
    (0..600).for_each(|n| caller.call(class, &id(n)));
    let counts: Vec<_> = caller.ids().iter().map(Vec::len).collect();
    let expected: Vec<_> = [()].repeat(600).chunks(limit).map(<[()]>::len).collect();
    assert_eq!(counts, expected);
    assert_eq!(caller.open(), 1);
}

/// Guards against a server that is preferred for a connection which the request cannot use.
#[test]
fn has_idle_tells_whether_the_identifier_can_be_sent() {
    let caller = start(true);
    let idle = |class| ["a", "b", ""].map(|id| caller.client.has_idle(caller.addr, class, id));
    assert_eq!(idle(TrafficClass::Online), [false; 3]);
    let in_use = caller.send(TrafficClass::Online, b"a", "/whole").1;
    assert_eq!(idle(TrafficClass::Online), [false; 3]);
    block_on(in_use.collect_bytes(99)).unwrap();
    assert_eq!(idle(TrafficClass::Online), [false, true, true]);
    caller.call(TrafficClass::Online, b"b");
    assert_eq!(idle(TrafficClass::Online), [false, false, true]);
    caller.call(TrafficClass::Platform, b"a");
    assert_eq!(idle(TrafficClass::Platform), [true; 3]);
}
