//! Least squares fit of a line, with the standard error of its slope.

use serde::{Deserialize, Serialize};

/// A line through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Growth of y for each unit of x.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Standard error of the slope; `None` with fewer than three points.
    pub slope_error: Option<f64>,
    /// Share of the variance explained; 1 for points on a line.
    pub r_squared: f64,
    /// How many points.
    pub points: usize,
}

/// Fits a line; `None` unless there are two different x.
#[must_use]
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let spread_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let spread_y: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
    let spread_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    if points.len() < 2 || spread_x <= 0.0 {
        return None;
    }
    let slope = spread_xy / spread_x;
    let intercept = mean_y - slope * mean_x;
    let residual: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
    let slope_error = (points.len() > 2).then(|| (residual / (count - 2.0) / spread_x).sqrt());
    let r_squared = if spread_y > 0.0 { 1.0 - residual / spread_y } else { 1.0 };
    Some(Line { slope, intercept, slope_error, r_squared, points: points.len() })
}
