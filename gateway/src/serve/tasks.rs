//! The background tasks of an instance.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use async_channel::Receiver;
use async_executor::Task;
use limpetweir_transport::sleep;

use super::node::Node;
use super::supervisor::{
    LOOK_INTERVAL,
    Steps, //
};
use super::task_kinds::Background;
use super::write_request::WriteRequest;
use super::writer::Queue;
use super::{
    crash_messages,
    follow,
    items,
    peers,
    quota_levels,
    registration,
    reports,
    writer, //
};
use crate::platform::{
    Dialect,
    Store,
    Topic, //
};

/// Starts the background tasks; `queues` are those of the writers.
pub(crate) fn start_tasks<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    socket: &Arc<UdpSocket>,
    queues: Vec<Receiver<WriteRequest>>,
) -> Vec<Task<()>> {
    // Peers ignore a report whose number is not above that of the previous one.
    let sequence = Arc::new(AtomicU64::new(0));
    let mut tasks = vec![
        start_reader(node, Topic::Configuration, 0),
        start_reader(node, Topic::Backends, 0),
        start_reader(node, Topic::Instances, 0),
        start_task(node, Background::Register, registration::register),
        start_task(node, Background::AdoptLevels, quota_levels::adopt),
        start_task(node, Background::WatchPeers, peers::watch),
        start_task(node, Background::Scheduler, items::schedule),
        start_task(
            node,
            Background::RemoveExpiredJobs,
            items::remove_expired_jobs,
        ),
        start_task(node, Background::WatchTasks, watch_tasks),
    ];
    let shared = socket.clone();
    tasks.push(start_task(
        node,
        Background::SendReports,
        move |node, steps| reports::send(node, shared.clone(), sequence.clone(), steps),
    ));
    let shared = socket.clone();
    tasks.push(start_task(
        node,
        Background::CrashNews,
        move |node, steps| crash_messages::tell(node, shared.clone(), steps),
    ));
    for (partition, queue) in (0..).zip(queues) {
        tasks.push(start_reader(node, Topic::Jobs, partition));
        let queue = Arc::new(Queue::new(queue));
        let task = Background::WriteJobs(partition);
        tasks.push(start_task(node, task, move |node, steps| {
            writer::run(node, partition, queue.clone(), steps)
        }));
    }
    tasks
}

fn start_task<P, F>(
    node: &Arc<Node<P>>,
    task: Background,
    create: impl Fn(Arc<Node<P>>, Arc<Steps>) -> F + Send + Sync + 'static,
) -> Task<()>
where
    P: Store + Dialect,
    F: Future<Output = ()> + Send + 'static,
{
    let shared = node.clone();
    let create = move |steps| create(shared.clone(), steps);
    node.supervisor.spawn(task, create)
}

fn start_reader<P: Store + Dialect>(node: &Arc<Node<P>>, topic: Topic, partition: u32) -> Task<()> {
    let task = Background::reader(topic, partition);
    start_task(node, task, move |node, steps| {
        follow::read_topic(node, topic, partition, steps)
    })
}

/// Notices tasks that stand still, and tells the peers when a reader does.
async fn watch_tasks<P: Store + Dialect>(node: Arc<Node<P>>, steps: Arc<Steps>) {
    loop {
        sleep(LOOK_INTERVAL).await;
        steps.step();
        if node.supervisor.look(LOOK_INTERVAL) {
            node.report_due.notify(usize::MAX);
            items::jobs_changed(&node);
        }
    }
}
