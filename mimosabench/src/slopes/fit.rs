//! Least-squared_error line fit.

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub base: f64,
    /// Increase in value per unit of size.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
}

impl Line {
    /// Least-squared_error fit through `points`, which must have at least two different
    /// sizes.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let base = mean_y - slope * mean_x;
        let squared_error: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        Self { base, slope, residual: (squared_error / count).sqrt() }
    }

    /// The value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
