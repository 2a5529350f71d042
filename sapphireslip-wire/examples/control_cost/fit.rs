//! A straight line through measured points.

use serde::Serialize;

/// One measured point.
pub struct Point {
    /// What was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// The line of least squares, and how far the points are off it.
#[derive(Serialize)]
pub struct Fit {
    /// The measured quantity at zero.
    pub at_zero: f64,
    /// Its growth for one more.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The root of the mean squared distance of the points from the line.
    pub residual: f64,
}

impl Fit {
    /// Returns the fit of at least three points.
    pub fn of(points: &[Point]) -> Self {
        let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX));
        let mean = |get: fn(&Point) -> f64| points.iter().map(get).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.x), mean(|point| point.y));
        let spread: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let products = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y));
        let slope = products.sum::<f64>() / spread;
        let at_zero = slope.mul_add(-mean_x, mean_y);
        let squared_error = |point: &Point| (point.y - slope.mul_add(point.x, at_zero)).powi(2);
        let squares: f64 = points.iter().map(squared_error).sum();
        Self {
            at_zero,
            slope,
            slope_error: (squares / (count - 2.0) / spread).sqrt(),
            residual: (squares / count).sqrt(),
        }
    }
}
