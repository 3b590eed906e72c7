//! A plain server crashes while it answers without a length; no client may take the part that
//! it got for the whole answer.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use super::{Deployment, ZONE};
use crate::client::{self, Request};
use crate::record::Record;
use crate::server::Conduct;
use crate::unframed::{self, Process};
use crate::{Verdict, ip};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

const SERVERS: u8 = 7;

const REQUESTS: u64 = 1_200;

/// Requests between two crashes of one server.
const BETWEEN: u64 = 300;

pub async fn play(record: Arc<Record>, trouble: bool) -> Verdict {
    let tenants = json!([{"name": "franchise", "keys": [KEY]}]);
    let sound = |_: usize, _: &_| Conduct::Sound;
    let started = Deployment::start(&record, (0, 0, 2), &tenants, sound, sound).await;
    let Some(deployment) = started else {
        return Verdict::NotRun("the deployment did not get ready".to_owned());
    };
    let start = |number: u8, life: u64| {
        Process::start(ip(150 + number), &format!("i-{number}-{life}"), ZONE, &deployment.store)
    };
    let mut servers: Vec<_> = (0..SERVERS).filter_map(|number| start(number, 0)).collect();
    if servers.len() < usize::from(SERVERS) {
        return Verdict::NotRun("a server did not start".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut sending = JoinSet::new();
    for number in 0..REQUESTS {
        if trouble && number % BETWEEN == BETWEEN / 2 {
            let crashing = (number / BETWEEN) as usize;
            servers[crashing].crash();
            record.line(&format!("server {crashing} is killed"));
        }
        let request = Request {
            id: format!("{number:016x}"),
            method: "POST",
            path: "/order/1".to_owned(),
            key: Some(KEY.to_owned()),
            budget: Duration::from_millis(2_500),
            extra: String::new(),
            body: "carton 7".to_owned(),
        };
        let to = deployment.routers[number as usize % deployment.routers.len()].clients;
        let record = record.clone();
        sending.spawn(async move {
            let answer = client::send(&record, to, &request).await;
            (request.id, answer)
        });
        tokio::time::sleep(Duration::from_millis(12)).await;
    }
    let (mut whole, mut cut) = (0, 0);
    while let Some(Ok((id, answer))) = sending.join_next().await {
        if answer.status == 200 && answer.is_whole && answer.signature.is_some() {
            match answer.body == unframed::body(&id) {
                true => whole += 1,
                false => {
                    cut += 1;
                    record.line(&format!("{id}: {} bytes were framed as whole", answer.body.len()));
                }
            }
        }
    }
    let text =
        format!("{whole} successes had the whole body, {cut} signed successes only a part of it");
    if whole == 0 {
        return Verdict::NotRun(text);
    }
    if cut > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
