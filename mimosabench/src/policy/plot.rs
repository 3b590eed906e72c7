//! Plots of the benchmark results.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::measure::{Recovery, Throughput};
use super::run::Policy;
use super::tally::BIN;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (720, 360);
/// Time shown before and after a fault, in seconds.
const TIME_RANGE: (f64, f64) = (3.0, 10.0);
/// Bins averaged into one point of a curve.
const POINT_BINS: usize = 5;

/// Writes a throughput plot per mix and a recovery plot per mix and fault to
/// `folder`.
pub fn draw(
    folder: &Path,
    throughputs: &[Throughput],
    recoveries: &[Recovery],
) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let mut mixes: Vec<&str> = throughputs.iter().map(|row| row.mix).collect();
    mixes.dedup();
    for mix in mixes {
        let rows: Vec<_> = throughputs.iter().filter(|row| row.mix == mix).collect();
        draw_throughput(&folder.join(format!("throughput-{mix}.svg")), mix, &rows)?;
    }
    for row in recoveries.iter().filter(|row| row.policy == Policy::Library) {
        let same = |other: &&Recovery| other.mix == row.mix && other.fault == row.fault;
        let rows: Vec<_> = recoveries.iter().filter(same).collect();
        let file = format!("recovery-{}-{}.svg", row.mix, row.fault.name());
        draw_recovery(&folder.join(file), row, &rows)?;
    }
    Ok(())
}

fn draw_throughput(path: &Path, mix: &str, rows: &[&Throughput]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("Throughput, {mix}"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.4..1.3, 0.0..1.1)?;
    chart.configure_mesh().x_desc("offered, of the bound").y_desc("served, of the bound").draw()?;
    for (policy, color) in [(Policy::Library, BLUE), (Policy::Naive, RED)] {
        let of = rows.iter().filter(|row| row.policy == policy);
        let points: Vec<(f64, f64)> = of.map(|row| (row.load, row.of_bound)).collect();
        let line = LineSeries::new(points, color.stroke_width(2)).point_size(3);
        chart
            .draw_series(line)?
            .label(format!("{policy:?}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    let ideal = [(0.4, 0.4), (1.0, 1.0), (1.3, 1.0)];
    chart.draw_series(LineSeries::new(ideal, BLACK.mix(0.4)))?;
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn draw_recovery(path: &Path, shown: &Recovery, rows: &[&Recovery]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let curves: Vec<(Policy, Vec<(f64, f64)>)> =
        rows.iter().map(|row| (row.policy, curve(row))).collect();
    let highest = curves.iter().flat_map(|(_, points)| points).map(|point| point.1);
    let highest = highest.fold(1.0, f64::max);
    let title = format!("Flow around the loss: {}, {}", shown.fault.name(), shown.mix);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(-TIME_RANGE.0..TIME_RANGE.1, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds after the fault")
        .y_desc("correct tokens a second")
        .draw()?;
    for (policy, points) in curves {
        let color = if policy == Policy::Library { BLUE } else { RED };
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(format!("{policy:?}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// Tokens per second by time relative to the fault.
fn curve(row: &Recovery) -> Vec<(f64, f64)> {
    let bin = BIN.as_secs_f64();
    let fault = row.at.as_micros() as f64 / 1e6;
    let means = row.tally.flow.windows(POINT_BINS).enumerate().map(|(first, bins)| {
        let middle = (first as f64 + POINT_BINS as f64 / 2.0) * bin - fault;
        (middle, f64::from(bins.iter().sum::<u32>()) / (POINT_BINS as f64 * bin))
    });
    means.filter(|(at, _)| (-TIME_RANGE.0..TIME_RANGE.1).contains(at)).collect()
}
