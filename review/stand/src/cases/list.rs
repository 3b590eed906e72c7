//! A configuration moves a route of kind `safe` to the service of the model engines; clients must
//! get the whole bodies of their answers, as before.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use super::Deployment;
use crate::Verdict;
use crate::client::{self, Request};
use crate::record::Record;
use crate::server::{self, Conduct};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

const REQUESTS: u64 = 400;

pub async fn play(record: Arc<Record>, trouble: bool) -> Verdict {
    let tenants = json!([{"name": "franchise", "keys": [KEY]}]);
    let sound = |_: usize, _: &_| Conduct::Sound;
    let started = Deployment::start(&record, (3, 3, 2), &tenants, sound, sound).await;
    let Some(mut deployment) = started else {
        return Verdict::NotRun("the deployment did not get ready".to_owned());
    };
    let mut sending = JoinSet::new();
    for number in 0..REQUESTS {
        if trouble && number == REQUESTS / 4 {
            deployment.configure_list(&tenants, "model");
        }
        let request = Request {
            id: format!("{number:016x}"),
            method: "GET",
            path: "/list/1".to_owned(),
            key: Some(KEY.to_owned()),
            budget: Duration::from_millis(2_500),
            extra: "Model: m\r\nToken-Counts: 100,24\r\nPrompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\n"
                .to_owned(),
            body: String::new(),
        };
        let to = deployment.routers[number as usize % deployment.routers.len()].clients;
        let record = record.clone();
        sending.spawn(async move {
            let answer = client::send(&record, to, &request).await;
            (request.id, answer)
        });
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let (mut whole, mut partial) = (0, 0);
    while let Some(Ok((id, answer))) = sending.join_next().await {
        if answer.status != 200 || !answer.is_whole {
            continue;
        }
        match answer.body == server::list(&id) {
            true => whole += 1,
            false => {
                partial += 1;
                record.line(&format!("{id}: the client got {:?}", answer.body));
            }
        }
    }
    let text = format!(
        "{whole} successes had the whole body of their server, {partial} complete and signed \
         successes lacked a part of it"
    );
    if whole == 0 {
        return Verdict::NotRun(text);
    }
    if partial > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
