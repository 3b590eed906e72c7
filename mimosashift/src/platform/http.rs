//! The platform's protocol over HTTP, as `docs/PLATFORM.md` describes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};

use super::{Key, Machines, Outcome, Page, Refusal, Row, Table, Transaction};
use crate::http::client::{Call, Client, Failure, Response};

/// Response to a transaction that took effect.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Committed {
    /// Revision of its writes.
    pub revision: u64,
}

/// Response to a transaction whose check failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Conflict {
    /// The row found, if it exists.
    pub row: Option<Row>,
}

/// A virtual machine in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the service that runs on it.
    pub address: SocketAddr,
    /// Whether it is about to be shut down.
    pub leaving: bool,
}

/// The platform's list of virtual machines, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Increases with every change of the list.
    pub generation: u64,
    /// Live and leaving machines.
    pub vms: Vec<Vm>,
}

/// Calls the platform over HTTP.
#[derive(Clone)]
pub struct Adapter {
    client: Arc<Client>,
    address: SocketAddr,
    timeout: Duration,
}

impl Adapter {
    /// An adapter that applies `timeout` to every call.
    pub fn new(client: Arc<Client>, address: SocketAddr, timeout: Duration) -> Self {
        Self { client, address, timeout }
    }

    fn get<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Outcome<T> {
        let response = match self.call(Method::GET, path, &[]) {
            Ok(response) if response.status == StatusCode::OK => response,
            Ok(response) => return Outcome::NotDone(refusal(&response)),
            Err(_) => return Outcome::NotDone(Refusal::Unavailable),
        };
        match serde_json::from_slice(&response.body) {
            Ok(value) => Outcome::Done(value),
            Err(error) => Outcome::NotDone(Refusal::Invalid(error.to_string())),
        }
    }

    fn call(&self, method: Method, path: &str, body: &[u8]) -> Result<Response, Failure> {
        let (address, timeout) = (self.address, self.timeout);
        self.client.call(&Call { address, method, path, headers: &[], body, timeout, fresh: false })
    }
}

impl Machines for Adapter {
    fn vms(&self) -> Outcome<VmList> {
        self.get("/v1/vms")
    }
}

impl Table for Adapter {
    fn commit(&self, transaction: &Transaction) -> Outcome<u64> {
        let body = serde_json::to_vec(transaction).expect("a transaction has only string keys");
        let response = match self.call(Method::POST, "/v1/transactions", &body) {
            Ok(response) => response,
            Err(Failure::NotSent { .. }) => return Outcome::NotDone(Refusal::Unavailable),
            Err(Failure::Lost { .. }) => return Outcome::Unknown,
        };
        match response.status {
            StatusCode::OK => match serde_json::from_slice::<Committed>(&response.body) {
                Ok(committed) => Outcome::Done(committed.revision),
                Err(_) => Outcome::Unknown,
            },
            StatusCode::CONFLICT => {
                let found = serde_json::from_slice::<Conflict>(&response.body);
                Outcome::NotDone(Refusal::Conflict(found.ok().and_then(|c| c.row)))
            }
            // These two come only from the table service itself, so nothing changed. Any
            // other error may come after the transaction was applied.
            StatusCode::BAD_REQUEST | StatusCode::TOO_MANY_REQUESTS => {
                Outcome::NotDone(refusal(&response))
            }
            _ => Outcome::Unknown,
        }
    }

    fn read(&self, key: &Key) -> Outcome<Option<Row>> {
        self.get(&format!("/v1/tables/{}/rows/{}", key.table, escape(&key.key)))
    }

    fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Outcome<Page> {
        let (prefix, after) = (escape(prefix), escape(after));
        let query = format!("prefix={prefix}&after={after}&limit={limit}");
        self.get(&format!("/v1/tables/{table}/rows?{query}"))
    }
}

/// Percent-encodes everything that is not allowed in a path segment or query value.
fn escape(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn refusal(response: &Response) -> Refusal {
    match response.status {
        StatusCode::TOO_MANY_REQUESTS => Refusal::OverBudget,
        StatusCode::BAD_REQUEST => {
            Refusal::Invalid(String::from_utf8_lossy(&response.body).into_owned())
        }
        _ => Refusal::Unavailable,
    }
}
