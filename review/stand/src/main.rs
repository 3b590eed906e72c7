//! Plays one case of the review: `stand CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, 2 if the case could not run. With TROUBLE=0 in the environment there is no
//! disruption.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

mod cases;
mod client;
mod http;
mod record;
mod router;
mod server;
mod store;
mod unframed;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(105);

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// The root of the repository, which is two folders above that of a case.
pub fn repository() -> PathBuf {
    PathBuf::from(std::env::var("REPOSITORY").expect("run.sh sets REPOSITORY"))
}

/// An address of this run on the loopback network.
pub fn ip(last: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 130 + (process / 250 % 100) as u8, (process % 250) as u8, last)
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else { return ExitCode::from(2) };
    if case == "unframed" {
        let Ok(ip) = path.parse() else { return ExitCode::from(2) };
        unframed::serve(ip, words.next().unwrap_or_default()).await;
    }
    let record = Arc::new(record::Record::create(Path::new(&path)));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // When the case is dropped, so are the processes that it started.
    let playing = tokio::time::timeout(TIME_LIMIT, cases::play(&case, record.clone(), trouble));
    let verdict = playing.await.unwrap_or_else(|_| Verdict::NotRun("out of time".to_owned()));
    let (text, code) = match verdict {
        Verdict::Broken(text) => (format!("BROKEN {text}"), 1),
        Verdict::Held(text) => (format!("HELD {text}"), 0),
        Verdict::NotRun(text) => (format!("NOT RUN {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
