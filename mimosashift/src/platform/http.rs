//! The platform's protocol over HTTP, as `docs/PLATFORM.md` describes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};

use super::{Key, Machines, Outcome, Page, Refusal, Row, Table, Transaction};
use crate::http::client::{Call, Client, Failure, Response};

/// Answer to a transaction that took effect.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Committed {
    /// Revision of its writes.
    pub revision: u64,
}

/// Answer to a transaction whose check failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Conflict {
    /// The row found, if it exists.
    pub row: Option<Row>,
}

/// A virtual machine in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of what runs on it.
    pub address: SocketAddr,
    /// Whether it is about to be taken away.
    pub leaving: bool,
}

/// The platform's list of virtual machines, which lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Rises with every change of the list.
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
    /// An adapter that gives every call `timeout`.
    pub fn new(client: Arc<Client>, address: SocketAddr, timeout: Duration) -> Self {
        Self { client, address, timeout }
    }

    fn get<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Outcome<T> {
        let answer = match self.call(Method::GET, path, &[]) {
            Ok(answer) if answer.status == StatusCode::OK => answer,
            Ok(answer) => return Outcome::NotDone(refused(&answer)),
            Err(_) => return Outcome::NotDone(Refusal::Unavailable),
        };
        match serde_json::from_slice(&answer.body) {
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
        let answer = match self.call(Method::POST, "/v1/transactions", &body) {
            Ok(answer) => answer,
            Err(Failure::NotSent { .. }) => return Outcome::NotDone(Refusal::Unavailable),
            Err(Failure::Lost { .. }) => return Outcome::Unknown,
        };
        match answer.status {
            StatusCode::OK => match serde_json::from_slice::<Committed>(&answer.body) {
                Ok(committed) => Outcome::Done(committed.revision),
                Err(_) => Outcome::Unknown,
            },
            StatusCode::CONFLICT => {
                let found = serde_json::from_slice::<Conflict>(&answer.body);
                Outcome::NotDone(Refusal::Conflict(found.ok().and_then(|c| c.row)))
            }
            // Only a refusal that the table service itself makes is certain.
            StatusCode::BAD_REQUEST | StatusCode::TOO_MANY_REQUESTS => {
                Outcome::NotDone(refused(&answer))
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

/// Percent-encodes whatever may not stand in a path segment or query value.
fn escape(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn refused(answer: &Response) -> Refusal {
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => Refusal::OverBudget,
        StatusCode::BAD_REQUEST => {
            Refusal::Invalid(String::from_utf8_lossy(&answer.body).into_owned())
        }
        _ => Refusal::Unavailable,
    }
}
