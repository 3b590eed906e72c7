//! Series of measurements of one quantity.

use super::Line;

/// One quantity of one role, measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Role of the router.
    pub role: &'static str,
    /// Name of the measured quantity.
    pub quantity: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Name of the size dimension.
    pub size: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    /// Line fitted to the points.
    pub fn line(&self) -> Line {
        Line::fit(&self.points)
    }
}

/// Measures one quantity at each size.
pub(super) fn series(
    [role, quantity, unit, size]: [&'static str; 4],
    sizes: &[usize],
    mut value: impl FnMut(usize) -> f64,
) -> Series {
    let points = sizes.iter().map(|&size| (size as f64, value(size))).collect();
    Series { role, quantity, unit, size, points }
}
