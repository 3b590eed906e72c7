//! Turns the raw text of settings into checked values.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::{
    Caller, Digest, Error, Form, KEY_BYTES, Key, Log, Node, Operator, Peer, Platform, Problem, Raw,
    Setting, Settings,
};
use crate::resource::Name;

/// Largest body and queue, in bytes.
const MAX_BYTES: usize = 1 << 30;
/// Most requests in progress that can be asked for.
const MAX_CONCURRENT: usize = 1_000_000;
/// Longest drain, in milliseconds.
const MAX_DRAIN_MS: u64 = 3_600_000;
/// Longest latency between failure domains, in microseconds.
const MAX_LATENCY_US: u64 = 1_000_000;

/// Collects the problems of all settings.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    /// Applies `parse` to the value or default of a setting; notes a problem
    /// and returns `None` when it is not allowed.
    fn take<T>(
        &mut self,
        flag: &'static str,
        raw: Option<String>,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let setting = Setting::of(flag).expect("every field of Raw has its row in the table");
        let Some(text) = raw.as_deref().or(setting.default) else {
            self.problems.push(Problem::Missing { flag, rule: setting.rule });
            return None;
        };
        let value = parse(text);
        if value.is_none() {
            self.refuse(setting, text);
        }
        value
    }

    fn refuse(&mut self, setting: &'static Setting, text: &str) {
        let (flag, rule) = (setting.flag, setting.rule);
        self.problems.push(if setting.secret {
            Problem::Secret { flag, rule }
        } else {
            Problem::Invalid { flag, value: text.to_owned(), rule }
        });
    }

    fn name(&mut self, flag: &'static str, raw: Option<String>) -> Option<Name> {
        self.take(flag, raw, |text| Name::try_from(text).ok())
    }

    fn node(&mut self, raw: &mut Raw) -> Option<Node> {
        let name = self.name("node", raw.node.take());
        let domain = self.name("domain", raw.domain.take());
        let region = self.name("region", raw.region.take());
        let drain = self.take("drain-ms", raw.drain_ms.take(), |text| {
            within(text, 1..=MAX_DRAIN_MS).map(Duration::from_millis)
        });
        Some(Node { name: name?, domain: domain?, region: region?, drain: drain? })
    }

    fn caller(&mut self, raw: &mut Raw) -> Option<Caller> {
        let listen = self.take("listen", raw.listen.take(), address);
        let max_concurrent = self.take("max-concurrent", raw.max_concurrent.take(), |text| {
            within(text, 1..=MAX_CONCURRENT)
        });
        let max_body_bytes = self
            .take("max-body-bytes", raw.max_body_bytes.take(), |text| within(text, 1..=MAX_BYTES));
        let least = max_body_bytes.unwrap_or(1);
        let queue_bytes = self
            .take("queue-bytes", raw.queue_bytes.take(), |text| within(text, least..=MAX_BYTES));
        Some(Caller {
            listen: listen?,
            max_concurrent: max_concurrent?,
            max_body_bytes: max_body_bytes?,
            queue_bytes: queue_bytes?,
        })
    }

    fn operator(&mut self, raw: &mut Raw) -> Option<Operator> {
        let listen = self.take("operator-listen", raw.operator_listen.take(), address);
        let digest =
            self.take("bootstrap-token-digest", raw.bootstrap_token_digest.take(), |text| {
                if text.is_empty() { Some(None) } else { bytes(text).map(Digest).map(Some) }
            });
        Some(Operator { listen: listen?, bootstrap_digest: digest? })
    }

    fn peer(&mut self, raw: &mut Raw) -> Option<Peer> {
        let own = self.take("peer-address", raw.peer_address.take(), |text| {
            address(text).filter(|address| !address.ip().is_unspecified())
        });
        let peers = self.take("peers", raw.peers.take(), |text| list(text, address));
        let needs_key = peers.as_ref().is_some_and(|peers| !peers.is_empty());
        let keys = self.take("peer-keys", raw.peer_keys.take(), |text| {
            keys(text).filter(|keys| !(needs_key && keys.is_empty()))
        });
        let latency =
            self.take("cross-domain-latency-us", raw.cross_domain_latency_us.take(), |text| {
                within(text, 0..=MAX_LATENCY_US).map(Duration::from_micros)
            });
        Some(Peer { address: own?, peers: peers?, keys: keys?, cross_domain_latency: latency? })
    }

    fn platform(&mut self, raw: &mut Raw) -> Option<Platform> {
        let url = self.take("platform-url", raw.platform_url.take(), |text| {
            let host = text.strip_prefix("http://")?.trim_end_matches('/');
            let valid = !host.is_empty() && !host.contains(|c: char| c.is_whitespace());
            valid.then(|| format!("http://{host}"))
        });
        Some(Platform { url: url? })
    }

    fn log(&mut self, raw: &mut Raw) -> Option<Log> {
        let form = self.take("log-form", raw.log_form.take(), |text| match text {
            "terminal" => Some(Form::Terminal),
            "json" => Some(Form::Json),
            _ => None,
        });
        let level = self.take("log-level", raw.log_level.take(), |text| text.parse().ok());
        Some(Log { form: form?, level: level? })
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Error;

    fn try_from(mut raw: Raw) -> Result<Self, Error> {
        let mut checker = Checker::default();
        let node = checker.node(&mut raw);
        let caller = checker.caller(&mut raw);
        let operator = checker.operator(&mut raw);
        let peer = checker.peer(&mut raw);
        let platform = checker.platform(&mut raw);
        let log = checker.log(&mut raw);
        match (node, caller, operator, peer, platform, log) {
            (Some(node), Some(caller), Some(operator), Some(peer), Some(platform), Some(log)) => {
                Ok(Self { node, caller, operator, peer, platform, log })
            }
            _ => Err(Error(checker.problems)),
        }
    }
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
}

fn within<T: std::str::FromStr + PartialOrd>(text: &str, range: RangeInclusive<T>) -> Option<T> {
    text.parse().ok().filter(|value| range.contains(value))
}

fn list<T>(text: &str, parse: impl Fn(&str) -> Option<T>) -> Option<Vec<T>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    text.split(',').map(|part| parse(part.trim())).collect()
}

fn bytes<const N: usize>(text: &str) -> Option<[u8; N]> {
    let mut bytes = [0; N];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(bytes)
}

fn keys(text: &str) -> Option<Vec<Key>> {
    let keys = list(text, |part| {
        let (id, secret) = part.split_once(':')?;
        Some(Key { id: id.parse().ok()?, secret: bytes::<KEY_BYTES>(secret)? })
    })?;
    let mut ids: Vec<u8> = keys.iter().map(|key| key.id).collect();
    ids.sort_unstable();
    ids.dedup();
    (ids.len() == keys.len()).then_some(keys)
}
