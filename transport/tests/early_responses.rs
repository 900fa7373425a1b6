//! Responses of servers that respond before they have read the request, and end the connection.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::io::{
    Read,
    Write, //
};
use std::net::{
    Shutdown,
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::thread;
use std::time::Duration;

use hyper::Request;
use hyper::body::Bytes;
use limpetweir_transport::http::{
    Client,
    ClientLimits,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::{
    Runtime,
    sleep, //
};
use rstest::rstest;

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// More than the buffers of both ends take, so that the client still writes when the response comes.
const UPLOAD_BYTES: usize = 32 << 20;

/// Time after which the end of the connection has arrived.
const PROPAGATION: Duration = Duration::from_millis(100);

/// How the server ends a connection with unread bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The connection is reset.
    Reset,
    /// The end of the response is told first, and the connection is reset later.
    CloseFirst,
}

/// Starts a server that reads a part of one request, responds, and ends the connection.
fn start(response: &'static str, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 1024]).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
        // The reset must not overtake the response.
        thread::sleep(PROPAGATION);
        if ending == Ending::CloseFirst {
            stream.shutdown(Shutdown::Write).unwrap();
            thread::sleep(PROPAGATION);
        }
        // The system resets a connection that is closed with unread bytes.
        drop::<TcpStream>(stream);
    });
    addr
}

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\na part";
const FRAMED: &str = "HTTP/1.1 413 Content Too Large\r\ncontent-length: 6\r\n\r\na part";

/// Guards against a part of a response that counts as complete, because the failed write of the request has
/// taken the error that would have interrupted the response, and against a complete one that is lost with it.
#[rstest]
#[case::without_length(UNFRAMED, Ending::Reset, false)]
#[case::without_length_and_closed_first(UNFRAMED, Ending::CloseFirst, true)]
#[case::with_length(FRAMED, Ending::Reset, true)]
fn a_response_that_is_reset_during_the_upload_is_whole_only_at_its_end(
    #[case] response: &'static str,
    #[case] ending: Ending,
    #[case] is_whole: bool,
    #[values(true, false)] is_read_at_once: bool,
) {
    let addr = start(response, ending);
    let runtime = Runtime::start(2).unwrap();
    let client = Client::new(&runtime.spawner(), ClientLimits::default());
    let body = runtime.block_on(async move {
        let req = Request::post("/")
            .body(Bytes::from(vec![0; UPLOAD_BYTES]))
            .unwrap();
        let options = SendOptions::within(TrafficClass::Online, HANG_TIMEOUT);
        let response = client.send(addr, req, options).await.unwrap();
        if !is_read_at_once {
            sleep(PROPAGATION * 4).await;
        }
        response.into_body().collect_bytes(1024).await
    });
    match is_whole {
        true => assert_eq!(body.unwrap(), "a part"),
        false => assert!(body.is_err(), "{body:?}"),
    }
}
