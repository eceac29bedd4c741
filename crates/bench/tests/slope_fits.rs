//! Lines through points of samples.

use {
    std::collections::BTreeMap,
    sycamorerail_bench::{
        sample::Point,
        scrape::Series,
        slopes::{By, fit, markdown},
    },
};

const BEATS: &str = "sycamorerail_agent_control_messages_total{message=\"beat\"}";

fn point(agents: f64, beats: Option<f64>) -> Point {
    let usage: Vec<_> = (0..agents as u16)
        .map(|n| serde_json::json!({"name": format!("agent-{n}"), "role": "agent", "cpu_s": 0.5, "end": null}))
        .collect();
    let series = beats.map(|beats| (BEATS.to_owned(), beats)).into_iter().collect();
    Point {
        agents,
        entries: 2.0,
        organisations: 1.0,
        starts_per_s: 0.0,
        kept_answers: 0.0,
        window_s: 10.0,
        usage: serde_json::from_value(usage.into()).unwrap(),
        counters: BTreeMap::from([("agent".to_owned(), Series(series))]),
    }
}

#[test]
fn missing_counter() {
    let points = [point(2.0, None), point(4.0, Some(80.0)), point(6.0, Some(240.0))];
    let fits = fit(&points, By::Agents);
    let beats = fits.iter().find(|fit| fit.measure.contains("beat")).unwrap();
    // A second and a process: 0, 2 and 4.
    assert_eq!(beats.points, [(2.0, 0.0), (4.0, 2.0), (6.0, 4.0)]);
    assert!((beats.line.unwrap().slope - 1.0).abs() < 1e-9);
    let cpu = fits.iter().find(|fit| fit.measure == "cpu_share").unwrap();
    assert_eq!(cpu.points[0], (2.0, 0.05));
    assert!(markdown(&fits, By::Agents).contains("| agent | `cpu_share` |"));
}

#[test]
fn names_of_axes() {
    assert_eq!("agents".parse::<By>().unwrap(), By::Agents);
    assert!("agent".parse::<By>().unwrap_err().to_string().contains("starts_per_s"));
}
