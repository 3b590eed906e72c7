//! A plain server as a process of its own, whose answers have no length and end with their
//! connection.

use std::io::Write;
use std::net::Ipv4Addr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::http::{Connection, response};
use crate::store::Store;

/// Time in which the second half of an answer follows the first one.
const HALF: Duration = Duration::from_millis(200);

/// The whole body of the answer to a request.
pub fn body(id: &str) -> String {
    format!("posting {id} was entered; {}end of posting {id}", "0".repeat(700))
}

/// Serves until the process is ended; prints its address first.
pub async fn serve(ip: Ipv4Addr, id: String) {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    println!("{}", listener.local_addr().unwrap());
    std::io::stdout().flush().unwrap();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let id = id.clone();
        tokio::spawn(async move {
            let mut connection = Connection::new(stream);
            while let Ok(request) = connection.message().await {
                if request.head.target().1 == "/health" {
                    let answer = response(200, &[("Instance-Id", &id)], "");
                    if connection.write(&answer).await.is_err() {
                        return;
                    }
                    continue;
                }
                let request_id = request.head.get("request-id").unwrap_or_default().to_owned();
                if request.head.get("target-instance").is_some_and(|target| target != id) {
                    let headers = [("Request-Id", request_id.as_str()), ("Not-Executed", "1")];
                    let _ = connection.write(&response(421, &headers, "")).await;
                    continue;
                }
                let body = body(&request_id);
                let (first, second) = body.split_at(body.len() / 2);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: \
                     {id}.{request_id}\r\nConnection: close\r\n\r\n{first}"
                );
                let _ = connection.write(head.as_bytes()).await;
                tokio::time::sleep(HALF).await;
                let _ = connection.write(second.as_bytes()).await;
                let _ = connection.stream.shutdown().await;
                return;
            }
        });
    }
}

/// Such a server, started by a case.
pub struct Process {
    child: Child,
    id: String,
    store: Arc<Store>,
    beating: tokio::task::JoinHandle<()>,
}

impl Process {
    pub fn start(ip: Ipv4Addr, id: &str, zone: &str, store: &Arc<Store>) -> Option<Self> {
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["unframed", &ip.to_string(), id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut address = String::new();
        let output = child.stdout.take()?;
        std::io::BufRead::read_line(&mut std::io::BufReader::new(output), &mut address).ok()?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis() as u64;
        let (key, rows) = (id.to_owned(), store.clone());
        let (zone, address) = (zone.to_owned(), address.trim().to_owned());
        let beating =
            tokio::spawn(async move {
                for beat in 0u64.. {
                    rows.put("servers", &key, &json!({
                    "service": "register", "address": address, "zone": zone, "version": "v1",
                    "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": beat,
                    "born": born,
                }));
                    tokio::time::sleep(Duration::from_millis(1_200)).await;
                }
            });
        Some(Self { child, id: id.to_owned(), store: store.clone(), beating })
    }

    /// Crashes it. Its entry is removed after three heartbeats.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.beating.abort();
        let (id, store) = (self.id.clone(), self.store.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(3_600)).await;
            store.remove("servers", &id);
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
