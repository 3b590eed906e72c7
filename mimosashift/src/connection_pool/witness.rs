//! Connections that show that the process of a server has not ended.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, Response};
use tokio::sync::{Mutex, OnceCell};
use tokio::time::{Instant, timeout};

use super::{Connection, Id, Pool};

/// Time without use after which another connection serves new requests.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Time limit for opening a connection, for which a request waits.
const OPEN_TIMEOUT: Duration = Duration::from_millis(50);

/// Largest body of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A connection that was open before the requests that share it were sent.
///
/// A server that answers over it after the end of an answer is the process that gave that
/// answer: one that restarts, under its id too, loses all connections. See
/// `docs/design/http.md`, "The end of a body".
pub struct Witness {
    address: SocketAddr,
    opened: OnceCell<Option<Id>>,
    /// `None` once it is lost.
    connection: Mutex<Option<Connection>>,
    used: Cell<Instant>,
    /// When the last question that was answered was sent.
    confirmed: Cell<Option<Instant>>,
}

impl Witness {
    pub(super) fn is_fresh(&self) -> bool {
        if self.used.get().elapsed() >= MAX_IDLE_TIME {
            return false;
        }
        // Otherwise it is being opened, or a question is in progress.
        self.opened.get().is_none()
            || self.connection.try_lock().map_or(true, |slot| {
                slot.as_ref().is_some_and(|connection| !connection.sender.is_closed())
            })
    }

    /// Whether the process still lives that had the connection before: it answers now, or has
    /// answered another one who asked later.
    pub async fn confirm(
        &self,
        pool: &Rc<Pool>,
        request: Request<Full<Bytes>>,
        is_own: impl FnOnce(&Response<()>) -> bool,
    ) -> bool {
        let asked = Instant::now();
        let mut slot = self.connection.lock().await;
        if self.confirmed.get().is_some_and(|at| at >= asked) {
            return true;
        }
        let Some(mut connection) = slot.take() else { return false };
        if connection.sender.ready().await.is_err() {
            return false;
        }
        let sent = Instant::now();
        let (id, address) = (connection.id, self.address);
        let Ok(mut exchange) = pool.exchange(address, connection, request).await else {
            return false;
        };
        if exchange.collect(MAX_ANSWER_BYTES).await.is_err() || !is_own(&exchange.head) {
            return false;
        }
        // An answer may close its connection and still prove that the process lives.
        *slot = pool.take_back(address, id);
        self.confirmed.set(Some(sent));
        self.used.set(Instant::now());
        true
    }
}

impl Pool {
    /// A connection to a server which is open before a request that is sent after this; `None`
    /// if there is none in time. An idle one is kept for it, or one opened.
    pub async fn witness(self: &Rc<Self>, address: SocketAddr) -> Option<Rc<Witness>> {
        let witness = {
            let mut witnesses = self.witnesses.borrow_mut();
            if witnesses.get(&address).is_some_and(|witness| !witness.is_fresh()) {
                witnesses.remove(&address);
            }
            let create = || {
                Rc::new(Witness {
                    address,
                    opened: OnceCell::new(),
                    connection: Mutex::default(),
                    used: Cell::new(Instant::now()),
                    confirmed: Cell::default(),
                })
            };
            witnesses.entry(address).or_insert_with(create).clone()
        };
        let opening = witness.opened.get_or_init(|| async {
            let connection = match self.take_oldest(address) {
                Some(connection) => connection,
                None => self.open(address).await.ok()?,
            };
            let id = connection.id;
            *witness.connection.lock().await = Some(connection);
            Some(id)
        });
        let is_open = matches!(timeout(OPEN_TIMEOUT, opening).await, Ok(Some(_)));
        is_open.then_some(witness)
    }

    /// Takes the idle connection that has been unused for longest.
    fn take_oldest(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let oldest =
            connections.iter().position(|c| c.expires > now && c.connection.sender.is_ready())?;
        Some(connections.remove(oldest).connection)
    }

    /// Takes a connection that has just become idle.
    fn take_back(&self, address: SocketAddr, id: Id) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let position = connections.iter().position(|c| c.connection.id == id)?;
        Some(connections.remove(position).connection)
    }
}
