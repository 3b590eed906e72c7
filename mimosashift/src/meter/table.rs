//! Declarations of all metrics.

use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::label::{
    Admission, CallOutcome, DropReason, EndpointState, Label, MemberState, Outcome, PlatformCall,
    PostingOutcome, Recovery, RefusalReason, Transport,
};
use super::{Error, Exporter, attribute};
use crate::deployment::Rank;

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A monotonic sum; its exported name ends in `_total`.
    Counter,
    /// A value that can increase and decrease.
    Gauge,
    /// A distribution of durations, in seconds.
    Histogram,
}

/// One metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name, without the `_total` suffix of counters.
    pub name: &'static str,
    /// Instrument kind.
    pub kind: Kind,
    /// Labels and their values.
    pub labels: &'static [(&'static str, &'static [&'static str])],
    /// Help text.
    pub help: &'static str,
}

/// Instrument type, value type, constructor and recording method of each kind.
macro_rules! instrument {
    (type Counter) => { Counter<u64> };
    (type Gauge) => { Gauge<u64> };
    (type Histogram) => { Histogram<f64> };
    (value Counter) => { u64 };
    (value Gauge) => { u64 };
    (value Histogram) => { f64 };
    (build Counter $exporter:expr, $metric:expr) => { $exporter.counter($metric) };
    (build Gauge $exporter:expr, $metric:expr) => { $exporter.gauge($metric) };
    (build Histogram $exporter:expr, $metric:expr) => { $exporter.histogram($metric) };
    (record Counter $to:expr, $value:expr, $labels:expr) => { $to.add($value, $labels) };
    (record Gauge $to:expr, $value:expr, $labels:expr) => { $to.record($value, $labels) };
    (record Histogram $to:expr, $value:expr, $labels:expr) => { $to.record($value, $labels) };
}

/// Declares the metrics, each with method, name, kind, labels and help text.
macro_rules! metrics {
    ($($field:ident $name:literal $kind:ident [$($label:ident: $values:ty),*] $help:literal;)*) => {
        /// Every metric, in the order of the documentation.
        pub const METRICS: &[Metric] = &[$(Metric {
            name: $name,
            kind: Kind::$kind,
            labels: &[$((stringify!($label), <$values as Label>::VALUES),)*],
            help: $help,
        },)*];

        /// The metric instruments of one router.
        pub struct Meter {
            exporter: Exporter,
            $($field: instrument!(type $kind),)*
        }

        impl Meter {
            /// Registers every metric.
            pub fn new() -> Result<Self, Error> {
                let exporter = Exporter::new()?;
                let mut metrics = METRICS.iter();
                $(let $field = {
                    let metric = metrics.next().expect("METRICS has a row for each field");
                    instrument!(build $kind exporter, metric)
                };)*
                Ok(Self { exporter, $($field,)* })
            }

            /// Renders the metrics in the Prometheus text format, without those
            /// that have not been recorded yet.
            pub fn render(&self) -> Result<String, Error> {
                self.exporter.render()
            }

            $(
                #[doc = $help]
                pub fn $field(&self, value: instrument!(value $kind) $(, $label: $values)*) {
                    instrument!(record $kind self.$field, value, &[$(attribute(stringify!($label), $label)),*]);
                }
            )*
        }
    };
}

metrics! {
    requests "mimosashift_requests" Counter [outcome: Outcome] "Requests that ended, by outcome.";
    refusals "mimosashift_refusals" Counter [reason: RefusalReason] "Requests that were not run, by reason.";
    ranked "mimosashift_ranked_requests" Counter [rank: Rank, outcome: Admission] "Requests to engines of services with several ranks, by rank and whether there was room.";
    running "mimosashift_running_requests" Gauge [] "Requests dispatched and not yet ended.";
    tokens "mimosashift_tokens" Counter [] "Tokens answered to callers.";
    first_token "mimosashift_first_token_seconds" Histogram [] "Time from a request's arrival to its first token.";
    prefill_ahead "mimosashift_prefill_ahead_seconds" Histogram [] "Time that the busiest endpoint of a chain needs to prefill what was sent to it before the request.";
    inter_token "mimosashift_inter_token_seconds" Histogram [] "Time between two tokens of an answer.";
    added_latency "mimosashift_added_latency_seconds" Histogram [] "Time that the router itself adds to a request.";
    queue_requests "mimosashift_queue_requests" Gauge [] "Queued requests.";
    queue_bytes "mimosashift_queue_bytes" Gauge [] "Bytes of queued requests.";
    slots "mimosashift_slots" Gauge [] "Requests that may be dispatched at once.";
    active_teams "mimosashift_active_teams" Gauge [] "Teams for which state is held.";
    retries "mimosashift_retries" Counter [] "Steps and calls that were sent again.";
    retry_budget_exhausted "mimosashift_retry_budget_exhausted" Counter [] "Retries that the budget did not allow.";
    relayed "mimosashift_relayed_requests" Counter [] "Requests sent to another router because no endpoint was reachable.";
    stray_answers "mimosashift_stray_answers" Counter [] "Answers that are not known to be to a request in progress on their connection.";
    contradictions "mimosashift_contradicted_outcomes" Counter [] "Answers and reports that show that a request has run which was taken for not run.";
    recoveries "mimosashift_recoveries" Counter [kind: Recovery] "Requests that went on after the loss of a stage, by kind.";
    recovery_time "mimosashift_recovery_seconds" Histogram [] "Time from the loss of a stage to the next token.";
    buffered_bytes "mimosashift_buffered_bytes" Gauge [] "Bytes buffered for callers and endpoints.";
    given_up_buffers "mimosashift_given_up_buffers" Gauge [] "Answers and bodies given up since the start because the memory for buffered data was used up.";
    loop_delay "mimosashift_loop_delay_seconds" Histogram [] "Time by which a timer of the event loop ran late.";
    dropped_replies "mimosashift_dropped_replies" Counter [reason: DropReason] "Replies that were not used, by reason.";
    endpoints "mimosashift_endpoints" Gauge [state: EndpointState] "Endpoints by state.";
    config_revision "mimosashift_config_revision" Gauge [] "Configuration revision in force on this router.";
    config_lag "mimosashift_config_lag_seconds" Histogram [] "Time from a change's commit until it is in force on this router.";
    members "mimosashift_members" Gauge [state: MemberState] "Other routers by state.";
    heartbeats_sent "mimosashift_heartbeats_sent" Counter [] "Heartbeats sent.";
    heartbeats_received "mimosashift_heartbeats_received" Counter [] "Valid heartbeats received.";
    peer_bytes "mimosashift_peer_sent_bytes" Counter [transport: Transport] "Bytes sent to other routers.";
    table_calls "mimosashift_table_calls" Counter [call: PlatformCall, outcome: CallOutcome] "Calls to the table service, by outcome.";
    postings "mimosashift_postings" Counter [outcome: PostingOutcome] "Postings with an idempotency key, by outcome.";
    leases "mimosashift_leases" Gauge [] "Leases that this router holds.";
    lost_leases "mimosashift_lost_leases" Counter [] "Leases that this router lost before it gave them back.";
    orders "mimosashift_orders" Counter [] "Orders sent to endpoints.";
}
