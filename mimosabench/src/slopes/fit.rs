//! Least squares.

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Value that each unit of size adds.
    pub slope: f64,
    /// Root mean square of what the line leaves unexplained.
    pub residual: f64,
}

impl Line {
    /// The line with the least sum of squared deviations from `points`, which
    /// have at least two different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = common / spread;
        let base = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        Self { base, slope, residual: (squares / count).sqrt() }
    }

    /// The value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
