//! A checked plan of a day.
//!
//! The fields are public to be read; `TryFrom` is the way to create a plan that holds the stated
//! invariants.

use std::time::Duration;

/// A plan of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Time in which requests arrive; not zero.
    pub length: Duration,
    /// Time from the start of the day after which nothing is worth anything; at least `length`.
    pub end: Duration,
    /// Classes of requests; at least one, with different names.
    pub classes: Vec<Class>,
    /// Organisations; at least one, with different names.
    pub organisations: Vec<Organisation>,
    /// Groups of backend servers; at least one, with different names.
    pub servers: Vec<ServerGroup>,
    /// Instances between callers and backend servers.
    pub instances: Instances,
    /// Load patterns.
    pub loads: Vec<Load>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Rank; 0 is the most urgent one.
    pub priority: u8,
    /// Kind of work.
    pub work: Work,
    /// Requests, or jobs, per second.
    pub rate: Rate,
    /// Time from the arrival after which a request is worth nothing; not zero.
    pub deadline: Duration,
    /// Worth of a request or item of mean size that is on time; not negative.
    pub worth: f64,
    /// Worth of a request or item of mean size that is late; 0 to `worth`.
    pub late_worth: f64,
    /// Tokens of a prompt.
    pub prompt_tokens: Amount,
    /// Tokens of the prompt that a server may have in its cache.
    pub cached_tokens: u32,
    /// Events of a response.
    pub output_events: Amount,
    /// Decode steps, and tokens, per event; at least 1.
    pub tokens_per_event: u32,
    /// Most retries of a caller.
    pub retries: u32,
}

/// Kind of work of a class.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Online requests with a streamed response.
    Stream {
        /// Latest time from the arrival to the first event of a request on time.
        target: Duration,
        /// Longest pause between events of a request on time.
        pause: Duration,
    },
    /// Jobs of items.
    Batch {
        /// Items of a job.
        items: Amount,
        /// Latest time from the arrival of the job to the last event of an item on time.
        due: Duration,
    },
}

/// A number that varies from request to request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Amount {
    /// Mean; at least 1.
    pub mean: f64,
    /// Standard deviation as a share of the mean; 0 to 10.
    pub spread: f64,
    /// Largest value; at least `mean`.
    pub max: f64,
}

/// A rate that changes in steps.
#[derive(Clone, Debug, PartialEq)]
pub struct Rate {
    /// Times and the rate per second from then on; the first time is 0, times increase.
    pub steps: Vec<(Duration, f64)>,
    /// Period after which the steps start again; later than the last step.
    pub repeat: Option<Duration>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Part of the traffic; the sum of all is 1.
    pub share: f64,
    /// Limit over the whole fleet; `None` if there is none.
    pub limit: Option<Limit>,
}

/// Limit of an organisation over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second; positive.
    pub rate: f64,
    /// Burst, in requests; at least 1.
    pub burst: f64,
}

/// Backend servers of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerGroup {
    /// Name.
    pub name: String,
    /// Number of servers; at least 1.
    pub count: u32,
    /// Requests that run at once; at least 1.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Duration of a decode step in milliseconds; positive.
    pub step_ms: f64,
    /// Additional duration of a step per running request in milliseconds; not negative.
    pub step_ms_per_running: f64,
    /// Tokens of prompts read per millisecond; positive.
    pub prompt_tokens_per_ms: f64,
    /// Memory for the tokens of running requests; at least 1.
    pub memory_tokens: u32,
    /// Times at which some servers are slow.
    pub slow: Vec<SlowSpan>,
}

/// A time at which some servers of a group are slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowSpan {
    /// Number of slow servers: the first ones of the group.
    pub servers: u32,
    /// Factor of all times; at least 1.
    pub factor: f64,
    /// When.
    pub window: Window,
}

/// Instances between callers and backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Instances {
    /// Number of instances; at least 1.
    pub count: u32,
    /// One-way delay between a caller and an instance.
    pub caller_delay: Duration,
    /// One-way delay between an instance and a backend server.
    pub server_delay: Duration,
}

/// A time span: `from` is part of it, `to` is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Start.
    pub from: Duration,
    /// End; later than `from`.
    pub to: Duration,
}

/// A load pattern. Slow servers are part of their groups instead, see [`ServerGroup::slow`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// More requests.
    Burst {
        /// Index of the class; `None` for all classes.
        class: Option<usize>,
        /// Factor of the rate; not negative.
        factor: f64,
        /// When.
        window: Window,
    },
    /// More requests of one organisation.
    HotOrganisation {
        /// Index of the organisation.
        organisation: usize,
        /// Factor of the rate; not negative.
        factor: f64,
        /// When.
        window: Window,
    },
}

impl Window {
    /// Returns whether `at` is in the span.
    pub fn contains(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }
}

impl Rate {
    /// Returns the rate at a time, per second.
    pub fn at(&self, time: Duration) -> f64 {
        let (_, time) = self.period_of(time);
        let past = self.steps.partition_point(|(from, _)| *from <= time);
        past.checked_sub(1).map_or(0.0, |index| self.steps[index].1)
    }

    /// Returns the next time after `time` at which a step begins.
    pub fn next_step(&self, time: Duration) -> Option<Duration> {
        let (start, within) = self.period_of(time);
        let next = self.steps.iter().find(|(from, _)| *from > within);
        let next = next.map(|(from, _)| *from).or(self.repeat);
        next.map(|next| start + next)
    }

    /// Returns the start of the period that contains `time`, and the time since that start.
    fn period_of(&self, time: Duration) -> (Duration, Duration) {
        let Some(repeat) = self.repeat else {
            return (Duration::ZERO, time);
        };
        let within = time.as_nanos() % repeat.as_nanos();
        let within = Duration::from_nanos(u64::try_from(within).unwrap_or(0));
        (time - within, within)
    }
}

impl Load {
    /// Returns the factor of the rate of a class and an organisation at a time.
    pub fn factor(&self, class: usize, organisation: usize, at: Duration) -> f64 {
        let (applies, factor) = match *self {
            Self::Burst {
                class: only,
                factor,
                ..
            } => (only.is_none_or(|only| only == class), factor),
            Self::HotOrganisation {
                organisation: hot,
                factor,
                ..
            } => (hot == organisation, factor),
        };
        if applies && self.window().contains(at) {
            factor
        } else {
            1.0
        }
    }

    /// Returns when the pattern applies.
    pub fn window(&self) -> Window {
        match *self {
            Self::Burst { window, .. } | Self::HotOrganisation { window, .. } => window,
        }
    }
}

impl Plan {
    /// Returns the requests (or jobs) per second of a class and an organisation at a time.
    pub fn rate(&self, class: usize, organisation: usize, at: Duration) -> f64 {
        let base = self.classes[class].rate.at(at) * self.organisations[organisation].share;
        let factors = self.loads.iter();
        let factors = factors.map(|load| load.factor(class, organisation, at));
        base * factors.product::<f64>()
    }

    /// Returns the next time after `time` at which the rate of a class may change.
    pub fn next_change(&self, class: usize, time: Duration) -> Option<Duration> {
        let windows = self.loads.iter().map(Load::window);
        let edges = windows.flat_map(|window| [window.from, window.to]);
        let edges = edges.chain(self.classes[class].rate.next_step(time));
        edges.filter(|edge| *edge > time).min()
    }
}

impl ServerGroup {
    /// Returns the factor of all times of a server, by its index in the group, at a time.
    pub fn slowness(&self, server: u32, at: Duration) -> f64 {
        let slow = self.slow.iter();
        let slow = slow.filter(|span| server < span.servers && span.window.contains(at));
        slow.map(|span| span.factor).product()
    }
}
