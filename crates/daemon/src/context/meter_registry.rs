use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Name under which all instruments are made.
const SCOPE: &str = "cassiagw";

/// Where the instruments of one daemon are made and rendered.
pub struct MeterRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MeterRegistry {
    /// Makes a registry without instruments.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// Makes instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Renders every metric in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::warn!(event = "metrics_not_rendered", error:% = error; "");
        }
        buf
    }
}

impl Default for MeterRegistry {
    fn default() -> Self {
        Self::new()
    }
}
