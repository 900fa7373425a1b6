//! Datagrams between the instances.
//!
//! Load pattern: in a large fleet hundreds of them arrive per second. A thread that blocks in the receive
//! operation makes one system call for each; an executor that waits for the socket through a reactor makes
//! several.

use std::io;
use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::thread;
use std::time::Duration;

use rustix::net::{
    SendFlags,
    sendto, //
};

use super::node::Node;
use super::peers;
use super::supervisor::Steps;
use super::task_kinds::Background;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::report_ranges::MAX_REPORT_BYTES;

/// Pause after a failed receive operation.
const RECEIVE_RETRY: Duration = Duration::from_millis(2);

/// Sends a datagram, unless that would block.
pub(crate) fn send(socket: &UdpSocket, bytes: &[u8], addr: SocketAddr) -> io::Result<()> {
    sendto(socket, bytes, SendFlags::DONTWAIT, &addr)?;
    Ok(())
}

/// The thread that receives the datagrams of the other instances; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Receiver {
    socket: Arc<UdpSocket>,
    stopped: Arc<AtomicBool>,
}

impl Receiver {
    /// Starts to receive from `socket`, which blocks.
    pub(crate) fn start<P: Store + Dialect>(
        node: &Arc<Node<P>>,
        socket: &Arc<UdpSocket>,
    ) -> io::Result<Self> {
        let receiver = Self {
            socket: socket.clone(),
            stopped: Arc::default(),
        };
        let node = node.clone();
        let socket = socket.clone();
        let stopped = receiver.stopped.clone();
        let steps = node.supervisor.watch(Background::ReceiveReports);
        let thread = thread::Builder::new().name("datagrams".to_owned());
        thread.spawn(move || receive(&node, &socket, &stopped, &steps))?;
        Ok(receiver)
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        // An empty datagram ends the wait of the thread.
        let sent = self.socket.local_addr();
        let sent = sent.and_then(|addr| send(&self.socket, &[], addr));
        if let Err(err) = sent {
            log::debug!("cannot end the thread that receives reports: {err}");
        }
    }
}

fn receive<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    socket: &UdpSocket,
    stopped: &AtomicBool,
    steps: &Steps,
) {
    let mut buf = vec![0; MAX_REPORT_BYTES];
    loop {
        steps.idle();
        let received = socket.recv_from(&mut buf);
        steps.step();
        if stopped.load(Ordering::Acquire) {
            return;
        }
        match received {
            Ok((len, from)) => {
                let message = &buf[..len];
                let apply = || peers::apply_message(node, socket, message, from.ip());
                let input = format_args!("peer={from} bytes={len}");
                node.supervisor.skip_on_panic(input, apply);
            }
            Err(err) => {
                // On some systems a peer without a listener causes an error here.
                log::debug!("cannot receive a report: {err}");
                thread::sleep(RECEIVE_RETRY);
            }
        }
    }
}
