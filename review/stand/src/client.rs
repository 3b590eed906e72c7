//! A client of the platform, on a kept or a new connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::http::{self, Body, Connection};
use crate::record::Record;

pub const HOST: &str = "front.example";

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
    /// Header `Request-Deadline`, and the time after which the client leaves.
    pub budget: Duration,
    /// Further header lines, each with its line end.
    pub extra: String,
    pub body: String,
}

/// What a client saw of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub signature: Option<String>,
    pub encoding: Option<String>,
    pub id: Option<String>,
    pub body: String,
    pub is_whole: bool,
    /// Time from the sending of the request to the end of the answer, or until the client left.
    pub ms: u64,
    pub sent_at: u64,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let key = self.key.as_ref().map(|key| format!("Authorization: Bearer {key}\r\n"));
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nRequest-Deadline: {}\r\n{}{}\
             Content-Length: {}\r\n\r\n{}",
            self.method,
            self.path,
            self.id,
            self.budget.as_millis(),
            key.unwrap_or_default(),
            self.extra,
            self.body.len(),
            self.body,
        )
        .into_bytes()
    }
}

/// Sends a request on a connection of its own, and records what comes back. An answer that
/// did not begin, or did not end, within the client's budget has status 0 or is not whole.
pub async fn send(record: &Arc<Record>, to: SocketAddr, request: &Request) -> Answer {
    let mut answer = Answer { sent_at: record.now_ms(), ..Answer::default() };
    record.line(&format!(
        "client sends {} {} {} key={} to {to}",
        request.id,
        request.method,
        request.path,
        request.key.as_deref().unwrap_or("-"),
    ));
    let exchange = async {
        let mut connection = http::connect(to).await.ok()?;
        connection.write(&request.bytes()).await.ok()?;
        receive(&mut connection, &mut answer).await
    };
    let ended = timeout(request.budget, exchange).await;
    answer.ms = record.now_ms() - answer.sent_at;
    let how = match ended {
        Ok(Some(())) => "whole",
        Ok(None) => "broken off",
        Err(_) => "client left",
    };
    answer.is_whole = how == "whole";
    record.line(&format!(
        "client got {} status={} {how} after {} ms signature={} encoding={} bytes={}",
        request.id,
        answer.status,
        answer.ms,
        answer.signature.as_deref().unwrap_or("-"),
        answer.encoding.as_deref().unwrap_or("-"),
        answer.body.len(),
    ));
    answer
}

/// Sends a request on a connection that was used before, and records what comes back.
pub async fn send_on(
    record: &Arc<Record>,
    connection: &mut Connection,
    request: &Request,
) -> Answer {
    let mut answer = Answer { sent_at: record.now_ms(), ..Answer::default() };
    record.line(&format!(
        "client sends {} {} {} on a kept connection",
        request.id, request.method, request.path
    ));
    let exchange = async {
        connection.write(&request.bytes()).await.ok()?;
        receive(connection, &mut answer).await
    };
    let ended = timeout(request.budget, exchange).await;
    answer.ms = record.now_ms() - answer.sent_at;
    let how = match ended {
        Ok(Some(())) => "whole",
        Ok(None) => "broken off",
        Err(_) => "client left",
    };
    answer.is_whole = how == "whole";
    record.line(&format!(
        "client got {} status={} {how} after {} ms bytes={}",
        request.id,
        answer.status,
        answer.ms,
        answer.body.len(),
    ));
    answer
}

async fn receive(connection: &mut Connection, answer: &mut Answer) -> Option<()> {
    let head = connection.head().await.ok()?;
    answer.status = head.status();
    answer.signature = head.get("response-signature").map(str::to_owned);
    answer.encoding = head.get("content-encoding").map(str::to_owned);
    answer.id = head.get("request-id").map(str::to_owned);
    let mut left = Body::of(&head);
    loop {
        match connection.piece(&mut left).await {
            Ok(Some(piece)) => answer.body += &String::from_utf8_lossy(&piece),
            Ok(None) => return Some(()),
            Err(_) => return None,
        }
    }
}
