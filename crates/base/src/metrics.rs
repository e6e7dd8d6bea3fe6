//! Metrics in Prometheus text format.

use prometheus::{Encoder, Registry, TextEncoder, core::Collector};

/// Creates a registry with `collectors`.
///
/// # Panics
///
/// Panics if two collectors have the same name.
pub fn registry(collectors: Vec<Box<dyn Collector>>) -> Registry {
    let registry = Registry::new();
    for collector in collectors {
        registry.register(collector).expect("each name is registered once");
    }
    registry
}

/// Renders all metrics of `registry` as text.
pub fn render(registry: &Registry) -> String {
    let mut text = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut text).expect("writing to memory succeeds");
    String::from_utf8(text).expect("the encoder writes UTF-8")
}
