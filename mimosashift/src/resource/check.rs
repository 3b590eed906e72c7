//! Validation of the values in a specification.

use super::{Engine, Error, Role, Spec, Team};

/// Length of a SHA-256 digest in hexadecimal.
const TOKEN_DIGEST_HEX_CHARS: usize = 64;

/// Maximum number of layers of a model.
const MAX_LAYERS: u16 = 1_024;

/// Maximum length of the model name used by callers, in bytes.
const MAX_MODEL_NAME_BYTES: usize = 128;

/// Checks the values of a specification, but not its references.
pub(super) fn check_values(spec: &Spec) -> Result<(), Error> {
    match spec {
        Spec::Route(route) => {
            let length = route.model.len();
            ensure(
                (1..=MAX_MODEL_NAME_BYTES).contains(&length),
                "model",
                &route.model,
                "1 to 128 bytes",
            )?;
            ensure(route.deadline_ms > 0, "deadline_ms", route.deadline_ms, "greater than 0")?;
            ensure(route.max_tokens > 0, "max_tokens", route.max_tokens, "greater than 0")
        }
        Spec::Pipeline(pipeline) => {
            let layers = pipeline.layers;
            ensure((1..=MAX_LAYERS).contains(&layers), "layers", layers, "1 to 1024")?;
            ensure(pipeline.copies > 0, "copies", pipeline.copies, "greater than 0")
        }
        Spec::Team(team) => check_team(team),
        Spec::Priority(_) => Ok(()),
        Spec::Endpoint(endpoint) => match &endpoint.role {
            Role::Engine(engine) => check_engine(engine),
            Role::Service(_) => Ok(()),
        },
        Spec::Service(service) => {
            ensure(service.timeout_ms > 0, "timeout_ms", service.timeout_ms, "greater than 0")
        }
    }
}

fn check_team(team: &Team) -> Result<(), Error> {
    ensure(team.weight > 0, "weight", team.weight, "greater than 0")?;
    for digest in &team.token_digests {
        let valid = digest.len() == TOKEN_DIGEST_HEX_CHARS
            && digest.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        ensure(valid, "token_digests", "(hidden)", "64 lower-case hexadecimal digits")?;
    }
    Ok(())
}

fn check_engine(engine: &Engine) -> Result<(), Error> {
    ensure(engine.layer_us > 0, "layer_us", engine.layer_us, "greater than 0")?;
    ensure(engine.slots > 0, "slots", engine.slots, "greater than 0")?;
    let bandwidth = engine.link_bytes_per_second;
    ensure(bandwidth > 0, "link_bytes_per_second", bandwidth, "greater than 0")
}

fn ensure(
    valid: bool,
    field: &'static str,
    value: impl ToString,
    rule: &'static str,
) -> Result<(), Error> {
    if valid {
        return Ok(());
    }
    Err(Error::Invalid { field, value: value.to_string(), rule })
}
