//! Another writer leaves an entry with missing fields among those of the servers; it names no
//! server to use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::{Deployment, ZONE};
use crate::client::{self, Request};
use crate::http::{Connection, response};
use crate::record::Record;
use crate::server::Conduct;
use crate::{Verdict, ip};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

const REQUESTS: u64 = 1_000;

pub async fn play(record: Arc<Record>, trouble: bool) -> Verdict {
    let tenants = json!([{"name": "franchise", "keys": [KEY]}]);
    let sound = |_: usize, _: &_| Conduct::Sound;
    let started = Deployment::start(&record, (0, 3, 4), &tenants, sound, sound).await;
    let Some(deployment) = started else {
        return Verdict::NotRun("the deployment did not get ready".to_owned());
    };
    // A server of another system, which serves what it is asked.
    let listener = TcpListener::bind((ip(200), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicU64::new(0));
    let (counter, log) = (runs.clone(), record.clone());
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (counter, log) = (counter.clone(), log.clone());
            tokio::spawn(async move {
                let mut connection = Connection::new(stream);
                while let Ok(request) = connection.message().await {
                    let id = request.head.get("request-id").unwrap_or("-");
                    log.line(&format!("foreign server runs {id} {}", request.head.first));
                    counter.fetch_add(u64::from(id != "-"), Ordering::Relaxed);
                    if connection.write(&response(200, &[], "done")).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    if trouble {
        // Without `born`, `version` and `cold_remaining_ms`.
        deployment.store.put(
            "servers",
            "app-7",
            &json!({
                "service": "register", "address": address.to_string(), "zone": ZONE, "slots": 6,
                "state": "ready", "sequence": 1,
            }),
        );
        record.line("another writer leaves the entry app-7");
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut sending = JoinSet::new();
    for number in 0..REQUESTS {
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
        sending.spawn(async move { client::send(&record, to, &request).await });
        tokio::time::sleep(Duration::from_millis(8)).await;
    }
    let (mut good, mut failed) = (0, 0);
    while let Some(Ok(answer)) = sending.join_next().await {
        match answer.status {
            200 => good += 1,
            _ => failed += 1,
        }
    }
    let foreign = runs.load(Ordering::Relaxed);
    let text = format!(
        "{good} of {REQUESTS} requests succeeded, {failed} did not; {foreign} ran at the server \
         of another system"
    );
    if good == 0 {
        return Verdict::NotRun(text);
    }
    if foreign > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
