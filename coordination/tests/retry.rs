//! Retries of online requests, retry budgets and attempt ids.

use std::collections::BTreeSet;

use limpetweir_coordination::{
    AttemptId,
    Failure,
    MAX_ONLINE_ATTEMPTS,
    OnlineAttemptIds,
    RetryBudget,
    RetryDecision,
    RetryRefusal, //
};
use limpetweir_state::{
    Incarnation,
    OrganisationId,
    Verdict, //
};
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

const FIRST: Failure = Failure {
    verdict: Verdict::NotRun,
    idempotent: false,
    answered: false,
    attempts: 1,
};

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::try_from(name).expect("valid name")
}

/// Guards against a non-idempotent request that runs twice, an answer that starts twice, and a
/// failure that may be retried but is not.
#[rstest]
#[case(Verdict::NotRun, false, false, None)]
#[case(Verdict::NotRun, true, false, None)]
#[case(Verdict::MayHaveRun, true, false, None)]
#[case(Verdict::MayHaveRun, false, false, Some(RetryRefusal::Verdict))]
#[case(Verdict::Ran, true, false, Some(RetryRefusal::Verdict))]
#[case(Verdict::Ran, false, false, Some(RetryRefusal::Verdict))]
#[case(Verdict::MayHaveRun, true, true, Some(RetryRefusal::Answered))]
#[case(Verdict::NotRun, true, true, Some(RetryRefusal::Answered))]
fn verdict_decides(
    #[case] verdict: Verdict,
    #[case] idempotent: bool,
    #[case] answered: bool,
    #[case] refusal: Option<RetryRefusal>,
) {
    let failure = Failure {
        verdict,
        idempotent,
        answered,
        attempts: 1,
    };
    let decision = RetryBudget::default().on_failure(&organisation("o"), &failure);
    let expected = refusal.map_or(RetryDecision::Retry, RetryDecision::Stop);
    assert_eq!(decision, expected);
}

/// Guards against a request that is retried without limit.
#[test]
fn attempts_are_bounded() {
    let mut budget = RetryBudget::default();
    let organisation = organisation("o");
    for _ in 0..1_000 {
        budget.on_request(&organisation);
    }
    let mut attempts = 1;
    let last = loop {
        let failure = Failure { attempts, ..FIRST };
        match budget.on_failure(&organisation, &failure) {
            RetryDecision::Retry => attempts += 1,
            RetryDecision::Stop(refusal) => break refusal,
        }
    };
    assert_eq!(
        (attempts, last),
        (MAX_ONLINE_ATTEMPTS, RetryRefusal::Attempts)
    );
}

/// Guards against a retry storm. Whatever fails, retries are at most 10% of the requests plus the
/// one initial retry.
#[rstest]
fn retries_stay_within_the_budget(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::default();
    let organisation = organisation("o");
    let (mut requests, mut retries) = (0, 0);
    for _ in 0..10_000 {
        if rng.random_bool(0.4) {
            requests += 1;
            budget.on_request(&organisation);
        } else if budget.on_failure(&organisation, &FIRST) == RetryDecision::Retry {
            retries += 1;
        }
        assert!(retries * 10 <= requests + 10, "{retries} of {requests}");
    }
    // The whole budget is usable.
    assert!(retries * 10 >= requests - 10);
}

/// Guards against a budget that grows without limit while nothing fails and allows a retry storm.
#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::default();
    let organisation = organisation("o");
    for _ in 0..100_000 {
        budget.on_request(&organisation);
    }
    let mut retries = 0;
    while budget.on_failure(&organisation, &FIRST) == RetryDecision::Retry {
        retries += 1;
    }
    assert_eq!(retries, 20);
}

/// Guards against an organisation whose failures exhaust the retries of another.
#[test]
fn organisations_have_separate_budgets() {
    let mut budget = RetryBudget::default();
    let (failing, other) = (organisation("failing"), organisation("other"));
    while budget.on_failure(&failing, &FIRST) == RetryDecision::Retry {}
    let stop = RetryDecision::Stop(RetryRefusal::Budget);
    assert_eq!(budget.on_failure(&failing, &FIRST), stop);
    assert_eq!(budget.on_failure(&other, &FIRST), RetryDecision::Retry);
    budget.retain(|id| *id == failing);
    assert_eq!(budget.on_failure(&failing, &FIRST), stop);
}

/// Guards against assigning an answer to the wrong attempt.
#[test]
fn attempt_ids_are_unique() {
    let mut seen = BTreeSet::new();
    for (instance, started) in [("a", 1), ("a", 11), ("a-1", 1), ("jobs-1", 1)] {
        let own = Incarnation {
            instance: instance.try_into().unwrap(),
            started,
        };
        let mut ids = OnlineAttemptIds::new(own);
        for _ in 0..200 {
            let id = ids.next_id();
            assert!(id.is_echoed_by(Some(id.as_str())));
            assert!(!id.is_echoed_by(None) && !id.is_echoed_by(Some("")));
            assert!(id.as_str().parse::<AttemptId>().is_err());
            assert!(seen.insert(id.to_string()), "{id} was used before");
        }
    }
}
