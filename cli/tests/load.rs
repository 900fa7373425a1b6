//! Load over time, computed from log lines.

use limpetweir::load::{
    Curve,
    LoadSeries, //
};
use limpetweir::trace::Line;

const LOG: &str = r#"
one 100.500 INFO LW2501 request=r1 status=200 backend=i-1 first_ms=150 ms=400 events=3
one 100.450 WARN LW2502 request=r2 status=503 cause=full route=a tried=1 retry_after_ms=400
two 100.900 INFO LW2604 item=i job=j backend=i-1 end=completed events=9 ms=5000 cause=""
two 107.000 INFO LW2501 request=r3 status=200 backend=i-1 first_ms=1 ms=2 events=3
"#;

fn lines() -> Vec<Line> {
    LOG.lines()
        .filter_map(|raw| Line::parse("file", raw))
        .collect()
}

/// Guards against requests that are counted before they arrive, after they end, or outside the
/// plotted time.
#[test]
fn requests_are_counted_while_they_run() {
    let series = LoadSeries::of(&lines(), 100_000, 101_000);
    let values = |curve| series.values(curve).collect::<Vec<_>>();
    assert_eq!(values(Curve::Waiting), [0, 1, 1, 0, 0, 0, 0, 0, 0, 0]);
    assert_eq!(values(Curve::Streaming), [0, 0, 1, 1, 1, 1, 0, 0, 0, 0]);
    assert_eq!(values(Curve::Items), [1; 10]);
    assert_eq!(values(Curve::Refused), [0, 0, 0, 0, 1, 0, 0, 0, 0, 0]);
    assert_eq!(values(Curve::Failed), [0; 10]);
}

/// Guards against a plot that lacks a curve, and a drawing error for a time without lines.
#[test]
fn every_curve_is_drawn() {
    let file = std::env::temp_dir().join(format!("limpetweir-peak-{}.svg", std::process::id()));
    for (from, to) in [(100_000, 101_000), (200_000, 200_050)] {
        LoadSeries::of(&lines(), from, to)
            .draw(&file)
            .expect("a plot");
        let svg = std::fs::read_to_string(&file).expect("the plot");
        for name in ["waiting", "streaming", "items", "refused", "failed"] {
            assert!(svg.contains(name), "{name}");
        }
    }
    std::fs::remove_file(&file).expect("the plot");
}
