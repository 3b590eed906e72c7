//! Fixtures of a small deployment: cards, an engine and endpoints.

#![allow(dead_code)] // Each test program uses only some of the fixtures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mimosashift::deployment::{Card, Delay, Endpoint, EndpointStatus, Engine, TypicalRequest};
use mimosashift::resource::Layers;
use mimosashift::time::Instant;

pub const MODEL: &str = "model";
pub const PLAIN: &str = "plain";

pub fn layers(start: u16, end: u16) -> Layers {
    Layers::try_from((start, end)).unwrap()
}

pub fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// An engine of 80 layers on three kinds of cards, with realistic parameters.
pub fn engine() -> Engine {
    let card = |memory_mb, decode_factor, prefill_factor| Card {
        memory_mb,
        decode_factor,
        prefill_factor,
    };
    let cards = BTreeMap::from([
        ("large".into(), card(72_000.0, 2.4, 3.2)),
        ("small".into(), card(14_400.0, 5.3, 7.9)),
        ("slow".into(), card(21_600.0, 16.0, 8.2)),
    ]);
    let delay = |from: &str, to: &str| Delay { from: from.into(), to: to.into(), ms: 0.3 };
    Engine {
        slots: 192,
        layers: 80,
        layer_mb: 1_750.0,
        kv_bytes_per_token: 590_000.0,
        activation_bytes: 29_500.0,
        step_ms: 1.02,
        step_ms_per_sequence: 0.004_59,
        step_ms_per_1k_context: 0.006_15,
        prefill_tokens_per_ms: 164.0,
        tokens_per_event: 4,
        link_bytes_per_ms: 2_000_000.0,
        delays: vec![delay("a", "b"), delay("a", "c"), delay("b", "c")],
        typical_request: TypicalRequest { prompt: 775.0, output: 220.0 },
        load_time: Duration::from_secs(14),
        loads_at_once: 6,
        cards,
    }
}

/// Endpoint `number` in a zone, holding the layers `held`.
pub fn endpoint(number: u16, zone: &str, card: &str, held: Option<Layers>) -> Endpoint {
    Endpoint {
        id: format!("e{number}").into(),
        service: MODEL.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number)),
        zone: zone.into(),
        status: EndpointStatus::Ready,
        slots: 192,
        incarnation: 1,
        heartbeat: 1,
        layers: held,
        card: Some(card.into()),
    }
}

/// An endpoint of the plain service.
pub fn plain(number: u16, zone: &str) -> Endpoint {
    Endpoint {
        service: PLAIN.into(),
        slots: 6,
        layers: None,
        card: None,
        ..endpoint(number, zone, "large", None)
    }
}
