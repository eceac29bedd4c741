//! Plots and spreads of reports.

use sycamorerail_bench::report::{
    Spread,
    svg::{Plot, Scale, Series, draw, escape},
};

#[test]
fn spread_of_seeds() {
    let spread = Spread::of([3.0, 1.0, 2.0]);
    assert_eq!((spread.least, spread.median, spread.most), (1.0, 2.0, 3.0));
    assert_eq!(Spread::of([1.0, 2.0]).median, 1.5);
    assert_eq!(Spread::of([]).median, 0.0);
}

#[test]
fn plot_within_frame() {
    let series = Series {
        name: "a <b>".to_owned(),
        points: vec![(1.0, 10.0), (99.0, 1_000.0)],
        dashed: false,
        colour: 0,
    };
    let plot = Plot {
        title: "t".to_owned(),
        x_label: "x".to_owned(),
        y_label: "y".to_owned(),
        x_scale: Scale::Percentile,
        y_scale: Scale::Log,
        series: vec![series],
        marks: vec![(50.0, "kill".to_owned())],
    };
    let svg = draw(&plot);
    assert!(svg.contains("points=\"64.0,276.0 570.0,28.0\""));
    assert!(svg.contains("a &lt;b&gt;") && svg.contains("kill"));
}

#[test]
fn escaped_text() {
    assert_eq!(escape("<a & \"b\">"), "&lt;a &amp; &quot;b&quot;&gt;");
}

#[test]
fn plot_without_points() {
    let plot = Plot {
        title: String::new(),
        x_label: String::new(),
        y_label: String::new(),
        x_scale: Scale::Linear,
        y_scale: Scale::Linear,
        series: Vec::new(),
        marks: Vec::new(),
    };
    assert!(!draw(&plot).contains("NaN"));
}
