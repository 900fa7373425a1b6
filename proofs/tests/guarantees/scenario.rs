//! Runs the scripted scenarios in `tests/scenarios/`, one TOML file each.
//!
//! A file has the `failure` that it guards against and a list of `[[step]]`. A step runs the fleet
//! until `at_ms` after the start, or until `until` holds if that is earlier, then performs the
//! actions in `do` and checks the expectations in `expect`. An instance is named `i0` to `i4`, or
//! by the group that it owned at the start, as in `@jobs-0`. At the end of every scenario all
//! failures are healed and the oracle checks the final state.

use std::path::{Path, PathBuf};

use limpetweir_coordination::ServingMode;
use limpetweir_state::GroupId;
use rstest::rstest;
use serde::Deserialize;

use crate::fleet::{Fleet, STEP_MS, document};
use crate::node::groups;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Scenario {
    failure: String,
    #[serde(default)]
    step: Vec<Step>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    at_ms: u64,
    until: Option<String>,
    #[serde(default, rename = "do")]
    actions: Vec<String>,
    #[serde(default)]
    expect: Vec<String>,
}

/// A fleet that performs the actions of a scenario.
pub(crate) struct ScenarioRun {
    pub(crate) fleet: Fleet,
    /// Owner of each group at the start.
    owners: Vec<(String, usize)>,
}

/// Guards against the `failure` of the scenario file.
#[rstest]
fn scenario(#[files("tests/scenarios/*.toml")] path: PathBuf) {
    let scenario = read(&path);
    let mut run = ScenarioRun::new(Fleet::settled(5, 7));
    let start = run.fleet.now;
    for step in &scenario.step {
        let at = start + step.at_ms;
        assert!(at >= run.fleet.now, "steps are not in order of time");
        run.advance(at, step.until.as_deref());
        for action in &step.actions {
            run.perform(action);
        }
        for expectation in &step.expect {
            let holds = run.holds(expectation);
            let at = step.at_ms;
            assert!(holds, "{}: at {at} ms: {expectation}", scenario.failure);
        }
    }
    run.fleet.finish();
}

fn read(path: &Path) -> Scenario {
    let text = std::fs::read_to_string(path).expect("readable scenario file");
    toml::from_str(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn number<T: std::str::FromStr>(word: &str) -> T {
    let number = word.parse().ok();
    number.unwrap_or_else(|| panic!("{word} is not a number"))
}

fn group(word: &str) -> GroupId {
    let found = groups().find(|group| group.to_string() == word);
    found.unwrap_or_else(|| panic!("{word} is not a group"))
}

impl ScenarioRun {
    pub(crate) fn new(fleet: Fleet) -> Self {
        let owner = |group: GroupId| (group.to_string(), fleet.acting_owners(group)[0]);
        let owners = groups().map(owner).collect();
        Self { fleet, owners }
    }

    fn node(&self, word: &str) -> usize {
        if let Some(name) = word.strip_prefix('@') {
            let owner = self.owners.iter().find(|(group, _)| group == name);
            return owner.unwrap_or_else(|| panic!("no group for {word}")).1;
        }
        number(word.trim_start_matches('i'))
    }

    fn advance(&mut self, at: u64, until: Option<&str>) {
        while self.fleet.now < at && !until.is_some_and(|until| self.holds(until)) {
            self.fleet.run(STEP_MS);
        }
    }

    pub(crate) fn perform(&mut self, action: &str) {
        let words: Vec<&str> = action.split_whitespace().collect();
        let at = words.get(1).filter(|word| word.starts_with(['i', '@']));
        let at = at.map_or(0, |word| self.node(word));
        let fleet = &mut self.fleet;
        match words[0] {
            "kill" => fleet.nodes[at].terminated = true,
            "restart" => fleet.restart(at),
            "pause" => fleet.nodes[at].paused = true,
            "wake" => fleet.nodes[at].paused = false,
            "stop" => fleet.nodes[at].leaving = true,
            "isolate" => fleet.isolate(at),
            "cut-log" => fleet.nodes[at].log_reachable = false,
            "cut" => {
                let to = self.node(words[2]);
                self.fleet.network.partitioned.insert((at, to));
            }
            "log-down" => fleet.world.condition.down = true,
            "log-up" => fleet.world.condition.down = false,
            "log-slow" => fleet.world.condition.delay_ms = number(words[1]),
            "lose-answers" => fleet.world.condition.lose_results = true,
            "return-answers" => fleet.world.condition.lose_results = false,
            "trim" => fleet.trim(),
            "heal" => fleet.heal(),
            "fail-engine" => fleet.world.engines[number::<usize>(words[1])].fail(),
            "submit" => fleet.submit(at, words[2], number(words[3]), 1),
            "conflict" => fleet.submit(at, words[2], 0, 2),
            "cancel" => fleet.cancel(words[1]),
            "publish" => {
                let current = fleet.nodes[at].freshness.version().0;
                let base = words[3].parse().unwrap_or(current);
                fleet.publish(at, words[2], base, &words[4..].join(" "));
            }
            "race" => {
                let base = fleet.nodes[at].freshness.version().0;
                let document = words[4..].join(" ");
                fleet.publish(at, words[3], base, &document);
                let other = self.node(words[2]);
                let rival = words[3].replace('p', "q");
                self.fleet.publish(other, &rival, base, &document);
            }
            "resend" => {
                if let Some(base) = fleet.oracle.base(words[2]) {
                    fleet.publish(at, words[2], base, &words[3..].join(" "));
                }
            }
            "kill-on-ack" => fleet.kill_on_ack = true,
            "lossy" => {
                fleet.network.loss = number(words[1]);
                fleet.network.max_delay_ms = number(words[2]);
            }
            "online" => fleet.set_online(at, number(words[2]), number(words[3])),
            "run" => fleet.run(number(words[1])),
            other => panic!("unknown action {other}"),
        }
    }

    fn holds(&self, expectation: &str) -> bool {
        let words: Vec<&str> = expectation.split_whitespace().collect();
        let fleet = &self.fleet;
        if words[0] == "not" {
            return !self.holds(&words[1..].join(" "));
        }
        let outcomes = |key: &str| fleet.outcomes_of(key);
        match words[0] {
            "mode" => {
                let mode: ServingMode = fleet.nodes[self.node(words[1])].mode();
                mode.to_string() == words[2]
            }
            "acts" => fleet.acting_owners(group(words[2])) == [self.node(words[1])],
            "owned" => fleet.acting_owners(group(words[1])).len() == 1,
            "submitted" => fleet.acked_submit(words[1]),
            "cancelled" => fleet.acked_cancel(words[1]),
            "accepted" => fleet.oracle.is_accepted(words[1]),
            "completed" => outcomes(words[1]) == number::<usize>(words[2]),
            "completed-above" => outcomes(words[1]) > number::<usize>(words[2]),
            "document" => document(&fleet.nodes[self.node(words[1])]) == words[2..].join(" "),
            "exited" => fleet.nodes[self.node(words[1])].terminated,
            "offers" => {
                let node = &fleet.nodes[self.node(words[1])];
                let other = &fleet.nodes[self.node(words[2])].own.instance;
                node.members.serving_peers(node.clock).any(|id| id == other)
            }
            other => panic!("unknown expectation {other}"),
        }
    }
}
