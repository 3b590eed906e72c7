//! All keys are taken away; those that were held, and one that never was, must not be accepted.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;

use super::Deployment;
use crate::Verdict;
use crate::client::{self, Request};
use crate::record::Record;
use crate::server::Conduct;

const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "k7rqmwd205xvyt3hgeap"];
const FOREIGN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

/// `revocation_ms`.
const REVOCATION: u64 = 5_000;

/// Time between two keys that are taken away.
const GAP: Duration = Duration::from_millis(1_500);

/// Time for which clients send after the last one.
const AFTER: u64 = 10_000;

pub async fn play(record: Arc<Record>, trouble: bool) -> Verdict {
    let tenants = |keys: &[&str]| json!([{"name": "franchise", "keys": keys}]);
    let sound = |_: usize, _: &_| Conduct::Sound;
    let started = Deployment::start(&record, (0, 3, 2), &tenants(&KEYS), sound, sound).await;
    let Some(mut deployment) = started else {
        return Verdict::NotRun("the deployment did not get ready".to_owned());
    };
    let start = record.now_ms();
    // When each key was taken away.
    let mut taken = [u64::MAX; 2];
    let (mut accepted, mut foreign, mut served_before, mut number) = (0, 0, 0, 0);
    let steps = [start + 4_000, start + 4_000 + GAP.as_millis() as u64];
    while record.now_ms() < steps[1] + AFTER {
        for (index, step) in steps.iter().enumerate() {
            if trouble && record.now_ms() >= *step && taken[index] == u64::MAX {
                deployment.configure(&tenants(&KEYS[index + 1..]));
                taken[index] = record.now_ms();
            }
        }
        for (router, key) in [(0, KEYS[0]), (1, KEYS[1]), (1, KEYS[0]), (0, FOREIGN_KEY)] {
            number += 1;
            let request = Request {
                id: format!("{number:016x}"),
                method: "POST",
                path: "/order/1".to_owned(),
                key: Some(key.to_owned()),
                budget: Duration::from_millis(2_500),
                extra: String::new(),
                body: "carton 7".to_owned(),
            };
            let runs =
                || deployment.registers.iter().map(|s| s.runs.load(Ordering::Relaxed)).sum::<u64>();
            let before = runs();
            let answer = client::send(&record, deployment.routers[router].clients, &request).await;
            let has_run = runs() > before;
            let index = KEYS.iter().position(|known| *known == key);
            match index {
                None => foreign += u64::from(has_run),
                Some(index) if answer.sent_at > taken[index].saturating_add(REVOCATION) => {
                    accepted += u64::from(has_run)
                }
                Some(_) => served_before += u64::from(answer.status == 200 && has_run),
            }
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let text = format!(
        "{served_before} requests ran while their key was held or within {REVOCATION} ms; \
         {accepted} requests ran that were sent later than {REVOCATION} ms after the \
         configuration that took their key away; {foreign} requests ran with a key that no \
         configuration ever held"
    );
    if served_before == 0 {
        return Verdict::NotRun(text);
    }
    if accepted + foreign > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
