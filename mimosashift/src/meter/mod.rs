//! Metrics, registered once and rendered as Prometheus text.
//!
//! `docs/METRICS.md` lists them; a test holds it and the table together.
//! Every label takes its values from an enum, so that the number of series is
//! bounded however many teams and endpoints there are.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::{Instrument, SdkMeterProvider, Stream};
use prometheus::{Encoder, Registry, TextEncoder};
use quick_error::quick_error;

mod label;
mod table;

pub use label::{
    CallOutcome, DropReason, EndpointState, Label, MemberState, Outcome, PlatformCall,
    PostingOutcome, Recovery, RefusalReason, Transport,
};
pub use table::{Kind, METRICS, Meter, Metric};

/// Upper bounds of histogram buckets, in seconds, around the targets of 26 ms
/// between tokens and 0.32 s to the first token.
const BUCKETS: [f64; 19] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.018, 0.026, 0.04, 0.08, 0.16, 0.32,
    0.64, 1.28, 2.56, 5.12, 10.24, 60.0,
];

/// Most series of one metric; further ones are counted together.
const MAX_SERIES: usize = 64;

quick_error! {
    /// Why metrics could not be set up or rendered.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The exporter was not set up.
        Exporter(reason: String) {
            display("metrics exporter: {}", reason)
        }
        /// The text was not rendered.
        Render(reason: String) {
            display("metrics text: {}", reason)
        }
    }
}

/// Where the metrics are collected.
struct Export {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Export {
    fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|error| Error::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).with_view(bounded).build();
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

/// Makes room for the series that a metric can have; the default is room for
/// 2,000, taken in advance for each metric.
fn bounded(_: &Instrument) -> Option<Stream> {
    Stream::builder().with_cardinality_limit(MAX_SERIES).build().ok()
}

/// A label with a value of a fixed set.
fn label(key: &'static str, value: impl Label) -> KeyValue {
    KeyValue::new(key, value.as_str())
}
