//! Queries of operators.

use std::collections::BTreeMap;

use hyper::StatusCode;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::commands::change_problem;
use super::{Reply, ReplyResult, not_found, parse_kind, parse_name, parse_number};
use crate::config::audit::{Audit, Filter};
use crate::config::{AuditEntry, ChangeId, Record, call};
use crate::health::HealthView;
use crate::http::Request;
use crate::http::problem::Problem;
use crate::member::{InForce, Liveness, Member};
use crate::node::Node;
use crate::node::installed::Installed;
use crate::resource::{Name, Resource};
use crate::route::{Candidate, Refusal, RouteRequest, Sources};

/// Default number of audit entries in a response.
const DEFAULT_AUDIT_LIMIT: usize = 100;

/// Maximum number of audit entries in a response.
const MAX_AUDIT_LIMIT: usize = 1_000;

/// Default number of prompt tokens of an explained request.
const DEFAULT_PROMPT_TOKENS: u32 = 100;

/// Number of tokens that an explained request generates.
const OUTPUT_TOKENS: u32 = 100;

/// Maximum number of endpoints listed for each layer range.
const MAX_EXPLAINED: usize = 8;

/// All resources of a kind, with their status.
pub fn list(node: &Node, kind: &str) -> ReplyResult {
    let kind = parse_kind(kind)?;
    let installed = node.installed();
    let mut in_force_counts = BTreeMap::new();
    let items: Vec<Value> = installed
        .snapshot()
        .list(kind)
        .map(|resource| {
            let count = || in_force_json(node, resource.revision);
            resource_json(resource, in_force_counts.entry(resource.revision).or_insert_with(count))
        })
        .collect();
    Ok(json!({"revision": installed.snapshot().revision(), "items": items}).into())
}

/// One resource with its status.
pub fn get(node: &Node, kind: &str, name: &str) -> ReplyResult {
    let (kind, name) = (parse_kind(kind)?, parse_name(name)?);
    let installed = node.installed();
    let found = installed.snapshot().get(kind, &name);
    let found =
        found.ok_or_else(|| not_found(format!("{kind} {:?} does not exist", name.as_str())))?;
    let body = resource_json(found, &in_force_json(node, found.revision));
    Ok(Reply { status: StatusCode::OK, revision: Some(found.revision), body })
}

/// How many live routers have installed a revision.
pub fn in_force(node: &Node, request: &Request) -> ReplyResult {
    let installed = node.installed().snapshot().revision();
    let revision = parse_number(request, "revision")?.unwrap_or(installed);
    Ok(json!({"revision": revision, "domains": in_force_json(node, revision)}).into())
}

/// State of this router, the other routers it knows, and the endpoints.
pub fn status(node: &Node) -> Value {
    let now = node.clock.now();
    let own = &node.settings.node;
    let installed = node.installed();
    let queue = node.gate.with(|admission| {
        json!({
            "queued": admission.queue().len(),
            "running": admission.slots().used(),
            "slots": admission.slots().limit(),
        })
    });
    let members = node.cluster.members(now);
    let (sent_bytes, refused) = node.cluster.traffic();
    json!({
        "node": own.name, "domain": own.domain, "region": own.region,
        "revision": installed.state().version().revision,
        "ready": node.not_ready().is_none(),
        "queue": queue,
        "peers": {"sent_bytes": sent_bytes, "refused_frames": refused},
        "members": members
            .iter()
            .map(|(m, liveness)| member_json(m, *liveness))
            .collect::<Vec<_>>(),
        "endpoints": endpoints_json(node, &installed),
    })
}

/// The chain that a request would get, with the candidates and their costs.
pub fn explain(node: &Node, request: &Request) -> ReplyResult {
    let model = request.parameter("model").unwrap_or_default();
    let installed = node.installed();
    let (_, route) = installed
        .snapshot()
        .route(model)
        .ok_or_else(|| not_found(format!("no route has model {model:?}")))?;
    let version = installed.snapshot().pipeline(&route.pipeline).map_or(0, |p| p.version);
    let route_request = RouteRequest {
        pipeline: &route.pipeline,
        version,
        prompt_tokens: parse_number(request, "prompt_tokens")?.unwrap_or(DEFAULT_PROMPT_TOKENS),
        output_tokens: OUTPUT_TOKENS.min(route.max_tokens),
        adapter: None,
        prefixes: &[],
        avoid: &[],
        avoid_domains: &[],
        kept: &[],
    };
    let now = node.clock.now();
    let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
    let health = node.lock_health();
    let affinity = node.lock_affinity();
    let sources = Sources { health: &*health, affinity: &affinity };
    let choice =
        installed.routes().choose(&route_request, &sources, now, &mut rng).map_err(no_chain)?;
    let candidates = installed
        .routes()
        .explain(&route_request, &sources, now, MAX_EXPLAINED)
        .map_err(no_chain)?;
    let stages = choice.chain.stages().iter();
    let chain: Vec<Value> =
        stages.map(|s| json!({"layers": s.layers, "endpoint": s.endpoint})).collect();
    Ok(json!({
        "model": model, "pipeline": route.pipeline, "version": version,
        "estimate_us": choice.estimate.as_micros() as u64,
        "chain": chain,
        "candidates": candidates.iter().map(candidate_json).collect::<Vec<_>>(),
    })
    .into())
}

/// Entries of the audit trail, oldest first.
pub fn audit(node: &Node, request: &Request) -> ReplyResult {
    let limit =
        parse_number(request, "limit")?.unwrap_or(DEFAULT_AUDIT_LIMIT).clamp(1, MAX_AUDIT_LIMIT);
    let filter = Filter {
        after: parse_number(request, "after")?.unwrap_or(0),
        kind: request.parameter("kind").map(parse_kind).transpose()?,
        name: request.parameter("name").map(parse_name).transpose()?,
        operator: request.parameter("operator").map(str::to_owned),
        id: request.parameter("change").map(change_id).transpose()?,
    };
    let page = call::run(&*node.settings.table, Audit::new(filter, limit));
    let page = page.map_err(|error| change_problem(&error))?;
    let items: Vec<Value> = page.records.iter().map(audit_json).collect();
    Ok(json!({"items": items, "next": page.next}).into())
}

fn resource_json(resource: &Resource, in_force: &Value) -> Value {
    json!({
        "kind": resource.spec.kind(),
        "name": resource.name,
        "revision": resource.revision,
        "spec": resource.spec.to_json(),
        "status": {"accepted": resource.revision, "in_force": in_force},
    })
}

fn in_force_json(node: &Node, revision: u64) -> Value {
    let domains = node.cluster.in_force(node.clock.now(), revision);
    let show = |InForce { installed, live }| json!({"installed": installed, "live": live});
    let shown =
        domains.into_iter().map(|(domain, count)| (domain.as_str().to_owned(), show(count)));
    Value::Object(shown.collect())
}

fn member_json(member: &Member, liveness: Liveness) -> Value {
    let heartbeat = &member.heartbeat;
    json!({
        "node": heartbeat.node,
        "domain": heartbeat.domain,
        "address": heartbeat.address,
        "revision": heartbeat.version.revision,
        "liveness": format!("{liveness:?}").to_lowercase(),
    })
}

fn endpoints_json(node: &Node, installed: &Installed) -> Vec<Value> {
    let now = node.clock.now();
    let health = node.lock_health();
    let show = |name: &Name, domain: &Name| {
        let condition = health.condition(name, now);
        json!({
            "name": name,
            "domain": domain,
            "standing": format!("{:?}", condition.availability).to_lowercase(),
            "sequences": condition.sequences,
            "overloaded": condition.overloaded,
            "weight": condition.weight,
        })
    };
    installed.snapshot().endpoints().map(|(name, endpoint)| show(name, &endpoint.domain)).collect()
}

fn candidate_json(candidate: &Candidate) -> Value {
    let estimate = candidate.estimate.map(|e| {
        json!({
            "wait_us": e.wait_us, "link_us": e.link_us,
            "layer_us": e.layer_us, "penalty_us": e.penalty_us,
            "total_us": e.total_us(candidate.layers.count()),
        })
    });
    json!({
        "layers": candidate.layers,
        "endpoint": candidate.endpoint,
        "domain": candidate.domain,
        "standing": format!("{:?}", candidate.condition.availability).to_lowercase(),
        "estimate": estimate,
    })
}

fn audit_json(record: &Record) -> Value {
    let entry = AuditEntry::from(record);
    json!({
        "revision": entry.revision,
        "time": entry.at_unix_ms,
        "operator": entry.operator,
        "origin": entry.origin,
        "kind": entry.kind,
        "name": entry.name,
        "change": entry.id,
        "before": entry.before,
        "after": entry.after,
    })
}

fn change_id(text: &str) -> Result<ChangeId, Problem> {
    ChangeId::try_from(text).map_err(|_| {
        let detail = format!("parameter \"change\" is {text:?}, must be a change id");
        Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail)
    })
}

fn no_chain(refusal: Refusal) -> Problem {
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-chain", refusal.to_string())
}
