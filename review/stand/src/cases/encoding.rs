//! Servers spoil some answers, which then have a content encoding; no client may get one.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use super::Deployment;
use crate::Verdict;
use crate::client::{self, Request};
use crate::record::Record;
use crate::server::Conduct;

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Servers of each service that spoil answers, of five.
const SPOILING: usize = 3;

/// One answer in so many is spoiled by these.
const ONE_IN: u64 = 50;

const REQUESTS: u64 = 700;

pub async fn play(record: Arc<Record>, trouble: bool) -> Verdict {
    let tenants = json!([{"name": "franchise", "keys": [KEY]}]);
    let conduct = move |counter: Arc<AtomicU64>| {
        move |number: usize, _: &_| {
            if !trouble || number >= SPOILING {
                return Conduct::Sound;
            }
            match counter.fetch_add(1, Ordering::Relaxed) % ONE_IN {
                7 => Conduct::Encoded,
                _ => Conduct::Sound,
            }
        }
    };
    let (engines, registers) = (conduct(Arc::default()), conduct(Arc::default()));
    let started = Deployment::start(&record, (5, 5, 2), &tenants, engines, registers).await;
    let Some(deployment) = started else {
        return Verdict::NotRun("the deployment did not get ready".to_owned());
    };
    let mut sending = JoinSet::new();
    for number in 0..REQUESTS {
        let path = match number % 3 {
            0 => "/draft/1",
            1 => "/note/1",
            _ => "/read/1",
        };
        let request = Request {
            id: format!("{number:016x}"),
            method: if path == "/read/1" { "GET" } else { "POST" },
            path: path.to_owned(),
            key: Some(KEY.to_owned()),
            budget: Duration::from_secs(3),
            extra: "Model: m\r\nToken-Counts: 100,24\r\nPrompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\n"
                .to_owned(),
            body: String::new(),
        };
        let to = deployment.routers[number as usize % deployment.routers.len()].clients;
        let record = record.clone();
        sending.spawn(async move { (path, client::send(&record, to, &request).await) });
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let (mut good, mut spoiled) = ([0; 3], [0; 3]);
    while let Some(Ok((path, answer))) = sending.join_next().await {
        let route = ["/draft/1", "/note/1", "/read/1"].iter().position(|p| *p == path).unwrap();
        if !(200..300).contains(&answer.status) {
            continue;
        }
        match answer.encoding {
            Some(_) => spoiled[route] += 1,
            None => good[route] += u64::from(answer.is_whole),
        }
    }
    let text = format!(
        "sound successes on resumable streams, streams and reads: {good:?}; successes with a \
         content encoding: {spoiled:?}"
    );
    if good.contains(&0) {
        return Verdict::NotRun(text);
    }
    if spoiled == [0; 3] { Verdict::Held(text) } else { Verdict::Broken(text) }
}
