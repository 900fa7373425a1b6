//! A backend server that works in steps.

use crate::capacity::Speed;
use crate::plan::ServerGroup;
use crate::request::Request;

/// Most tokens of prompts that are read between two decode steps.
const CHUNK_TOKENS: f64 = 1024.0;

/// A request that runs.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Index of the request.
    index: usize,
    /// Tokens of the prompt that are not read yet.
    unread: f64,
    /// Tokens that are not generated yet.
    tokens: u32,
    /// Memory it takes, in tokens.
    memory: f64,
    /// Time of the last event; `None` before the first one.
    last_event: Option<f64>,
    /// Whether it can still be on time.
    on_time: bool,
}

/// A request that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    /// Index of the request.
    pub(crate) index: usize,
    /// What it earned.
    pub(crate) earned: f64,
}

/// What is expected of a request that would start now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// What it would earn.
    pub(crate) worth: f64,
    /// Milliseconds to its last event; positive.
    pub(crate) duration: f64,
}

/// A backend server.
#[derive(Clone, Debug)]
pub(crate) struct Server<'a> {
    group: &'a ServerGroup,
    speed: Speed,
    /// At most `group.slots`, in order of their start.
    running: Vec<Running>,
    /// Sum of the memory of the running requests; at most `group.memory_tokens`.
    memory: f64,
}

impl<'a> Server<'a> {
    pub(crate) fn new(group: &'a ServerGroup, index: u32) -> Self {
        Self {
            group,
            speed: Speed::new(group, index),
            running: Vec::new(),
            memory: 0.0,
        }
    }

    /// Returns whether no request runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns whether all slots are taken.
    pub(crate) fn is_full(&self) -> bool {
        self.running.len() >= self.group.slots as usize
    }

    /// Returns the running requests.
    pub(crate) fn running(&self) -> impl Iterator<Item = usize> {
        self.running.iter().map(|running| running.index)
    }

    /// Returns whether a slot and the memory for the request are free.
    pub(crate) fn fits(&self, request: &Request) -> bool {
        !self.is_full() && self.memory + memory(request) <= f64::from(self.group.memory_tokens)
    }

    /// Starts a request, which [`Self::fits`].
    pub(crate) fn start(&mut self, index: usize, request: &Request) {
        self.memory += memory(request);
        self.running.push(Running {
            index,
            unread: request.prompt,
            tokens: request.events * request.steps,
            memory: memory(request),
            last_event: None,
            on_time: true,
        });
    }

    /// Does one step that begins at `now` and returns its end; adds the requests that ended.
    pub(crate) fn step(&mut self, now: f64, requests: &[Request], ended: &mut Vec<Ended>) -> f64 {
        let mut chunk = CHUNK_TOKENS;
        let mut decoding = 0;
        for running in &mut self.running {
            let read = running.unread.min(chunk);
            running.unread -= read;
            chunk -= read;
            decoding += u32::from(running.unread <= 0.0);
        }
        let mut work = (CHUNK_TOKENS - chunk) / self.group.prompt_tokens_per_ms;
        if decoding > 0 {
            work += self.group.step_ms + self.group.step_ms_per_running * f64::from(decoding);
        }
        let end = self.speed.finish(now, work);
        self.running.retain_mut(|running| {
            let request = &requests[running.index];
            let earned = running.generate(end, request);
            ended.extend(earned.map(|earned| Ended {
                index: running.index,
                earned,
            }));
            earned.is_none()
        });
        self.memory = self.running.iter().map(|running| running.memory).sum();
        end
    }

    /// Forecasts what a request that starts now earns, and the time that it takes, if all slots stay
    /// taken and `reading` milliseconds of prompts are read per millisecond of steps. Returns `None`
    /// if it earns nothing.
    pub(crate) fn forecast(&self, now: f64, request: &Request, reading: f64) -> Option<Forecast> {
        let slots = f64::from(self.group.slots);
        let token = self.group.step_ms + self.group.step_ms_per_running * slots;
        let steps = f64::from(request.steps);
        let unread: f64 = self.running.iter().map(|running| running.unread).sum();
        let prompt = (unread + request.prompt) / self.group.prompt_tokens_per_ms;
        let first = self.speed.finish(now, prompt + token * steps);
        let rest = token * (request.tokens() - steps) * (1.0 + reading);
        let last = self.speed.finish(first, rest);
        let event = token * steps * self.speed.slowness(now).max(self.speed.slowness(last));
        let on_time =
            first <= request.first_by && last <= request.done_by && event <= request.pause;
        let worth = match on_time {
            true => request.worth,
            false if last <= request.late_by => request.late_worth,
            false => return None,
        };
        let duration = last - now;
        Some(Forecast { worth, duration })
    }
}

impl Running {
    /// Adds a token at `now`, and returns what the request earned if it ended.
    fn generate(&mut self, now: f64, request: &Request) -> Option<f64> {
        if now > request.late_by {
            return Some(0.0);
        }
        if self.unread > 0.0 {
            return None;
        }
        self.tokens -= 1;
        if !self.tokens.is_multiple_of(request.steps) {
            return None;
        }
        let by = self
            .last_event
            .map_or(request.first_by, |last| last + request.pause);
        self.last_event = Some(now);
        self.on_time &= now <= by;
        if self.tokens > 0 {
            return None;
        }
        let on_time = self.on_time && now <= request.done_by;
        Some(if on_time {
            request.worth
        } else {
            request.late_worth
        })
    }
}

/// Memory that a request takes until it ends, in tokens.
fn memory(request: &Request) -> f64 {
    request.prompt + request.tokens()
}
