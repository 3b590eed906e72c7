//! Tests of the metrics, their documentation and their text format.

use std::collections::BTreeSet;

use mimosashift::deployment::Rank;
use mimosashift::meter::{
    Admission, CallOutcome, DropReason, EndpointState, Kind, METRICS, MemberState, Meter, Metric,
    Outcome, PlatformCall, PostingOutcome, Recovery, RefusalReason, Transport,
};

const METRICS_DOC: &str = include_str!("../../docs/METRICS.md");

fn suffix(metric: &Metric) -> (&'static str, &'static str) {
    match metric.kind {
        Kind::Counter => ("_total", "counter"),
        Kind::Gauge => ("", "gauge"),
        Kind::Histogram => ("", "histogram"),
    }
}

/// Formats a row of the table in `docs/METRICS.md`.
fn doc_row(metric: &Metric) -> String {
    let (suffix, kind) = suffix(metric);
    let label = |(key, values): &(&str, &[&str])| format!("`{key}`: {}", values.join(", "));
    let labels: Vec<_> = metric.labels.iter().map(label).collect();
    format!("| `{}{suffix}` | {kind} | {} | {} |", metric.name, labels.join("; "), metric.help)
}

/// Records one value of every metric for every label value.
fn meter_with_all_series() -> Meter {
    let meter = Meter::new().unwrap();
    Outcome::ALL.iter().for_each(|o| meter.requests(1, *o));
    RefusalReason::ALL.iter().for_each(|r| meter.refusals(1, *r));
    Recovery::ALL.iter().for_each(|r| meter.recoveries(1, *r));
    DropReason::ALL.iter().for_each(|r| meter.dropped_replies(1, *r));
    EndpointState::ALL.iter().for_each(|s| meter.endpoints(1, *s));
    MemberState::ALL.iter().for_each(|s| meter.members(1, *s));
    Transport::ALL.iter().for_each(|t| meter.peer_bytes(1, *t));
    PostingOutcome::ALL.iter().for_each(|o| meter.postings(1, *o));
    for call in PlatformCall::ALL {
        CallOutcome::ALL.iter().for_each(|outcome| meter.table_calls(1, *call, *outcome));
    }
    for level in 0..Rank::COUNT as u8 {
        Admission::ALL.iter().for_each(|a| meter.ranked(1, Rank::from(level), *a));
    }
    let counters = [
        Meter::tokens,
        Meter::retries,
        Meter::retry_budget_exhausted,
        Meter::relayed,
        Meter::stray_answers,
        Meter::contradictions,
        Meter::heartbeats_sent,
        Meter::heartbeats_received,
        Meter::lost_leases,
        Meter::orders,
    ];
    counters.iter().for_each(|add| add(&meter, 1));
    let gauges = [
        Meter::running,
        Meter::buffered_bytes,
        Meter::given_up_buffers,
        Meter::queue_requests,
        Meter::queue_bytes,
        Meter::slots,
        Meter::active_teams,
        Meter::config_revision,
        Meter::leases,
    ];
    gauges.iter().for_each(|set| set(&meter, 1));
    let histograms = [
        Meter::first_token,
        Meter::prefill_ahead,
        Meter::inter_token,
        Meter::added_latency,
        Meter::recovery_time,
        Meter::loop_delay,
        Meter::config_lag,
    ];
    histograms.iter().for_each(|record| record(&meter, 0.02));
    meter
}

#[test]
fn docs_match_the_table() {
    let docs: Vec<_> = METRICS_DOC.lines().filter(|line| line.starts_with("| `mimosa")).collect();
    let code: Vec<_> = METRICS.iter().map(doc_row).collect();
    assert_eq!(docs, code, "the table should be:\n{}", code.join("\n"));
}

#[test]
fn text_contains_exactly_the_declared_metrics() {
    let text = meter_with_all_series().render().unwrap();
    let types: BTreeSet<_> =
        text.lines().filter_map(|line| line.strip_prefix("# TYPE ")).map(str::to_owned).collect();
    let expected: BTreeSet<_> = METRICS
        .iter()
        .map(|metric| format!("{}{} {}", metric.name, suffix(metric).0, suffix(metric).1))
        .collect();
    assert_eq!(types, expected);
}

#[test]
fn series_count_matches_the_label_values() {
    let text = meter_with_all_series().render().unwrap();
    let series = text.lines().filter(|line| !line.starts_with('#') && !line.contains("_bucket"));
    let combinations = |metric: &Metric| -> usize {
        let label_combinations: usize =
            metric.labels.iter().map(|(_, values)| values.len()).product();
        label_combinations * if metric.kind == Kind::Histogram { 2 } else { 1 }
    };
    assert_eq!(series.count(), METRICS.iter().map(combinations).sum::<usize>(), "{text}");
}

#[test]
fn counters_add_up_and_latency_targets_are_bucket_bounds() {
    let meter = Meter::new().unwrap();
    meter.requests(2, Outcome::Completed);
    meter.requests(3, Outcome::Completed);
    meter.queue_requests(9);
    meter.queue_requests(4);
    meter.inter_token(0.025);
    meter.first_token(0.33);
    let text = meter.render().unwrap();
    for line in [
        "mimosashift_requests_total{outcome=\"completed\"} 5",
        "mimosashift_queue_requests 4",
        "mimosashift_inter_token_seconds_bucket{le=\"0.026\"} 1",
        "mimosashift_first_token_seconds_bucket{le=\"0.32\"} 0",
        "mimosashift_first_token_seconds_count 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing from\n{text}");
    }
}
