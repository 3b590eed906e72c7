//! Text output of the benchmark results.

use std::fmt::Write as _;
use std::time::Duration;

use super::call::End;
use super::measure::{Recovery, Throughput};
use super::tally::Tally;

/// Formats throughput runs as a Markdown table.
pub fn throughputs(rows: &[Throughput]) -> String {
    let mut text = String::from(
        "| Mix | Policy | Offered, of the bound | Served, of offered | Served, of the bound | Refused | Lost | Breaches |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {:?} | {:.2} | {:.3} | {:.3} | {} | {} | {} |",
            row.mix,
            row.policy,
            row.load,
            row.served,
            row.of_bound,
            row.tally.ended(End::Refused),
            row.tally.ended(End::Lost),
            row.tally.violations.len(),
        );
    }
    text
}

/// Formats recovery runs as a Markdown table.
pub fn recoveries(rows: &[Recovery]) -> String {
    let mut text = String::from(
        "| Mix | Policy | Fault | Flow is back, s | Pause of 95 in 100, s | Lost | Refused | Cut off | Breaches |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let flow = row.flow.map(|time: Duration| format!("{:.1}", time.as_secs_f64()));
        let _ = writeln!(
            text,
            "| {} | {:?} | {} | {} | {:.2} | {} | {} | {} | {} |",
            row.mix,
            row.policy,
            row.fault.name(),
            flow.unwrap_or_else(|| "not".to_owned()),
            row.pause.as_secs_f64(),
            row.lost,
            row.tally.ended(End::Refused),
            row.tally.ended(End::CutOff),
            row.tally.violations.len(),
        );
    }
    text
}

/// Lists why requests were refused or lost in each run.
pub fn causes(throughputs: &[Throughput], recoveries: &[Recovery]) -> String {
    let mut text = String::new();
    for row in throughputs {
        let _ =
            writeln!(text, "{} {:?} {:.2}: {}", row.mix, row.policy, row.load, cause(&row.tally));
    }
    for row in recoveries {
        let fault = row.fault.name();
        let _ = writeln!(text, "{} {:?} {fault}: {}", row.mix, row.policy, cause(&row.tally));
    }
    text
}

fn cause(tally: &Tally) -> String {
    let Tally { failed, refused, lost, no_chain, violations, .. } = tally;
    let first = violations.first();
    format!(
        "refused {refused:?}, no chain {no_chain}, lost {lost:?}, failed steps {failed:?}, first breach {first:?}"
    )
}
