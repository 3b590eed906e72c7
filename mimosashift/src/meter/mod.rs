//! Metrics, rendered in the Prometheus text format.
//!
//! `docs/METRICS.md` lists them; a test checks that it matches the table in
//! this module. Every label takes its values from an enum, so the number of
//! series does not depend on the number of teams and endpoints.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Encoder, Registry, TextEncoder};
use quick_error::quick_error;

mod label;
mod table;

pub use label::{
    Admission, CallOutcome, DropReason, EndpointState, Label, MemberState, Outcome, PlatformCall,
    PostingOutcome, Recovery, RefusalReason, Transport,
};
pub use table::{Kind, METRICS, Meter, Metric};

/// Upper bounds of histogram buckets, in seconds. They include the latency
/// targets: 26 ms between tokens and 0.32 s to the first token.
const BUCKETS: [f64; 19] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.018, 0.026, 0.04, 0.08, 0.16, 0.32,
    0.64, 1.28, 2.56, 5.12, 10.24, 60.0,
];

/// Maximum number of series of one metric; the SDK aggregates further ones.
const MAX_SERIES: usize = 64;

quick_error! {
    /// Failure to set up or render the metrics.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The Prometheus exporter could not be created.
        Exporter(reason: String) {
            display("metrics exporter: {}", reason)
        }
        /// The metrics could not be encoded as text.
        Render(reason: String) {
            display("metrics text: {}", reason)
        }
    }
}

/// The meter provider and the Prometheus registry that it exports to.
struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|error| Error::Exporter(error.to_string()))?;
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_view(limit_series).build();
        Ok(Self { registry, provider })
    }

    fn counter(&self, metric: &Metric) -> Counter<u64> {
        self.meter().u64_counter(metric.name).with_description(metric.help).build()
    }

    fn gauge(&self, metric: &Metric) -> Gauge<u64> {
        self.meter().u64_gauge(metric.name).with_description(metric.help).build()
    }

    fn histogram(&self, metric: &Metric) -> Histogram<f64> {
        let meter = self.meter();
        let builder = meter.f64_histogram(metric.name);
        builder.with_description(metric.help).with_boundaries(BUCKETS.to_vec()).build()
    }

    fn meter(&self) -> opentelemetry::metrics::Meter {
        self.provider.meter("mimosashift")
    }

    fn render(&self) -> Result<String, Error> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| Error::Render(error.to_string()))?;
        String::from_utf8(text).map_err(|error| Error::Render(error.to_string()))
    }
}

/// Limits the series of a metric; the SDK's default of 2,000 is allocated in
/// advance for each metric.
fn limit_series(_: &Instrument) -> Option<Stream> {
    Stream::builder().with_cardinality_limit(MAX_SERIES).build().ok()
}

/// Converts a label to an OpenTelemetry attribute.
fn attribute(key: &'static str, value: impl Label) -> KeyValue {
    KeyValue::new(key, value.as_str())
}
