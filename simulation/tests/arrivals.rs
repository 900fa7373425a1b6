//! Tests of the arrivals that a plan and a seed generate.

use std::time::Duration;

use limpetweir_simulation::{
    Arrival,
    Plan,
    arrivals, //
};

mod support;

use support::PLAN;

const SEEDS: u64 = 40;

fn plan(text: &str) -> Plan {
    Plan::try_from(text).expect("the plan is accepted")
}

/// Mean number of requests of the first class per day, of an organisation and in a span of seconds.
fn mean(plan: &Plan, organisation: usize, from: u64, to: u64) -> f64 {
    let span = Duration::from_secs(from)..Duration::from_secs(to);
    let counted =
        |a: &Arrival| a.class == 0 && a.organisation == organisation && span.contains(&a.at);
    let days = (0..SEEDS).map(|seed| arrivals(plan, seed).iter().filter(|a| counted(a)).count());
    days.sum::<usize>() as f64 / SEEDS as f64
}

// Guards against arrivals that differ between runs, so that no figure could be repeated.
#[test]
fn a_seed_determines_the_arrivals() {
    let plan = plan(PLAN);
    assert_eq!(arrivals(&plan, 7), arrivals(&plan, 7));
    assert_ne!(arrivals(&plan, 7), arrivals(&plan, 8));
}

// Guards against rates that ignore steps, their repetition, shares or load patterns.
#[test]
fn rates_follow_steps_shares_and_load_patterns() {
    let plan = plan(PLAN);
    let expected = [
        // Organisation, span, requests: rate x share x factor x seconds.
        (0, 0, 2, 10.0 * 2.0 / 3.0 * 2.0),
        (0, 2, 4, 30.0 * 2.0 / 3.0 * 2.0),
        (0, 4, 6, 3.0 * 10.0 * 2.0 / 3.0 * 2.0),
        (1, 5, 6, 3.0 * 5.0 * 10.0 / 3.0),
        (1, 6, 7, 5.0 * 30.0 / 3.0),
        (1, 8, 10, 10.0 / 3.0 * 2.0),
    ];
    for (organisation, from, to, expected) in expected {
        let mean = mean(&plan, organisation, from, to);
        // Four standard deviations of the mean of Poisson counts.
        let tolerance = 4.0 * (expected / SEEDS as f64).sqrt();
        assert!(
            (mean - expected).abs() < tolerance,
            "{from}..{to}: {mean}, not {expected}"
        );
    }
}

// Guards against gaps that are not exponential, such as even ones, which would hide queues.
#[test]
fn gaps_are_exponential() {
    let text = PLAN.split("[[load]]").next().expect("the plan has loads");
    let text = text.replace("[[0.0, 10.0], [2.0, 30.0]]", "[[0.0, 60.0]]");
    let plan = plan(&text);
    let mut gaps = Vec::new();
    for seed in 0..SEEDS {
        let mut times = arrivals(&plan, seed);
        times.retain(|a| a.class == 0 && a.organisation == 0);
        gaps.extend(times.windows(2).map(|w| (w[1].at - w[0].at).as_secs_f64()));
    }
    let count = gaps.len() as f64;
    let mean = gaps.iter().sum::<f64>() / count;
    let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / count;
    assert!((mean * 40.0 - 1.0).abs() < 0.05, "mean {mean}");
    assert!(
        (variance.sqrt() / mean - 1.0).abs() < 0.05,
        "{variance} {mean}"
    );
}

// Guards against sizes beyond their range and jobs whose items arrive apart.
#[test]
fn sizes_keep_to_their_range_and_items_arrive_together() {
    let plan = plan(PLAN);
    let all = arrivals(&plan, 1);
    assert!(all.windows(2).all(|w| w[0].at <= w[1].at));
    for a in &all {
        assert!(a.at < plan.length);
        assert!(f64::from(a.prompt_tokens) <= plan.classes[a.class].prompt_tokens.max);
        assert!(f64::from(a.output_events) <= plan.classes[a.class].output_events.max);
        assert!(a.prompt_tokens >= 1 && a.output_events >= 1);
        let job =
            |b: &&Arrival| a.job.is_some() && (b.organisation, b.job) == (a.organisation, a.job);
        assert!(all.iter().filter(job).all(|b| b.at == a.at));
    }
}

// Guards against a load pattern that changes the requests of other classes and organisations.
#[test]
fn a_load_pattern_leaves_others_as_they_were() {
    let calm = plan(PLAN.split("[[load]]").next().expect("the plan has loads"));
    let hot = plan(&PLAN.replacen("class = \"all\"", "class = \"sheets\"", 1));
    let others = |plan: &Plan| -> Vec<Arrival> {
        let mut all = arrivals(plan, 3);
        all.retain(|a| a.class == 0 && a.organisation == 0);
        all.iter_mut().for_each(|a| a.within_limit = true);
        all
    };
    assert_eq!(others(&calm), others(&hot));
}

// Guards against limits that are not applied, or to organisations without one.
#[test]
fn requests_beyond_the_limit_are_marked() {
    let plan = plan(PLAN);
    let all = arrivals(&plan, 5);
    assert!(all.iter().all(|a| a.organisation == 0 || a.within_limit));
    let within = all.iter().filter(|a| a.organisation == 0 && a.within_limit);
    let requests = within.clone().filter(|a| a.job.is_none()).count() as f64;
    let refused = all.iter().filter(|a| !a.within_limit).count();
    assert!(requests <= 9.0 + 20.0 * 10.0, "{requests} requests");
    assert!(refused > 0, "none beyond the limit");
}
