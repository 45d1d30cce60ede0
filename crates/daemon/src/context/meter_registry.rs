use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// OpenTelemetry instrumentation scope of all instruments.
const SCOPE: &str = "cassiagw";

/// OpenTelemetry meter provider of one daemon, exported to a Prometheus registry.
pub struct MeterRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MeterRegistry {
    /// Makes a registry without instruments, independent of any other in the process.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("registering an exporter with a new registry succeeds");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// Returns a meter whose instruments are exported by this registry.
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Renders all metrics in the Prometheus text format; truncated or empty if encoding fails.
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
