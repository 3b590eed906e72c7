//! Synthetic configurations.

use mimosashift::resource::{Kind, Name, Resource, Snapshot, Spec};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Layers of the model.
pub const LAYERS: u16 = 80;

/// Stages of each replica.
pub const STAGES: u16 = 4;

/// Failure domains.
pub const DOMAINS: usize = 11;

/// Kinds of accelerator.
const KINDS: usize = 5;

/// One-way link latencies in microseconds, spanning a factor of 100.
const LINK_US: [u32; 3] = [10, 100, 1_000];

/// Parses a generated name.
pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("generated names are valid")
}

/// A resource at revision 1.
pub fn resource(kind: Kind, key: &str, body: &Value) -> Resource {
    let spec = Spec::decode(kind, body.to_string().as_bytes());
    let spec = spec.expect("generated specifications are valid");
    Resource { name: name(key), revision: 1, spec }
}

/// A team with one token.
pub fn team(number: usize) -> Resource {
    let digest = hex::encode(Sha256::digest(number.to_le_bytes()));
    let body = json!({"priority": "standard", "token_digests": [digest]});
    resource(Kind::Team, &format!("team-{number:05}"), &body)
}

/// An engine endpoint that holds one stage.
pub fn endpoint(number: usize) -> Resource {
    let stage_layers = LAYERS / STAGES;
    let start = number as u16 % STAGES * stage_layers;
    let [high, low] = (number as u16).to_be_bytes();
    let body = json!({
        "address": format!("10.0.{high}.{low}:80"),
        "domain": format!("domain-{}", number / usize::from(STAGES) % DOMAINS),
        "role": {"engine": {
            "accelerator": format!("kind-{}", number % KINDS),
            "layer_us": 50 + 40 * (number % KINDS),
            "link_us": LINK_US[number / usize::from(STAGES) % LINK_US.len()],
            "holds": [{
                "pipeline": "model", "version": 1, "layers": [start, start + stage_layers],
            }],
        }},
    });
    resource(Kind::Endpoint, &format!("engine-{number:04}"), &body)
}

/// The priority and pipeline that teams and endpoints refer to.
pub fn base() -> [Resource; 2] {
    [
        resource(Kind::Priority, "standard", &json!({"level": 1})),
        resource(Kind::Pipeline, "model", &json!({"layers": LAYERS, "version": 1})),
    ]
}

/// A configuration of `teams` teams and `endpoints` endpoints.
pub fn snapshot(teams: usize, endpoints: usize) -> Snapshot {
    let all = base().into_iter().chain((0..teams).map(team));
    Snapshot::new(1, all.chain((0..endpoints).map(endpoint)))
}
