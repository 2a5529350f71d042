//! Fits a straight line to measured points by least squares.

use serde::Serialize;

/// One measured point.
pub struct Point {
    /// The value of the varied quantity.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// The line of least squares through some points, and how well it fits them.
#[derive(Serialize)]
pub struct Fit {
    /// The value of the line where the varied quantity is 0.
    pub at_zero: f64,
    /// The growth of the line for each unit of the varied quantity.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The root mean square of the vertical distances of the points from the line.
    pub residual: f64,
}

impl Fit {
    /// Returns the fit of the points, of which there must be at least three.
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
