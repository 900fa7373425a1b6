//! Checks of a whole plan, which report all faults.

use std::fmt::Display;
use std::time::Duration;

use crate::fault::{
    FieldLines,
    PlanError,
    PlanFault, //
};
use crate::plan::{
    Amount,
    Class,
    Instances,
    Limit,
    Load,
    Organisation,
    Plan,
    Rate,
    ServerGroup,
    SlowSpan,
    Window,
    Work, //
};
use crate::raw::{
    LoadKind,
    RawAmount,
    RawClass,
    RawInstances,
    RawLoad,
    RawOrganisation,
    RawPlan,
    RawServers,
    RawSlowSpan,
    WorkKind, //
};

/// Longest time in a plan, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

/// Most requests or jobs per second of a class, and most tokens, events, worth and the like.
const MAX_NUMBER: f64 = 1e9;

/// Most servers of a group, slots of a server and the like.
const MAX_COUNT: u32 = 100_000;

/// Largest factor of a load pattern or a slow span.
const MAX_FACTOR: f64 = 10_000.0;

impl TryFrom<&str> for Plan {
    type Error = PlanError;

    fn try_from(text: &str) -> Result<Self, PlanError> {
        let raw: RawPlan = toml::from_str(text).map_err(|err| PlanError::parse(text, &err))?;
        check(&raw, FieldLines::new(text))
    }
}

impl TryFrom<&RawPlan> for Plan {
    type Error = PlanError;

    fn try_from(raw: &RawPlan) -> Result<Self, PlanError> {
        check(raw, FieldLines::default())
    }
}

fn check(raw: &RawPlan, lines: FieldLines) -> Result<Plan, PlanError> {
    let mut checker = Checker {
        lines,
        faults: Vec::new(),
    };
    let plan = checker.plan(raw);
    if checker.faults.is_empty() {
        Ok(plan)
    } else {
        Err(PlanError::new(checker.faults))
    }
}

/// State of the checks. A value with a fault is replaced, so that the checks can go on.
struct Checker {
    lines: FieldLines,
    faults: Vec<PlanFault>,
}

impl Checker {
    fn report(&mut self, field: &str, message: impl Display) {
        self.faults.push(PlanFault {
            line: self.lines.line(field),
            field: field.to_owned(),
            message: message.to_string(),
        });
    }

    /// Checks that a number is in a range.
    fn number(&mut self, field: &str, value: f64, min: f64, max: f64) -> f64 {
        if (min..=max).contains(&value) {
            return value;
        }
        self.report(
            field,
            format!("{value} is not accepted: use {min} to {max}"),
        );
        min
    }

    /// Checks that a number is positive.
    fn positive(&mut self, field: &str, value: f64, max: f64) -> f64 {
        if value > 0.0 && value <= max {
            return value;
        }
        let message = format!("{value} is not accepted: use a number above 0, up to {max}");
        self.report(field, message);
        max
    }

    fn count(&mut self, field: &str, value: u32) -> u32 {
        if !(1..=MAX_COUNT).contains(&value) {
            let message = format!("{value} is not accepted: use 1 to {MAX_COUNT}");
            self.report(field, message);
        }
        value
    }

    fn seconds(&mut self, field: &str, value: f64) -> Duration {
        Duration::from_secs_f64(self.number(field, value, 0.0, MAX_SECONDS))
    }

    fn millis(&mut self, field: &str, value: f64) -> Duration {
        let millis = self.number(field, value, 0.0, MAX_SECONDS * 1e3);
        Duration::from_secs_f64(millis / 1e3)
    }

    /// Checks a field that is required for a kind.
    fn required<T>(&mut self, field: &str, kind: impl Display, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.report(field, format!("missing: kind {kind} requires it"));
        }
        value
    }

    /// Checks that a field that another kind has is absent.
    fn absent<T>(&mut self, field: &str, kind: impl Display, value: Option<&T>) {
        if value.is_some() {
            self.report(field, format!("not accepted for kind {kind}: remove it"));
        }
    }

    fn names<'r>(&mut self, table: &str, names: impl Iterator<Item = &'r str>) {
        let mut seen: Vec<&str> = Vec::new();
        for (index, name) in names.enumerate() {
            let field = format!("{table}[{index}].name");
            if name.is_empty() || name == "all" {
                let message = format!("{name:?} is not accepted: use a name other than \"all\"");
                self.report(&field, message);
            }
            if seen.contains(&name) {
                let message = format!("{name:?} is already used: use a different name");
                self.report(&field, message);
            }
            seen.push(name);
        }
        if seen.is_empty() {
            self.report(table, "use at least one");
        }
    }

    fn plan(&mut self, raw: &RawPlan) -> Plan {
        let length = self.positive("day.length_s", raw.day.length_s, MAX_SECONDS);
        let finish = raw.day.finish_s.unwrap_or(MAX_SECONDS);
        let finish = self.seconds("day.finish_s", finish);
        let length = Duration::from_secs_f64(length);
        self.names("class", raw.class.iter().map(|c| c.name.as_str()));
        self.names(
            "organisation",
            raw.organisation.iter().map(|o| o.name.as_str()),
        );
        self.names("servers", raw.servers.iter().map(|s| s.name.as_str()));
        Plan {
            length,
            end: length + finish,
            classes: self.tables("class", &raw.class, Self::class),
            organisations: self.organisations(&raw.organisation),
            servers: self.servers(raw),
            instances: self.instances(&raw.instances),
            loads: self.loads(raw),
        }
    }

    fn tables<R, T>(
        &mut self,
        table: &str,
        raw: &[R],
        check: impl Fn(&mut Self, &str, &R) -> T,
    ) -> Vec<T> {
        let raw = raw.iter().enumerate();
        raw.map(|(index, raw)| check(self, &format!("{table}[{index}]"), raw))
            .collect()
    }

    fn class(&mut self, path: &str, raw: &RawClass) -> Class {
        let worth = self.number(&format!("{path}.worth"), raw.worth, 0.0, MAX_NUMBER);
        let late = format!("{path}.late_worth");
        let deadline = format!("{path}.deadline_ms");
        let prompt_tokens = self.amount(&format!("{path}.prompt_tokens"), raw.prompt_tokens);
        let output_events = self.amount(&format!("{path}.output_events"), raw.output_events);
        let tokens = format!("{path}.tokens_per_event");
        let deadline_ms = self.positive(&deadline, raw.deadline_ms, MAX_SECONDS * 1e3);
        Class {
            name: raw.name.clone(),
            priority: raw.priority,
            work: self.work(path, raw),
            rate: self.rate(path, raw),
            deadline: Duration::from_secs_f64(deadline_ms / 1e3),
            worth,
            late_worth: self.number(&late, raw.late_worth, 0.0, worth),
            prompt_tokens,
            cached_tokens: raw.cached_tokens,
            output_events,
            tokens_per_event: self.count(&tokens, raw.tokens_per_event),
            retries: raw.retries,
        }
    }

    fn work(&mut self, path: &str, raw: &RawClass) -> Work {
        let [target, pause, items, due] =
            ["target_ms", "pause_ms", "items", "due_s"].map(|field| format!("{path}.{field}"));
        let kind = raw.kind;
        match kind {
            WorkKind::Stream => {
                self.absent(&items, kind, raw.items.as_ref());
                self.absent(&due, kind, raw.due_s.as_ref());
                let target_ms = self.required(&target, kind, raw.target_ms);
                let pause_ms = self.required(&pause, kind, raw.pause_ms);
                Work::Stream {
                    target: self.millis(&target, target_ms.unwrap_or(0.0)),
                    pause: self.millis(&pause, pause_ms.unwrap_or(0.0)),
                }
            }
            WorkKind::Batch => {
                self.absent(&target, kind, raw.target_ms.as_ref());
                self.absent(&pause, kind, raw.pause_ms.as_ref());
                let amount = self.required(&items, kind, raw.items);
                let due_s = self.required(&due, kind, raw.due_s);
                Work::Batch {
                    items: self.amount(&items, amount.unwrap_or(ONE)),
                    due: self.seconds(&due, due_s.unwrap_or(0.0)),
                }
            }
        }
    }

    fn amount(&mut self, path: &str, raw: RawAmount) -> Amount {
        let mean = self.number(&format!("{path}.mean"), raw.mean, 1.0, MAX_NUMBER);
        let max = raw.max.unwrap_or(MAX_NUMBER);
        Amount {
            mean,
            spread: self.number(&format!("{path}.spread"), raw.spread, 0.0, 10.0),
            max: self.number(&format!("{path}.max"), max, mean, MAX_NUMBER),
        }
    }

    fn rate(&mut self, path: &str, raw: &RawClass) -> Rate {
        let field = format!("{path}.rate");
        let mut steps: Vec<(Duration, f64)> = Vec::new();
        for (index, [from, rate]) in raw.rate.iter().enumerate() {
            let step = format!("{field}[{index}]");
            let from = self.seconds(&step, *from);
            if index == 0 && !from.is_zero() {
                self.report(&step, "the first step must begin at second 0");
            }
            if steps.last().is_some_and(|(earlier, _)| *earlier >= from) {
                self.report(&step, "the step must begin later than the one before");
            }
            steps.push((from, self.number(&step, *rate, 0.0, MAX_NUMBER)));
        }
        let Some(last) = steps.last().map(|(from, _)| *from) else {
            let message = "use at least one step, such as [[0.0, 5.0]]";
            self.report(&field, message);
            return Rate {
                steps,
                repeat: None,
            };
        };
        let path = format!("{path}.repeat_s");
        let repeat = raw.repeat_s.map(|repeat| self.seconds(&path, repeat));
        if repeat.is_some_and(|repeat| repeat <= last) {
            let last = last.as_secs_f64();
            self.report(
                &path,
                format!("the period must be longer than the last step, {last} s"),
            );
        }
        Rate { steps, repeat }
    }

    fn organisations(&mut self, raw: &[RawOrganisation]) -> Vec<Organisation> {
        let mut checked = self.tables("organisation", raw, Self::organisation);
        let sum: f64 = checked.iter().map(|o| o.share).sum();
        for organisation in &mut checked {
            organisation.share /= sum;
        }
        checked
    }

    fn organisation(&mut self, path: &str, raw: &RawOrganisation) -> Organisation {
        let share = self.positive(&format!("{path}.share"), raw.share, MAX_NUMBER);
        let [rate, burst] = ["rate", "burst"].map(|field| format!("{path}.{field}"));
        let limit = match (raw.rate, raw.burst) {
            (None, None) => None,
            (None, Some(_)) => {
                self.report(&rate, "missing: a burst requires a rate");
                None
            }
            (Some(_), None) => {
                self.report(&burst, "missing: a rate requires a burst");
                None
            }
            (Some(per_s), Some(requests)) => Some(Limit {
                rate: self.positive(&rate, per_s, MAX_NUMBER),
                burst: self.number(&burst, requests, 1.0, MAX_NUMBER),
            }),
        };
        Organisation {
            name: raw.name.clone(),
            share,
            limit,
        }
    }

    fn servers(&mut self, raw: &RawPlan) -> Vec<ServerGroup> {
        let mut groups = self.tables("servers", &raw.servers, Self::group);
        for (index, load) in raw.load.iter().enumerate() {
            if load.kind != LoadKind::SlowServers {
                continue;
            }
            let path = format!("load[{index}]");
            let share = self.required(&format!("{path}.share"), load.kind, load.share);
            let span = RawSlowSpan {
                share: share.unwrap_or(1.0),
                factor: load.factor,
                from_s: load.from_s,
                to_s: load.to_s,
            };
            for group in &mut groups {
                let span = self.slow(&path, group.count, &span);
                group.slow.push(span);
            }
        }
        groups
    }

    fn group(&mut self, path: &str, raw: &RawServers) -> ServerGroup {
        let field = |name: &str| format!("{path}.{name}");
        let reading = raw.prompt_tokens_per_ms;
        let slope = raw.step_ms_per_running;
        ServerGroup {
            name: raw.name.clone(),
            count: self.count(&field("count"), raw.count),
            slots: self.count(&field("slots"), raw.slots),
            queue: raw.queue,
            step_ms: self.positive(&field("step_ms"), raw.step_ms, MAX_NUMBER),
            step_ms_per_running: self.number(&field("step_ms_per_running"), slope, 0.0, MAX_NUMBER),
            prompt_tokens_per_ms: self.positive(
                &field("prompt_tokens_per_ms"),
                reading,
                MAX_NUMBER,
            ),
            memory_tokens: raw.memory_tokens,
            slow: self.tables(&field("slow"), &raw.slow, |checker, path, span| {
                checker.slow(path, raw.count, span)
            }),
        }
    }

    fn slow(&mut self, path: &str, count: u32, raw: &RawSlowSpan) -> SlowSpan {
        let share = self.number(&format!("{path}.share"), raw.share, 0.0, 1.0);
        // At most `count`, as the share is at most 1.
        let servers = (share * f64::from(count)).round() as u32;
        SlowSpan {
            servers,
            factor: self.number(&format!("{path}.factor"), raw.factor, 1.0, MAX_FACTOR),
            window: self.window(path, raw.from_s, raw.to_s),
        }
    }

    fn window(&mut self, path: &str, from: f64, to: f64) -> Window {
        let from = self.seconds(&format!("{path}.from_s"), from);
        let field = format!("{path}.to_s");
        let to = self.seconds(&field, to);
        if to <= from {
            self.report(&field, "the end must be later than from_s");
        }
        Window { from, to }
    }

    fn instances(&mut self, raw: &RawInstances) -> Instances {
        Instances {
            count: self.count("instances.count", raw.count),
            caller_delay: self.millis("instances.caller_delay_ms", raw.caller_delay_ms),
            server_delay: self.millis("instances.server_delay_ms", raw.server_delay_ms),
        }
    }

    fn loads(&mut self, raw: &RawPlan) -> Vec<Load> {
        let mut loads = Vec::new();
        for (index, load) in raw.load.iter().enumerate() {
            let path = format!("load[{index}]");
            loads.extend(self.load(&path, raw, load));
        }
        loads
    }

    /// Checks a load pattern; returns `None` for slow servers, which are part of their groups.
    fn load(&mut self, path: &str, plan: &RawPlan, raw: &RawLoad) -> Option<Load> {
        let kind = raw.kind;
        let [class, organisation, share] =
            ["class", "organisation", "share"].map(|field| format!("{path}.{field}"));
        if kind != LoadKind::Burst {
            self.absent(&class, kind, raw.class.as_ref());
        }
        if kind != LoadKind::HotOrganisation {
            self.absent(&organisation, kind, raw.organisation.as_ref());
        }
        if kind == LoadKind::SlowServers {
            return None;
        }
        self.absent(&share, kind, raw.share.as_ref());
        let factor = self.number(&format!("{path}.factor"), raw.factor, 0.0, MAX_FACTOR);
        let window = self.window(path, raw.from_s, raw.to_s);
        if kind == LoadKind::Burst {
            let name = self.required(&class, kind, raw.class.as_ref())?;
            let names = plan.class.iter().map(|c| c.name.as_str());
            let class = match name.as_str() {
                "all" => None,
                name => Some(self.index(&class, name, names)?),
            };
            return Some(Load::Burst {
                class,
                factor,
                window,
            });
        }
        let name = self.required(&organisation, kind, raw.organisation.as_ref())?;
        let names = plan.organisation.iter().map(|o| o.name.as_str());
        let organisation = self.index(&organisation, name, names)?;
        Some(Load::HotOrganisation {
            organisation,
            factor,
            window,
        })
    }

    fn index<'r>(
        &mut self,
        field: &str,
        name: &str,
        mut names: impl Iterator<Item = &'r str>,
    ) -> Option<usize> {
        let index = names.position(|known| known == name);
        if index.is_none() {
            self.report(field, format!("{name:?} is not defined in the plan"));
        }
        index
    }
}

/// Stands for a missing amount, which is reported.
const ONE: RawAmount = RawAmount {
    mean: 1.0,
    spread: 0.0,
    max: None,
};
