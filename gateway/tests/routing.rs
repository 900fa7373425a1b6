//! Routing and authentication by the configuration.

use std::time::Duration;

use limpetweir_gateway::{
    CallHead,
    Configuration,
    ConfigurationParts,
    Denial,
    Destination,
    JobCall,
    Organisation,
    Route,
    RouteKind,
    destination, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

fn route(name: &str, public: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: "one.example".to_owned(),
        prefix: format!("/{name}/"),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(300),
        attempts: 1,
        priority: 0,
        public,
        resumable: false,
        services: vec![("s1".to_owned(), 1)],
        batch: None,
    }
}

fn config() -> Configuration {
    with_routes(1, &["open", "closed"])
}

/// Returns a configuration with these routes, of which `open` is public.
fn with_routes(version: u64, routes: &[&str]) -> Configuration {
    let organisation = Organisation {
        name: "org".to_owned(),
        keys: vec!["key-1".to_owned()],
        rate: None,
        burst: 0.0,
        priority: None,
    };
    Configuration::from(ConfigurationParts {
        version,
        routes: routes.iter().map(|r| route(r, *r == "open")).collect(),
        organisations: vec![organisation],
        ..ConfigurationParts::default()
    })
}

fn job_call(path: &str) -> Option<JobCall> {
    let job = path.strip_prefix("/job/")?.to_owned();
    Some(JobCall::End { job })
}

/// Returns the name of the route or job, and the organisation.
fn describe(found: Result<Destination, Denial>) -> Result<(String, Option<String>), Denial> {
    let name = |organisation: &Organisation| organisation.name.clone();
    found.map(|found| match found {
        Destination::Route {
            route,
            organisation,
        } => (route.name.clone(), organisation.as_deref().map(name)),
        Destination::Job { call, organisation } => {
            let JobCall::End { job } = call else {
                return (String::new(), None);
            };
            (job, Some(name(&organisation)))
        }
    })
}

/// Guards against requests that run without a key, and against a denial with the wrong status.
#[rstest]
#[case::public_route("one.example", "/open/1", None, Ok(("open", None)))]
#[case::public_route_with_key("one.example", "/open/1", Some("key-1"), Ok(("open", Some("org"))))]
#[case::route("one.example", "/closed/1", Some("key-1"), Ok(("closed", Some("org"))))]
#[case::route_without_key("one.example", "/closed/1", None, Err(Denial::UnknownKey))]
#[case::route_with_unknown_key("one.example", "/closed/1", Some("no"), Err(Denial::UnknownKey))]
#[case::job("one.example", "/job/j", Some("key-1"), Ok(("j", Some("org"))))]
#[case::job_with_unknown_key("one.example", "/job/j", Some("no"), Err(Denial::UnknownKey))]
#[case::no_route("one.example", "/none/1", Some("key-1"), Err(Denial::NoRoute))]
#[case::no_route_nor_key("one.example", "/none/1", None, Err(Denial::NoRoute))]
#[case::job_at_unknown_host("two.example", "/job/j", Some("key-1"), Err(Denial::NoRoute))]
fn requests_are_routed_and_authenticated(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<(&str, Option<&str>), Denial>,
) {
    let head = CallHead {
        host: host.to_owned(),
        key: key.map(str::to_owned),
        ..CallHead::default()
    };
    let found = destination(&config(), &head, path, || job_call(path));
    let expected =
        expected.map(|(name, organisation)| (name.to_owned(), organisation.map(str::to_owned)));
    assert_eq!(describe(found), expected);
}

/// A request is sent just before the end of the two seconds in which another instance may use the version that
/// has its route, and is decided about 200 ms later. Guards against its denial.
#[test]
fn a_request_that_was_sent_in_time_is_not_denied() {
    let mut config = with_routes(2, &["closed"]);
    config.replaces(&with_routes(1, &["open", "closed"]), Timestamp::default());
    let head = CallHead {
        host: "one.example".to_owned(),
        ..CallHead::default()
    };
    let Err(denial) = destination(&config, &head, "/open/1", || None) else {
        panic!("the route is removed");
    };
    let decided = Timestamp::default() + Duration::from_millis(2_200);
    assert!(denial.allowed_until() > Some(decided), "{denial:?}");
}
