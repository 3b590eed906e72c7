//! Formats measured series as tables.

use super::Series;

/// Formats a table for the terminal.
pub fn to_text(all: &[Series]) -> String {
    let row = |series: &Series| {
        let line = series.line();
        format!(
            "{:<14} {:<34} {:>12} {:>12} {:>10}  {} by {}\n{:<14} {}\n",
            series.role,
            series.quantity,
            number(line.base),
            number(line.slope),
            number(line.residual),
            series.unit,
            series.size,
            "",
            points(series),
        )
    };
    let head = format!(
        "{:<14} {:<34} {:>12} {:>12} {:>10}  {}\n",
        "role", "quantity", "base", "slope", "residual", "unit"
    );
    head + &all.iter().map(row).collect::<String>()
}

/// Formats a Markdown table.
pub fn to_markdown(all: &[Series]) -> String {
    let row = |series: &Series| {
        let line = series.line();
        format!(
            "| {} | {}, {} | {} | {} | {} | {} | {} |\n",
            series.role,
            series.quantity,
            series.unit,
            series.size,
            number(line.base),
            number(line.slope),
            number(line.residual),
            points(series),
        )
    };
    let head = "| Role | Quantity, unit | Size | Base | Slope | Residual | Size: value |\n\
                |---|---|---|---|---|---|---|\n";
    head.to_owned() + &all.iter().map(row).collect::<String>()
}

fn points(series: &Series) -> String {
    let point = |(size, value): &(f64, f64)| format!("{size}: {}", number(*value));
    series.points.iter().map(point).collect::<Vec<_>>().join(", ")
}

/// Formats a value with four significant digits and without an exponent.
fn number(value: f64) -> String {
    let magnitude = if value == 0.0 { 0.0 } else { value.abs().log10().floor() };
    let decimals = (3.0 - magnitude).clamp(0.0, 6.0) as usize;
    format!("{value:.decimals$}")
}
