//! Batch work of one instance, and a fake of the engines.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetweir_coordination::*;
use limpetweir_state::*;

use crate::log::StreamUpdate;
use crate::network::{JobCall, Message, RunItem};
use crate::node::{
    Ack, ENGINES, JOB_GROUPS, Node, World, engine_group_id, engine_name, job_group_id,
};

const UNIX_START_MS: u64 = 1_796_000_000_000;
/// Largest number of items that an owner has at managers at the same time.
const MAX_OUTSTANDING: usize = 6;
/// Time after which a message about an attempt that has not ended is sent again.
const RETRY_INTERVAL_MS: u64 = 1_000;
const LIMITS: SlotLimits = SlotLimits {
    slots: 4,
    reserve: 1,
    queue: 2,
};

pub(crate) fn organisation() -> OrganisationId {
    OrganisationId::try_from("org").expect("valid name")
}

/// Outcome of an item; each attempt writes a different text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ItemOutcome {
    text: String,
    failed: bool,
}

impl BufferedSize for ItemOutcome {
    fn buffered_size(&self) -> usize {
        self.text.len()
    }
}

/// A model engine that runs every item for a second and writes a text that names the attempt.
#[derive(Default)]
pub(crate) struct Engine {
    /// Item, manager and end time of each running stream.
    running: BTreeMap<AttemptId, (RunItem, Incarnation, u64)>,
    ended: Vec<(Incarnation, AttemptId, AttemptEnd<ItemOutcome>)>,
    /// Items started since the last step, as job and index.
    pub(crate) starts: Vec<(String, u32)>,
}

impl Engine {
    fn start(&mut self, now: u64, item: RunItem, manager: Incarnation) {
        self.starts.push((item.job.to_string(), item.index));
        let stream = (item.clone(), manager, now + 1_000);
        self.running.insert(item.attempt, stream);
    }

    fn end(&mut self, attempt: AttemptId, end: AttemptEnd<ItemOutcome>) {
        if let Some((_, manager, _)) = self.running.remove(&attempt) {
            self.ended.push((manager, attempt, end));
        }
    }

    /// Ends the streams that are due and drops those of managers that have terminated.
    pub(crate) fn step(&mut self, now: u64, is_running: impl Fn(&Incarnation) -> bool) {
        self.running
            .retain(|_, (_, manager, _)| is_running(manager));
        self.ended.retain(|(manager, ..)| is_running(manager));
        let due = self.running.values().filter(|(.., end)| *end <= now);
        let due: Vec<_> = due.map(|(item, ..)| (item.attempt, item.poison)).collect();
        for (attempt, failed) in due {
            let text = format!("written by {attempt}");
            let outcome = ItemOutcome { text, failed };
            let end = match failed {
                true => AttemptEnd::Failed(outcome),
                false => AttemptEnd::Finished(outcome),
            };
            self.end(attempt, end);
        }
    }

    /// Breaks all running streams; their attempts end as lost.
    pub(crate) fn fail(&mut self) {
        let attempts: Vec<_> = self.running.keys().copied().collect();
        for attempt in attempts {
            self.end(attempt, AttemptEnd::Lost);
        }
    }
}

/// Own records that were read back, with their outcomes; `None` if a snapshot hides the outcome.
type Events = Vec<(Ticket, Option<JobOutcome>)>;

/// State of the owner of a job group in one epoch.
pub(crate) struct Owner {
    epoch: Epoch,
    open: Ticket,
    scheduler: Scheduler<ItemOutcome>,
    state: OwnerState,
}

#[derive(Default)]
struct OwnerState {
    opened: bool,
    pending: BTreeMap<Ticket, (JobCall, JobId)>,
    /// Cancels that were read back but whose running attempts have not all ended.
    stopping: Vec<(String, JobId)>,
    completion: Option<Ticket>,
    outstanding: BTreeMap<AttemptId, OutstandingAttempt>,
    submissions: u64,
    next_engine: u16,
}

/// An attempt sent to a manager.
struct OutstandingAttempt {
    item: RunItem,
    sent: u64,
    stop: bool,
    /// When this owner first found the manager replaced.
    replaced: Option<Timestamp>,
}

/// State of the manager of an engine; `epoch` is the last one in which it acted.
#[derive(Default)]
pub(crate) struct Manager {
    epoch: Option<Epoch>,
    slots: Option<SlotManager>,
    items: BTreeMap<AttemptId, (usize, RunItem)>,
    /// Attempts that must no longer start; a late or repeated offer returns the same end.
    ended: BTreeMap<AttemptId, AttemptEnd<ItemOutcome>>,
}

impl Node {
    fn push(&mut self, group: usize, epoch: Epoch, change: JobChange, now: u64) -> Option<Ticket> {
        let at = UnixMillis(UNIX_START_MS + now);
        let record = JobRecord { epoch, at, change };
        self.jobs[group].writer.push(EntryBody::Data(record)).ok()
    }

    pub(crate) fn start_call(&mut self, group: usize, call: JobCall) {
        let Some(mut owner) = self.owners[group].take() else {
            return;
        };
        if owner.state.opened && self.jobs[group].writer.len() < 32 {
            self.append_call(group, &mut owner, call);
        }
        self.owners[group] = Some(owner);
    }

    fn append_call(&mut self, group: usize, owner: &mut Owner, call: JobCall) {
        let (epoch, now) = (owner.epoch, self.clock.0 / 1_000);
        let job = job_id(job_group_id(group), &organisation(), call.key()).expect("valid id");
        let change = match &call {
            JobCall::Cancel(_) => JobChange::Cancel { job: job.clone() },
            JobCall::Submit(key, items, body) => {
                let submission = SubmissionId(owner.state.submissions);
                owner.state.submissions += 1;
                for (part, range) in [(0, 0..items / 2), (1, items / 2..*items)] {
                    let items = range.map(new_item).collect();
                    let change = JobChange::SubmitPart {
                        submission,
                        part,
                        items,
                    };
                    self.push(group, epoch, change, now);
                }
                JobChange::Submit(Submission {
                    submission,
                    parts: 2,
                    job: job.clone(),
                    organisation: organisation(),
                    key: key.as_str().into(),
                    digest: [*body; 32],
                    service: ServiceId::try_from("chat").expect("valid name"),
                    model: ModelId::try_from("small").expect("valid name"),
                    deadline: UnixMillis(UNIX_START_MS + 60_000),
                    result_retention: Duration::from_secs(86_400),
                })
            }
        };
        if let Some(ticket) = self.push(group, epoch, change, now) {
            owner.state.pending.insert(ticket, (call, job));
        }
    }

    pub(crate) fn step_owners(&mut self, now: u64, world: &mut World) {
        for group in 0..usize::from(JOB_GROUPS) {
            let id = job_group_id(group);
            let events = self.read_jobs(group, now, world);
            let act = self.may_act(id);
            let releasing = self.releasing.is_some_and(|(other, _)| other == id);
            let mut owner = self.owners[group].take();
            let holds = self.ownership.holds().get(&id).copied();
            if owner.as_ref().is_some_and(|o| Some(o.epoch) != holds) {
                self.jobs[group].writer.abandon();
                owner = None;
            }
            if let Some(epoch) = act.filter(|_| owner.is_none()) {
                owner = self.open(group, epoch, now);
            }
            if let Some(owner) = &mut owner {
                self.apply_events(group, owner, events, act.is_some());
                if act.is_some() || releasing {
                    self.run_owner(group, owner, now, releasing);
                }
            }
            let drained = owner
                .as_ref()
                .is_none_or(|o| o.state.outstanding.is_empty());
            if releasing && drained && self.jobs[group].writer.is_empty() {
                self.finish_release();
                owner = None;
            }
            self.owners[group] = owner;
        }
    }

    fn read_jobs(&mut self, group: usize, now: u64, world: &mut World) -> Events {
        let mut events = Vec::new();
        let on_update = |update: StreamUpdate<'_, Jobs>| match update {
            StreamUpdate::Event(_, ticket, event) => {
                events.extend(ticket.map(|t| (t, Some(event.outcome))))
            }
            StreamUpdate::Recovered(_, tickets) => {
                events.extend(tickets.into_iter().map(|t| (t, None)))
            }
        };
        let log_access = self.log_access(now, world);
        self.jobs[group].step(log_access, &mut world.jobs[group], &self.own, on_update);
        events
    }

    fn open(&mut self, group: usize, epoch: Epoch, now: u64) -> Option<Owner> {
        self.jobs[group].replica.fold()?;
        let open = self.push(group, epoch, JobChange::Open, now)?;
        let scheduler = Scheduler::new(job_group_id(group), epoch);
        let state = OwnerState::default();
        Some(Owner {
            epoch,
            open,
            scheduler,
            state,
        })
    }

    fn apply_events(&mut self, group: usize, owner: &mut Owner, events: Events, acts: bool) {
        for (ticket, outcome) in events {
            if ticket == owner.open {
                owner.state.opened = true;
            }
            if owner.state.completion == Some(ticket) {
                owner.state.completion = None;
                owner.scheduler.confirm_completions();
            }
            if let Some((call, job)) = owner.state.pending.remove(&ticket) {
                self.on_read_back(owner, call, job, outcome);
            }
        }
        let fold = self.jobs[group].replica.fold();
        let jobs = fold
            .filter(|_| owner.state.opened)
            .into_iter()
            .flat_map(Jobs::iter);
        for (id, job) in jobs.filter(|(_, job)| !job.has_ended()) {
            owner.scheduler.add_folded(id, job);
        }
        if acts {
            let outstanding = &owner.state.outstanding;
            let done =
                |(_, job): &mut (String, JobId)| !outstanding.values().any(|o| o.item.job == *job);
            for (key, job) in owner.state.stopping.extract_if(.., done) {
                let job = job.to_string();
                self.acks.push(Ack::Cancelled(key, job));
            }
        }
    }

    fn on_read_back(
        &mut self,
        owner: &mut Owner,
        call: JobCall,
        job: JobId,
        outcome: Option<JobOutcome>,
    ) {
        use JobOutcome::*;
        match (call, outcome) {
            (JobCall::Submit(key, _, body), Some(Submitted { .. } | Resubmitted { .. })) => {
                self.acks.push(Ack::Submitted(key, job.to_string(), body));
            }
            (JobCall::Submit(key, _, body), Some(KeyConflict { .. })) => {
                self.acks.push(Ack::Conflict(key, body));
            }
            (JobCall::Cancel(key), Some(Cancelled { .. } | AlreadyEnded { .. })) => {
                for attempt in owner.scheduler.cancel(&job) {
                    if let Some(outstanding) = owner.state.outstanding.get_mut(&attempt) {
                        (outstanding.stop, outstanding.sent) = (true, 0);
                    }
                }
                owner.state.stopping.push((key, job));
            }
            _ => {}
        }
    }

    fn run_owner(&mut self, group: usize, owner: &mut Owner, now: u64, releasing: bool) {
        if owner.state.completion.is_none()
            && let Some(batch) = owner.scheduler.take_completions(self.clock)
        {
            let items = batch.items.into_iter().map(completion).collect();
            let job = batch.job;
            let change = JobChange::Completed { job, items };
            owner.state.completion = self.push(group, owner.epoch, change, now);
        }
        if let Some(AttemptCounts { job, counts }) = owner.scheduler.take_attempt_counts(self.clock)
        {
            let change = JobChange::Attempts { job, counts };
            self.push(group, owner.epoch, change, now);
        }
        while !releasing && owner.state.opened && owner.state.outstanding.len() < MAX_OUTSTANDING {
            if self.dispatch(group, owner).is_none() {
                break;
            }
        }
        self.retry_attempts(owner, now, releasing);
    }

    /// Dispatches the next item to an engine that has a manager.
    fn dispatch(&mut self, group: usize, owner: &mut Owner) -> Option<()> {
        let engine = owner.state.next_engine % ENGINES;
        owner.state.next_engine += 1;
        let (_, engine_epoch) = self.holder(engine_group_id(engine.into()))?;
        let fold = self.jobs[group].replica.fold()?;
        let next = owner.scheduler.next(|_| true)?;
        let job = fold.get(&next.job);
        let prompt = job.and_then(|job| job.open_item(next.index));
        let item = RunItem {
            attempt: next.attempt,
            engine,
            engine_epoch,
            job: next.job,
            index: next.index,
            poison: prompt.is_some_and(|item| item.prompt == "poison"),
        };
        let outstanding = OutstandingAttempt {
            item,
            sent: 0,
            stop: false,
            replaced: None,
        };
        owner.state.outstanding.insert(next.attempt, outstanding);
        Some(())
    }

    /// Sends attempts, and resends those that have not ended; drops those at replaced managers.
    fn retry_attempts(&mut self, owner: &mut Owner, now: u64, releasing: bool) {
        let mut lost = Vec::new();
        for (&attempt, outstanding) in &mut owner.state.outstanding {
            let holder = self.holder(engine_group_id(outstanding.item.engine.into()));
            let current = holder.filter(|(_, epoch)| *epoch == outstanding.item.engine_epoch);
            let Some((manager, _)) = current else {
                // A replaced manager may still start items for the duration of one lease.
                let since = *outstanding.replaced.get_or_insert(self.clock);
                if self.clock.since(since) >= timing::OWNER_LEASE {
                    lost.push(attempt);
                }
                continue;
            };
            if now < outstanding.sent + RETRY_INTERVAL_MS && outstanding.sent > 0 {
                continue;
            }
            outstanding.sent = now;
            let item = outstanding.item.clone();
            let message = match outstanding.stop || releasing {
                true => Message::Stop(item),
                false => Message::Run(item),
            };
            self.outbox.push((manager, message));
        }
        for attempt in lost {
            owner.state.outstanding.remove(&attempt);
            owner.scheduler.on_end(attempt, AttemptEnd::Lost);
        }
    }

    pub(crate) fn on_ended(&mut self, attempt: AttemptId, end: AttemptEnd<ItemOutcome>) {
        let owner = &mut self.owners[usize::from(attempt.group.index)];
        if let Some(owner) = owner
            && owner.state.outstanding.remove(&attempt).is_some()
        {
            owner.scheduler.on_end(attempt, end);
        }
    }

    pub(crate) fn on_run(&mut self, from: usize, item: RunItem, world: &mut World, now: u64) {
        let engine = usize::from(item.engine);
        let acts = self.may_act(engine_group_id(engine));
        let (attempt, clock) = (item.attempt, self.clock);
        let manager = &mut self.managers[engine];
        let recorded_end = manager.ended.get(&attempt);
        let managed = acts == Some(item.engine_epoch) && manager.epoch == acts;
        let slots = manager.slots.as_mut().filter(|_| managed);
        let Some(slots) = slots.filter(|_| recorded_end.is_none()) else {
            let end = recorded_end.cloned().unwrap_or(AttemptEnd::NotRun);
            let end = manager.ended.entry(attempt).or_insert(end).clone();
            self.outbox.push((from, Message::Ended(attempt, end)));
            return;
        };
        manager.items.insert(attempt, (from, item));
        match slots.offer(clock, attempt) {
            Ok(actions) => self.perform(engine, actions, world, now),
            Err(_) => self.end_attempt(engine, attempt, AttemptEnd::NotRun),
        }
    }

    pub(crate) fn on_stop(&mut self, from: usize, item: RunItem, world: &mut World, now: u64) {
        let (engine, attempt) = (usize::from(item.engine), item.attempt);
        let manager = &mut self.managers[engine];
        if !manager.items.contains_key(&attempt) {
            let end = manager.ended.entry(attempt).or_insert(AttemptEnd::NotRun);
            let end = end.clone();
            self.outbox.push((from, Message::Ended(attempt, end)));
        } else if let Some(slots) = &mut manager.slots {
            let actions = slots.stop(self.clock, attempt);
            self.perform(engine, actions, world, now);
        }
    }

    fn end_attempt(&mut self, engine: usize, attempt: AttemptId, end: AttemptEnd<ItemOutcome>) {
        let manager = &mut self.managers[engine];
        if let Some((owner, _)) = manager.items.remove(&attempt) {
            manager.ended.insert(attempt, end.clone());
            self.outbox.push((owner, Message::Ended(attempt, end)));
        }
    }

    fn perform(&mut self, engine: usize, actions: Vec<SlotAction>, world: &mut World, now: u64) {
        for action in actions {
            match action {
                SlotAction::Start(attempt) => {
                    let (_, item) = &self.managers[engine].items[&attempt];
                    world.engines[engine].start(now, item.clone(), self.own.clone());
                }
                SlotAction::Cancel(attempt) => {
                    let end = AttemptEnd::Preempted(ResumePoint::default());
                    world.engines[engine].end(attempt, end);
                }
                SlotAction::Return(attempt) => {
                    self.end_attempt(engine, attempt, AttemptEnd::NotRun);
                }
            }
        }
    }

    pub(crate) fn step_managers(&mut self, now: u64, world: &mut World) {
        for engine in 0..usize::from(ENGINES) {
            let id = engine_group_id(engine);
            let act = self.may_act(id);
            let manager = &mut self.managers[engine];
            if act.is_some() && manager.epoch != act {
                manager.epoch = act;
                let slots = manager.slots.take();
                manager.slots = slots.or_else(|| Some(SlotManager::new(LIMITS)));
            }
            let mut idle = true;
            if let Some(mut slots) = manager.slots.take() {
                let actions = self.update_slots(engine, act.is_some(), &mut slots, world);
                idle = slots.in_flight() == 0;
                self.managers[engine].slots = Some(slots);
                self.perform(engine, actions, world, now);
            }
            if idle && self.releasing.is_some_and(|(other, _)| other == id) {
                self.finish_release();
            }
        }
    }

    fn update_slots(
        &mut self,
        engine: usize,
        acts: bool,
        slots: &mut SlotManager,
        world: &mut World,
    ) -> Vec<SlotAction> {
        let clock = self.clock;
        let mut actions = Vec::new();
        let own = &self.own;
        let is_own =
            |(manager, ..): &mut (Incarnation, AttemptId, AttemptEnd<ItemOutcome>)| manager == own;
        let ended: Vec<_> = world.engines[engine].ended.extract_if(.., is_own).collect();
        if !acts {
            actions.extend(slots.close(clock));
        }
        for (_, attempt, end) in ended {
            if end == AttemptEnd::Lost {
                actions.extend(slots.on_backend_failure(clock));
            }
            actions.extend(slots.on_end(clock, attempt));
            self.end_attempt(engine, attempt, end);
        }
        if let Some(claims) = self.claims.replica.fold().filter(|_| acts) {
            for group in (0..usize::from(JOB_GROUPS)).map(job_group_id) {
                if let Some(claim) = claims.get(group) {
                    actions.extend(slots.on_epoch(clock, group, claim.epoch));
                }
            }
        }
        if acts {
            let peers = self.members.online_at_peers(clock, &engine_name(engine));
            actions.extend(slots.set_own_online(clock, self.online_load(engine)));
            actions.extend(slots.set_peers_online(clock, peers));
            actions.extend(slots.tick(clock));
        }
        actions
    }
}

fn completion((index, ended): (u32, ItemOutcome)) -> Completion {
    let (outcome, completion_tokens) = match ended.failed {
        true => (Outcome::Failed(ended.text.into()), 0),
        false => (Outcome::Finished(ended.text.into()), 7),
    };
    let mut usage = Usage::default();
    (usage.prompt_tokens, usage.completion_tokens) = (1, completion_tokens);
    Completion {
        index,
        outcome,
        usage,
    }
}

fn new_item(n: u32) -> NewItem {
    NewItem {
        id: format!("item-{n}").into(),
        prompt: if n % 5 == 4 { "poison" } else { "fine" }.into(),
        max_tokens: 16,
    }
}
