//! Plots of lines as SVG text.

use std::fmt::Write;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 320.0;
const LEFT: f64 = 64.0;
const RIGHT: f64 = 150.0;
const TOP: f64 = 28.0;
const BOTTOM: f64 = 44.0;
const TICKS: u32 = 5;
const COLOURS: &[&str] =
    &["#1b6ca8", "#c8553d", "#4f772d", "#7b2d8b", "#b8860b", "#2a9d8f", "#444444", "#e07a9b"];

/// How an axis is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// Evenly.
    Linear,
    /// By powers of ten; values must be above 0.
    Log,
    /// Percentiles, stretched towards 100.
    Percentile,
}

impl Scale {
    fn map(self, value: f64) -> f64 {
        match self {
            Self::Linear => value,
            Self::Log => value.max(1e-9).log10(),
            Self::Percentile => -(1.0 - value / 100.0).max(1e-6).log10(),
        }
    }

    fn ticks(self, low: f64, high: f64) -> Vec<f64> {
        match self {
            Self::Linear => {
                let step = (high - low) / f64::from(TICKS);
                (0..=TICKS).map(|n| low + step * f64::from(n)).collect()
            }
            Self::Log => log_ticks(low, high),
            Self::Percentile => vec![0.0, 50.0, 90.0, 99.0, 99.9, 99.99],
        }
    }
}

fn log_ticks(low: f64, high: f64) -> Vec<f64> {
    let (first, last) = (low.log10().floor() as i32, high.log10().ceil() as i32);
    let decade = |power: i32| [1.0, 2.0, 5.0].map(|step| step * 10_f64.powi(power));
    let ticks = (first..=last).flat_map(decade);
    ticks.filter(|tick| (low..=high).contains(tick)).collect()
}

/// A line with its name in the legend.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points in the order of x.
    pub points: Vec<(f64, f64)>,
    /// Drawn with gaps.
    pub dashed: bool,
    /// Number of its colour.
    pub colour: usize,
}

/// A plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Plot {
    /// Title.
    pub title: String,
    /// Name of the x axis, with its unit.
    pub x_label: String,
    /// Name of the y axis, with its unit.
    pub y_label: String,
    /// Scale of x.
    pub x_scale: Scale,
    /// Scale of y.
    pub y_scale: Scale,
    /// Lines.
    pub series: Vec<Series>,
    /// Vertical marks with their names, at values of x.
    pub marks: Vec<(f64, String)>,
}

/// Least and most of an axis.
#[derive(Clone, Copy)]
struct Range {
    low: f64,
    high: f64,
}

impl Range {
    fn of(values: impl Iterator<Item = f64>, scale: Scale) -> Self {
        let usable = values.filter(|value| scale != Scale::Log || *value > 0.0);
        let (mut low, mut high) = (f64::INFINITY, f64::NEG_INFINITY);
        for value in usable {
            (low, high) = (low.min(value), high.max(value));
        }
        if !low.is_finite() {
            (low, high) = (1.0, 10.0);
        }
        if scale == Scale::Linear {
            low = low.min(0.0);
        }
        if low >= high {
            high = low + 1.0;
        }
        Self { low, high }
    }

    fn share(self, scale: Scale, value: f64) -> f64 {
        let (low, high) = (scale.map(self.low), scale.map(self.high));
        (scale.map(value) - low) / (high - low)
    }
}

/// Draws a plot.
#[must_use]
pub fn draw(plot: &Plot) -> String {
    let xs = plot.series.iter().flat_map(|series| series.points.iter().map(|point| point.0));
    let ys = plot.series.iter().flat_map(|series| series.points.iter().map(|point| point.1));
    let pen = Pen {
        plot,
        x: Range::of(xs, plot.x_scale),
        y: Range::of(ys, plot.y_scale),
        text: String::new(),
    };
    pen.draw()
}

struct Pen<'a> {
    plot: &'a Plot,
    x: Range,
    y: Range,
    text: String,
}

impl Pen<'_> {
    fn draw(mut self) -> String {
        self.put(format_args!(
            "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" font-family=\"sans-serif\" font-size=\"11\">"
        ));
        let title = escape(&self.plot.title);
        self.put(format_args!("<text x=\"{LEFT}\" y=\"16\" font-weight=\"bold\">{title}</text>"));
        self.axes();
        self.marks();
        for (row, series) in self.plot.series.iter().enumerate() {
            self.line(series);
            self.legend(row, series);
        }
        self.put(format_args!("</svg>"));
        self.text
    }

    fn put(&mut self, line: std::fmt::Arguments<'_>) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.text, "{line}");
    }

    fn at_x(&self, value: f64) -> f64 {
        LEFT + self.x.share(self.plot.x_scale, value) * (WIDTH - LEFT - RIGHT)
    }

    fn at_y(&self, value: f64) -> f64 {
        HEIGHT - BOTTOM - self.y.share(self.plot.y_scale, value) * (HEIGHT - TOP - BOTTOM)
    }

    fn axes(&mut self) {
        let (right, floor) = (WIDTH - RIGHT, HEIGHT - BOTTOM);
        for tick in self.plot.y_scale.ticks(self.y.low, self.y.high) {
            let y = self.at_y(tick);
            self.put(format_args!(
                "<path d=\"M{LEFT} {y:.1}H{right}\" stroke=\"#ddd\"/>\
                 <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>",
                LEFT - 6.0,
                y + 4.0,
                number(tick)
            ));
        }
        for tick in self.plot.x_scale.ticks(self.x.low, self.x.high) {
            if !(self.x.low..=self.x.high).contains(&tick) {
                continue;
            }
            let x = self.at_x(tick);
            self.put(format_args!(
                "<path d=\"M{x:.1} {TOP}V{floor}\" stroke=\"#eee\"/>\
                 <text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{}</text>",
                floor + 15.0,
                number(tick)
            ));
        }
        let (x_label, y_label) = (escape(&self.plot.x_label), escape(&self.plot.y_label));
        self.put(format_args!(
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{x_label}</text>\
             <text transform=\"translate(14 {:.1}) rotate(-90)\" text-anchor=\"middle\">{y_label}</text>",
            f64::midpoint(LEFT, right),
            HEIGHT - 10.0,
            f64::midpoint(TOP, floor)
        ));
    }

    fn marks(&mut self) {
        for (at, name) in &self.plot.marks {
            let (x, floor) = (self.at_x(*at), HEIGHT - BOTTOM);
            let name = escape(name);
            self.put(format_args!(
                "<path d=\"M{x:.1} {TOP}V{floor}\" stroke=\"#a00\" stroke-dasharray=\"2 3\"/>\
                 <text transform=\"translate({:.1} {:.1}) rotate(-90)\" fill=\"#a00\" \
                 text-anchor=\"end\" font-size=\"9\">{name}</text>",
                x + 9.0,
                TOP + 2.0
            ));
        }
    }

    fn line(&mut self, series: &Series) {
        let usable = |point: &&(f64, f64)| self.plot.y_scale != Scale::Log || point.1 > 0.0;
        let points: Vec<String> = series
            .points
            .iter()
            .filter(usable)
            .map(|(x, y)| format!("{:.1},{:.1}", self.at_x(*x), self.at_y(*y)))
            .collect();
        let colour = COLOURS[series.colour % COLOURS.len()];
        let dash = if series.dashed { " stroke-dasharray=\"5 4\"" } else { "" };
        self.put(format_args!(
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.6\"{dash} points=\"{}\"/>",
            points.join(" ")
        ));
    }

    fn legend(&mut self, row: usize, series: &Series) {
        let (x, y) = (WIDTH - RIGHT + 8.0, TOP + 8.0 + 15.0 * row as f64);
        let colour = COLOURS[series.colour % COLOURS.len()];
        let dash = if series.dashed { " stroke-dasharray=\"5 4\"" } else { "" };
        let name = escape(&series.name);
        self.put(format_args!(
            "<path d=\"M{x} {y}h16\" stroke=\"{colour}\" stroke-width=\"2\"{dash}/>\
             <text x=\"{:.1}\" y=\"{:.1}\" font-size=\"10\">{name}</text>",
            x + 20.0,
            y + 4.0
        ));
    }
}

fn number(value: f64) -> String {
    if value != 0.0 && value.abs() < 10.0 && value.fract() != 0.0 {
        return format!("{value:.2}");
    }
    let text = format!("{value:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Escapes text for XML and HTML.
#[must_use]
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
