//! Runs the token pipeline of one request.

use std::time::Duration;

use super::Node;
use crate::engine::{Failure, Input, Label, Output, RequestId, Step};
use crate::resource::{Name, Role, Snapshot};
use crate::route::{Chain, Stage};

/// Time for one step.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Generates up to `max_tokens` tokens, giving each to `emit` until it
/// returns false.
pub fn run(
    node: &Node,
    snapshot: &Snapshot,
    request: RequestId,
    chain: &Chain,
    prompt: &[u32],
    max_tokens: u32,
    mut emit: impl FnMut(u32) -> bool,
) -> Result<(), Failure> {
    let mut position = 0;
    let mut tokens = prompt.to_vec();
    for _ in 0..max_tokens {
        let count = tokens.len() as u32;
        let mut input = Input::Tokens(std::mem::take(&mut tokens));
        for stage in chain.stages() {
            let label = Label {
                request,
                attempt: 1,
                position,
                count,
                layers: stage.layers,
                pipeline: chain.pipeline().clone(),
                version: chain.version(),
            };
            let step = Step { label, priority: 0, adapter: None, input };
            match exchange(node, snapshot, stage, &step)? {
                Output::Hidden(hidden) => input = Input::Hidden(hidden),
                Output::Token(token) => {
                    if !emit(token) {
                        return Ok(());
                    }
                    tokens = vec![token];
                    break;
                }
            }
        }
        position += count;
    }
    Ok(())
}

/// The first chain found, whatever its cost.
pub fn first_chain(snapshot: &Snapshot, pipeline: &Name) -> Option<Chain> {
    let spec = snapshot.pipeline(pipeline)?;
    let mut stages = Vec::new();
    let mut next = 0;
    while next < spec.layers {
        let stage = snapshot.endpoints().find_map(|(name, endpoint)| {
            let Role::Engine(engine) = &endpoint.role else { return None };
            let held = engine.holds.iter().find(|h| {
                h.pipeline == *pipeline && h.version == spec.version && h.layers.start() == next
            })?;
            Some(Stage { endpoint: name.clone(), layers: held.layers })
        })?;
        next = stage.layers.end();
        stages.push(stage);
    }
    Chain::new(pipeline.clone(), spec.version, spec.layers, stages).ok()
}

fn exchange(
    node: &Node,
    snapshot: &Snapshot,
    stage: &Stage,
    step: &Step,
) -> Result<Output, Failure> {
    let found = snapshot.endpoints().find(|(name, _)| **name == stage.endpoint);
    let (_, endpoint) = found.ok_or_else(|| Failure::Unreachable("not declared".into()))?;
    let reply = node.engines.step(endpoint.address, step, STEP_TIMEOUT)?;
    if reply.label != step.label {
        return Err(Failure::Malformed("the labels do not match".into()));
    }
    Ok(reply.output)
}
