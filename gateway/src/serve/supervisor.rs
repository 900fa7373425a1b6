//! Starts the tasks of an instance, restarts those that end, and notices those that stand still.
//!
//! The executor hands the panic of a task to its handle, which nobody polls; without a supervisor a
//! task that panics is gone without a trace.

use std::fmt::Display;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

use async_executor::Task;
use futures_lite::FutureExt;
use limpetweir_transport::{
    Spawner,
    panic_message,
    sleep, //
};

use super::lines::{
    INPUT_SKIPPED,
    TASK_MOVES,
    TASK_PANICKED,
    TASK_RESTARTED,
    TASK_STANDS_STILL,
    log_event, //
};
use super::metrics::Metrics;
use super::task_kinds::{
    Background,
    OneShot, //
};
use crate::supervision::{
    Pulse,
    RestartBackoff,
    StallTimer, //
};

/// Time between two looks at the tasks.
pub(crate) const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Steps of a task.
#[derive(Debug, Default)]
pub(crate) struct Steps {
    count: AtomicU64,
    idle: AtomicBool,
}

impl Steps {
    /// Records that the task has made a step.
    pub(crate) fn step(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.idle.store(false, Ordering::Relaxed);
    }

    /// Records that the task waits for something that may never come; [`step`](Self::step) ends the
    /// wait.
    pub(crate) fn idle(&self) {
        self.idle.store(true, Ordering::Relaxed);
    }

    fn pulse(&self) -> Pulse {
        match self.idle.load(Ordering::Relaxed) {
            true => Pulse::Idle,
            false => Pulse::Steps(self.count.load(Ordering::Relaxed)),
        }
    }
}

#[derive(Debug)]
struct Watched {
    task: Background,
    steps: Arc<Steps>,
    timer: StallTimer,
    still: bool,
}

/// The background tasks of an instance.
#[derive(Debug)]
pub(crate) struct Supervisor {
    spawner: Spawner,
    metrics: Arc<Metrics>,
    watched: Mutex<Vec<Watched>>,
    /// Whether a task stands still on whose reads routing and placement depend.
    reader_stalled: AtomicBool,
}

impl Supervisor {
    pub(crate) fn new(spawner: &Spawner, metrics: &Arc<Metrics>) -> Self {
        Self {
            spawner: spawner.clone(),
            metrics: metrics.clone(),
            watched: Mutex::default(),
            reader_stalled: AtomicBool::new(false),
        }
    }

    /// Returns whether the reader of the configuration or of the servers has stopped.
    pub(crate) fn is_reader_stalled(&self) -> bool {
        self.reader_stalled.load(Ordering::Acquire)
    }

    /// Adds a task that runs on a thread of its own; it records its steps in what is returned.
    pub(crate) fn watch(&self, task: Background) -> Arc<Steps> {
        let steps = Arc::new(Steps::default());
        self.watched().push(Watched {
            task,
            steps: steps.clone(),
            timer: StallTimer::default(),
            still: false,
        });
        steps
    }

    /// Starts a background task with `create`, and again after each panic or unexpected end. What
    /// must survive an end belongs to `create`. The task is cancelled when the handle is dropped.
    pub(crate) fn spawn<F>(
        &self,
        task: Background,
        create: impl Fn(Arc<Steps>) -> F + Send + Sync + 'static,
    ) -> Task<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let steps = self.watch(task);
        let metrics = self.metrics.clone();
        self.spawner.spawn(async move {
            let create = || create(steps.clone());
            restart(task, &metrics, create).await;
            // A task that has done its work does not stand still.
            steps.idle();
        })
    }

    /// Starts a task that ends by itself; if it panics, `clean_up` runs.
    pub(crate) fn spawn_once(
        &self,
        task: OneShot,
        future: impl Future<Output = ()> + Send + 'static,
        clean_up: impl Future<Output = ()> + Send + 'static,
    ) {
        let metrics = self.metrics.clone();
        let guarded = async move {
            if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
                metrics.task_panicked(task);
                log_event!(
                    TASK_PANICKED,
                    "task={task} cause={:?}",
                    panic_message(&*panic)
                );
                drop(panic);
                clean_up.await;
            }
        };
        self.spawner.spawn(guarded).detach();
    }

    /// Processes one input from outside. If that panics, only this input is skipped: the task would
    /// meet it again after a restart, or lose others meanwhile. Returns whether it was processed. `input`
    /// describes it, and is formatted only after a panic.
    pub(crate) fn skip_on_panic(&self, input: impl Display, process: impl FnOnce()) -> bool {
        let result = std::panic::catch_unwind(AssertUnwindSafe(process));
        if let Err(panic) = &result {
            self.skipped(&input.to_string(), panic_message(&**panic));
        }
        result.is_ok()
    }

    /// Records that the processing of an input has panicked, and that the input is skipped.
    pub(crate) fn skipped(&self, input: &str, cause: &str) {
        self.metrics.input_skipped();
        log_event!(INPUT_SKIPPED, "{input} cause={cause:?}");
    }

    fn watched(&self) -> MutexGuard<'_, Vec<Watched>> {
        self.watched.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at all tasks after `interval`. Returns whether it has changed that a reader stands still.
    pub(crate) fn look(&self, interval: Duration) -> bool {
        let mut reader_stalled = false;
        for watched in self.watched().iter_mut() {
            let task = watched.task;
            let age = watched.timer.observe(watched.steps.pulse(), interval);
            self.metrics.task_age(task, age);
            let still = age >= task.stall_limit();
            reader_stalled |= still && task.is_vital_reader();
            if std::mem::replace(&mut watched.still, still) == still {
                continue;
            }
            match still {
                true => log_event!(TASK_STANDS_STILL, "task={task} age_s={}", age.as_secs()),
                false => log_event!(TASK_MOVES, "task={task}"),
            }
        }
        self.reader_stalled.swap(reader_stalled, Ordering::AcqRel) != reader_stalled
    }
}

/// Runs a task, again and again if it is not finite.
async fn restart<F>(task: Background, metrics: &Metrics, create: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    let mut backoff = RestartBackoff::default();
    loop {
        let started = Instant::now();
        // The task may panic before it returns its future.
        let run = async { create().await };
        let cause = match AssertUnwindSafe(run).catch_unwind().await {
            Ok(()) if task.is_finite() => return,
            Ok(()) => "the task ended".to_owned(),
            Err(panic) => panic_message(&*panic).to_owned(),
        };
        let ran = started.elapsed();
        let pause = backoff.pause(ran);
        metrics.task_restarted(task);
        log_event!(
            TASK_RESTARTED,
            "task={task} cause={cause:?} ran_ms={} pause_ms={}",
            ran.as_millis(),
            pause.as_millis()
        );
        sleep(pause).await;
    }
}
