//! Executor threads shared by all tasks of a process, and the process's monotonic clock.

use std::any::Any;
use std::future::Future;
use std::io;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{
    Duration,
    Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use async_executor::{
    Executor,
    Task, //
};
use async_io::Timer;
use futures_lite::FutureExt;
use limpetweir_state::Timestamp;

/// Pause before a task that panicked is started again, so that one that panics again and again does
/// not fill the log.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Spawns tasks on the executor threads of a [`Runtime`].
#[derive(Clone, Debug)]
pub struct Spawner {
    executor: Arc<Executor<'static>>,
}

impl Spawner {
    /// Spawns a task that is cancelled when the returned handle is dropped.
    pub fn spawn<F>(&self, future: F) -> Task<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.executor.spawn(future)
    }
}

/// A fixed number of threads that run one shared executor until the runtime is dropped.
#[derive(Debug)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    /// Closed on drop, which ends the threads.
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl Runtime {
    /// Starts `threads` executor threads, at least one.
    ///
    /// Fails if the operating system cannot start a thread.
    pub fn start(threads: usize) -> io::Result<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        let mut runtime = Self {
            executor: Arc::new(Executor::new()),
            stop,
            threads: Vec::new(),
        };
        for index in 0..threads.max(1) {
            let executor = runtime.executor.clone();
            let stopped = stopped.clone();
            let thread = std::thread::Builder::new()
                .name(format!("executor-{index}"))
                .spawn(move || run_thread(&executor, &stopped))?;
            runtime.threads.push(thread);
        }
        Ok(runtime)
    }

    /// Returns a handle that spawns tasks on the threads.
    pub fn spawner(&self) -> Spawner {
        Spawner {
            executor: self.executor.clone(),
        }
    }

    /// Runs `future` on the executor threads and blocks the calling thread until it ends.
    pub fn block_on<F>(&self, future: F) -> F::Output
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        futures_lite::future::block_on(self.executor.spawn(future))
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        self.stop.close();
        for thread in self.threads.drain(..) {
            // A thread only panics if the executor itself fails; the remaining threads are still
            // joined.
            let _ = thread.join();
        }
    }
}

/// Runs tasks until `stopped` is closed; the executor propagates a panic to the task's handle.
fn run_thread(executor: &Executor<'static>, stopped: &Receiver<()>) {
    let _ = async_io::block_on(executor.run(stopped.recv()));
}

/// Monotonic clock of the process; returns the timestamps that pure code uses.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at timestamp zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the current timestamp.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + self.origin.elapsed()
    }
}

/// Runs a task that never ends, and again after each panic. The executor would hand a panic to the
/// handle of the task, which nobody polls.
///
/// `create` must start from a state that holds after a panic; what a run owns is dropped with it.
pub async fn restart_on_panic<F>(name: &str, create: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    loop {
        // The task may panic before it returns its future.
        let run = AssertUnwindSafe(async { create().await });
        let Err(panic) = run.catch_unwind().await else {
            return;
        };
        let cause = panic_message(&*panic).to_owned();
        log::error!("LW1008 the task {name} panicked and is started again: {cause}");
        sleep(RESTART_PAUSE).await;
    }
}

/// Returns the message of a caught panic.
pub fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}

/// Waits for `duration`.
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// Runs `future` until `at`; returns `None` if it has not completed by then.
pub async fn timeout_at<F: Future>(at: Instant, future: F) -> Option<F::Output> {
    let timer = async {
        Timer::at(at).await;
        None
    };
    let completed = async { Some(future.await) };
    completed.or(timer).await
}
