//! Validates the raw text of the settings and converts it to typed values.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::{
    Caller, Digest, Error, Format, KEY_BYTES, Key, Log, Node, Operator, Peer, Platform, Problem,
    Raw, Setting, Settings,
};
use crate::resource::Name;

/// Upper limit of the body and queue sizes, in bytes.
const MAX_BYTES: usize = 1 << 30;
/// Upper limit of `max-concurrent`, in requests.
const MAX_CONCURRENT: usize = 1_000_000;
/// Upper limit of `drain-ms`, in milliseconds.
const MAX_DRAIN_MS: u64 = 3_600_000;
/// Upper limit of the latency between failure domains, in microseconds.
const MAX_LATENCY_US: u64 = 1_000_000;

/// Parses settings and collects the problems of all of them.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    /// Parses the value or default of a setting; records a problem and returns
    /// `None` if it is missing or not allowed.
    fn parse<T>(
        &mut self,
        flag: &'static str,
        raw: Option<String>,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let setting = Setting::find(flag).expect("SETTINGS has a row for each field of Raw");
        let Some(text) = raw.as_deref().or(setting.default) else {
            self.problems.push(Problem::Missing { flag, rule: setting.rule });
            return None;
        };
        let value = parse(text);
        if value.is_none() {
            self.record_invalid(setting, text);
        }
        value
    }

    fn record_invalid(&mut self, setting: &'static Setting, text: &str) {
        let (flag, rule) = (setting.flag, setting.rule);
        self.problems.push(if setting.secret {
            Problem::InvalidSecret { flag, rule }
        } else {
            Problem::Invalid { flag, value: text.to_owned(), rule }
        });
    }

    fn parse_name(&mut self, flag: &'static str, raw: Option<String>) -> Option<Name> {
        self.parse(flag, raw, |text| Name::try_from(text).ok())
    }

    fn node(&mut self, raw: &mut Raw) -> Option<Node> {
        let name = self.parse_name("node", raw.node.take());
        let domain = self.parse_name("domain", raw.domain.take());
        let region = self.parse_name("region", raw.region.take());
        let drain = self.parse("drain-ms", raw.drain_ms.take(), |text| {
            in_range(text, 1..=MAX_DRAIN_MS).map(Duration::from_millis)
        });
        Some(Node { name: name?, domain: domain?, region: region?, drain: drain? })
    }

    fn caller(&mut self, raw: &mut Raw) -> Option<Caller> {
        let listen = self.parse("listen", raw.listen.take(), parse_address);
        let max_concurrent = self.parse("max-concurrent", raw.max_concurrent.take(), |text| {
            in_range(text, 1..=MAX_CONCURRENT)
        });
        let max_body_bytes = self.parse("max-body-bytes", raw.max_body_bytes.take(), |text| {
            in_range(text, 1..=MAX_BYTES)
        });
        let min_queue_bytes = max_body_bytes.unwrap_or(1);
        let queue_bytes = self.parse("queue-bytes", raw.queue_bytes.take(), |text| {
            in_range(text, min_queue_bytes..=MAX_BYTES)
        });
        Some(Caller {
            listen: listen?,
            max_concurrent: max_concurrent?,
            max_body_bytes: max_body_bytes?,
            queue_bytes: queue_bytes?,
        })
    }

    fn operator(&mut self, raw: &mut Raw) -> Option<Operator> {
        let listen = self.parse("operator-listen", raw.operator_listen.take(), parse_address);
        let digest =
            self.parse("bootstrap-token-digest", raw.bootstrap_token_digest.take(), |text| {
                if text.is_empty() { Some(None) } else { parse_hex(text).map(Digest).map(Some) }
            });
        Some(Operator { listen: listen?, bootstrap_digest: digest? })
    }

    fn peer(&mut self, raw: &mut Raw) -> Option<Peer> {
        let own = self.parse("peer-address", raw.peer_address.take(), |text| {
            parse_address(text).filter(|address| !address.ip().is_unspecified())
        });
        let peers = self.parse("peers", raw.peers.take(), |text| parse_list(text, parse_address));
        let needs_key = peers.as_ref().is_some_and(|peers| !peers.is_empty());
        let keys = self.parse("peer-keys", raw.peer_keys.take(), |text| {
            parse_keys(text).filter(|keys| !(needs_key && keys.is_empty()))
        });
        let latency =
            self.parse("cross-domain-latency-us", raw.cross_domain_latency_us.take(), |text| {
                in_range(text, 0..=MAX_LATENCY_US).map(Duration::from_micros)
            });
        Some(Peer { address: own?, peers: peers?, keys: keys?, cross_domain_latency: latency? })
    }

    fn platform(&mut self, raw: &mut Raw) -> Option<Platform> {
        let url = self.parse("platform-url", raw.platform_url.take(), |text| {
            let host = text.strip_prefix("http://")?.trim_end_matches('/');
            let valid = !host.is_empty() && !host.contains(|c: char| c.is_whitespace());
            valid.then(|| format!("http://{host}"))
        });
        Some(Platform { url: url? })
    }

    fn log(&mut self, raw: &mut Raw) -> Option<Log> {
        let format = self.parse("log-form", raw.log_form.take(), |text| match text {
            "terminal" => Some(Format::Terminal),
            "json" => Some(Format::Json),
            _ => None,
        });
        let level = self.parse("log-level", raw.log_level.take(), |text| text.parse().ok());
        Some(Log { format: format?, level: level? })
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

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
}

fn in_range<T: std::str::FromStr + PartialOrd>(text: &str, range: RangeInclusive<T>) -> Option<T> {
    text.parse().ok().filter(|value| range.contains(value))
}

fn parse_list<T>(text: &str, parse: impl Fn(&str) -> Option<T>) -> Option<Vec<T>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    text.split(',').map(|part| parse(part.trim())).collect()
}

fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let mut bytes = [0; N];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(bytes)
}

fn parse_keys(text: &str) -> Option<Vec<Key>> {
    let keys = parse_list(text, |part| {
        let (id, secret) = part.split_once(':')?;
        Some(Key { id: id.parse().ok()?, secret: parse_hex::<KEY_BYTES>(secret)? })
    })?;
    let mut ids: Vec<u8> = keys.iter().map(|key| key.id).collect();
    ids.sort_unstable();
    ids.dedup();
    (ids.len() == keys.len()).then_some(keys)
}
