//! A loopback proxy that injects network faults.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// State of the link that the proxy simulates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkState {
    Up,
    /// Delays all data by this time.
    Delayed(Duration),
    /// Closes open connections, and new ones at once.
    Reset,
    /// Closes new connections at once; open ones work.
    RefuseNew,
    /// Blocks data to the server.
    BlockedToServer,
    /// Blocks data to the client.
    BlockedToClient,
    /// Blocks all data; new connections are accepted but stay silent as well.
    Silent,
    /// Like `Silent`, and the server itself does nothing either, as a stopped process. It
    /// goes on where it was when the link is up again.
    Stopped,
    /// Drops all packets: open connections are silent, and new ones are not established.
    Unreachable,
    /// Sends what the server sends a second time, after this time.
    Repeats(Duration),
    /// Sends the last refusal once more for one of this many later requests, this
    /// time after the server has got it: with its id on the connection on which it was sent,
    /// or without one on all connections.
    RepeatsRefusals {
        interval: usize,
        delay: Duration,
        with_id: bool,
    },
    /// Sends the refusal of a request once more when it arrives again, on any connection.
    RepeatsRefusalsById,
    /// Answers requests for reports with a refusal, except for the first on a connection.
    RefusesReports,
}

/// A refusal that does not name its request.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 2\r\n\r\n{}";

/// The last refusal that was sent.
type LastRefusal = Arc<Mutex<Option<Vec<u8>>>>;

/// The half of a connection to which several tasks may write.
type WriteHalf = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

/// An answer that the proxy gives instead of the server, and how it ends the connection then.
pub struct BrokenAnswer {
    pub bytes: Vec<u8>,
    pub ending: Ending,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Close,
    Reset,
    /// It does not end: nothing follows until the client closes the connection.
    Silence,
    /// It does not end: a byte follows at each `TRICKLE_INTERVAL`.
    Trickle,
}

/// Returns the answer to a request, given as text, if the server is not to answer it.
pub type Breaker = Arc<dyn Fn(&str) -> Option<BrokenAnswer> + Send + Sync>;

/// Time from such an answer until the end of the connection.
const ENDING_DELAY: Duration = Duration::from_millis(2);

/// Interval of the bytes of an answer that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(500);

/// Connections that the system establishes before the proxy has accepted them.
const BACKLOG: i32 = 1_024;

/// Connections that fill the shortest such queue, so that further ones are dropped.
const FILLING_CONNECTIONS: usize = 2;

pub struct Proxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Incremented to stall all connections opened before, permanently.
    generation: watch::Sender<u64>,
    /// Endless answers sent instead of those of the server, and the time between their pieces.
    replacement: Mutex<Option<(Replacement, Duration)>>,
    breaker: Mutex<Option<Breaker>>,
    /// Number of connections on which an endless answer is being sent.
    replacing: AtomicUsize,
    last_refusal: LastRefusal,
    /// Refusals by the id of their request.
    refusals: Mutex<HashMap<String, Vec<u8>>>,
    /// Number of requests for which a refusal might have been sent once more.
    repeat_chances: AtomicUsize,
    /// Number of refusals that were sent once more.
    repeated_refusals: Arc<AtomicUsize>,
}

/// Returns the first bytes of an answer to the request with the given id, and
/// those that follow until the client closes the connection.
type Replacement = Arc<dyn Fn(&str) -> (String, &'static str) + Send + Sync>;

/// Size of the pieces in which endless bytes are sent.
const ENDLESS_PIECE_BYTES: usize = 64 * 1024;

impl Proxy {
    pub async fn start(address: Ipv4Addr, to: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind((address, 0)).await.unwrap();
        let proxy = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: watch::channel(LinkState::Up).0,
            generation: watch::channel(0).0,
            replacement: Mutex::default(),
            breaker: Mutex::default(),
            replacing: AtomicUsize::default(),
            last_refusal: LastRefusal::default(),
            refusals: Mutex::default(),
            repeat_chances: AtomicUsize::default(),
            repeated_refusals: Arc::default(),
        });
        let serving = proxy.clone();
        tokio::spawn(async move {
            let mut link = serving.state.subscribe();
            loop {
                if *link.borrow_and_update() == LinkState::Unreachable {
                    serving.drop_new_connections(&listener, &mut link).await;
                }
                tokio::select! {
                    accepted = listener.accept() => {
                        tokio::spawn(serving.clone().relay(accepted.unwrap().0, to));
                    }
                    changed = link.changed() => changed.unwrap(),
                }
            }
        });
        proxy
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn is_stopped(&self) -> bool {
        *self.state.borrow() == LinkState::Stopped
    }

    pub fn set(&self, link: LinkState) {
        self.state.send_replace(link);
    }

    /// Lets no connection be established until the link changes.
    async fn drop_new_connections(
        &self,
        listener: &TcpListener,
        link: &mut watch::Receiver<LinkState>,
    ) {
        SockRef::from(listener).listen(0).unwrap();
        let connecting = (0..FILLING_CONNECTIONS).map(|_| {
            let address = self.address;
            tokio::spawn(async move { TcpStream::connect(address).await })
        });
        let connecting: Vec<_> = connecting.collect();
        link.wait_for(|link| *link != LinkState::Unreachable).await.unwrap();
        connecting.iter().for_each(|filling| filling.abort());
        SockRef::from(listener).listen(BACKLOG).unwrap();
    }

    /// Stalls all open connections permanently; new ones work.
    pub fn stall_open_connections(&self) {
        self.generation.send_modify(|count| *count += 1);
    }

    /// Answers each request that has an id with endless bytes, on connections
    /// opened from now on; open ones are closed.
    pub fn replace_answers(
        &self,
        answer: impl Fn(&str) -> (String, &'static str) + Send + Sync + 'static,
    ) {
        self.replace_answers_at(Duration::ZERO, answer);
    }

    /// Does so with a piece of `ENDLESS_PIECE_BYTES` in each interval.
    pub fn replace_answers_at(
        &self,
        interval: Duration,
        answer: impl Fn(&str) -> (String, &'static str) + Send + Sync + 'static,
    ) {
        *self.replacement.lock().unwrap() = Some((Arc::new(answer), interval));
        self.set(LinkState::Reset);
        self.set(LinkState::Up);
    }

    pub fn forward_answers(&self) {
        *self.replacement.lock().unwrap() = None;
    }

    /// Gives broken answers from now on, also on open connections.
    pub fn break_answers(&self, breaker: Breaker) {
        *self.breaker.lock().unwrap() = Some(breaker);
    }

    pub fn replaced_answers(&self) -> usize {
        self.replacing.load(Ordering::Relaxed)
    }

    pub fn repeated_refusals(&self) -> usize {
        self.repeated_refusals.load(Ordering::Relaxed)
    }

    async fn answer(&self, mut stream: TcpStream, answer: Replacement, interval: Duration) {
        self.replacing.fetch_add(1, Ordering::Relaxed);
        let (mut request, mut buffer) = (Vec::new(), [0; 4096]);
        while let Ok(length @ 1..) = stream.read(&mut buffer).await {
            request.extend_from_slice(&buffer[..length]);
            let text = String::from_utf8_lossy(&request);
            let id = text.lines().find_map(|line| line.strip_prefix("request-id: "));
            if !text.contains("\r\n\r\n") {
                continue;
            }
            let (start, repeated) = answer(id.unwrap_or_default());
            let piece = repeated.repeat(ENDLESS_PIECE_BYTES / repeated.len());
            drop(stream.write_all(start.as_bytes()).await);
            while stream.write_all(piece.as_bytes()).await.is_ok() {
                tokio::time::sleep(interval).await;
            }
            break;
        }
        self.replacing.fetch_sub(1, Ordering::Relaxed);
    }

    async fn relay(self: Arc<Self>, stream: TcpStream, to: SocketAddr) {
        if matches!(*self.state.borrow(), LinkState::Reset | LinkState::RefuseNew) {
            return;
        }
        let answer = self.replacement.lock().unwrap().clone();
        if let Some((answer, interval)) = answer {
            return self.answer(stream, answer, interval).await;
        }
        let Ok(server) = TcpStream::connect(to).await else { return };
        drop((stream.set_nodelay(true), server.set_nodelay(true)));
        let (mut from_client, to_client) = stream.into_split();
        let (mut from_server, to_server) = server.into_split();
        let mut link = self.state.subscribe();
        let (to_client, to_server) =
            (WriteHalf::new(to_client.into()), WriteHalf::new(to_server.into()));
        let refusal = LastRefusal::default();
        let is_kept = AtomicBool::new(false);
        let on_request = |request: &[u8]| {
            let is_kept = is_kept.swap(true, Ordering::Relaxed);
            let is_report = request.starts_with(b"GET /api/report");
            if is_kept && is_report && *self.state.borrow() == LinkState::RefusesReports {
                self.send_copy(REFUSAL.to_vec(), Duration::ZERO, &to_client);
            }
            self.repeat_refusal(&refusal, &to_client);
            self.repeat_refusal_by_id(request, &to_client);
        };
        let blocking = LinkState::BlockedToServer;
        let breaker = |request: &[u8]| {
            let breaker = self.breaker.lock().unwrap().clone()?;
            breaker(&String::from_utf8_lossy(request))
        };
        let upstream = self.copy(&mut from_client, &to_server, blocking, breaker, on_request);
        let keep = |answer: &[u8]| self.keep_refusal(&refusal, answer);
        let blocking = LinkState::BlockedToClient;
        let downstream = self.copy(&mut from_server, &to_client, blocking, |_| None, keep);
        let broken = tokio::select! {
            broken = upstream => broken,
            _ = downstream => None,
            _ = link.wait_for(|link| *link == LinkState::Reset) => None,
        };
        if let Some(answer) = broken {
            let to_client = Arc::into_inner(to_client).expect("no refusal is sent once more");
            answer.send(from_client, to_client.into_inner()).await;
        }
    }

    fn repeat_refusal_by_id(&self, request: &[u8], to: &WriteHalf) {
        if *self.state.borrow() != LinkState::RepeatsRefusalsById {
            return;
        }
        let copy = request_id(request).and_then(|id| self.refusals.lock().unwrap().remove(&id));
        if let Some(copy) = copy {
            self.send_copy(copy, Duration::from_millis(1), to);
        }
    }

    fn keep_refusal(&self, refusal: &LastRefusal, answer: &[u8]) {
        if *self.state.borrow() == LinkState::RepeatsRefusalsById
            && String::from_utf8_lossy(answer).contains("not-executed")
            && let Some(id) = request_id(answer)
        {
            self.refusals.lock().unwrap().insert(id, answer.to_vec());
        }
        let LinkState::RepeatsRefusals { with_id, .. } = *self.state.borrow() else { return };
        let text = String::from_utf8_lossy(answer);
        let is_refusal = ["HTTP/1.1 503", "HTTP/1.1 421"].iter().any(|s| text.starts_with(s));
        if is_refusal && text.contains("not-executed") {
            let lines = text.split_inclusive('\n');
            let copy: String =
                lines.filter(|line| with_id || !line.starts_with("request-id")).collect();
            let refusal = if with_id { refusal } else { &self.last_refusal };
            *refusal.lock().unwrap() = Some(copy.into_bytes());
        }
    }

    fn repeat_refusal(&self, refusal: &LastRefusal, to: &WriteHalf) {
        let LinkState::RepeatsRefusals { interval, delay, with_id } = *self.state.borrow() else {
            return;
        };
        let refusal = if with_id { refusal } else { &self.last_refusal };
        let Some(copy) = refusal.lock().unwrap().clone() else { return };
        let chances = self.repeat_chances.fetch_add(1, Ordering::Relaxed);
        if !chances.is_multiple_of(interval) {
            return;
        }
        self.send_copy(copy, delay, to);
    }

    fn send_copy(&self, copy: Vec<u8>, delay: Duration, to: &WriteHalf) {
        let (to, repeated) = (to.clone(), self.repeated_refusals.clone());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // Otherwise the client has closed the connection.
            if to.lock().await.write_all(&copy).await.is_ok() {
                repeated.fetch_add(1, Ordering::Relaxed);
            }
        });
    }

    /// Copies bytes from one side to the other; `passed` is given those that were. Ends with
    /// the broken answer to them if `breaker` has one.
    async fn copy(
        &self,
        from: &mut OwnedReadHalf,
        to: &WriteHalf,
        blocking: LinkState,
        breaker: impl Fn(&[u8]) -> Option<BrokenAnswer>,
        passed: impl Fn(&[u8]),
    ) -> Option<BrokenAnswer> {
        let mut buffer = vec![0; 16 * 1024];
        let mut link = self.state.subscribe();
        let opened_in = *self.generation.borrow();
        loop {
            let length = match from.read(&mut buffer).await {
                Ok(length) if length > 0 => length,
                _ => return None,
            };
            let may_pass = |link: &LinkState| {
                let silent = [LinkState::Silent, LinkState::Stopped, LinkState::Unreachable];
                *link != blocking && !silent.contains(link)
            };
            // The sender lives as long as the proxy, so this cannot fail.
            drop(link.wait_for(may_pass).await);
            if *self.generation.borrow() != opened_in {
                std::future::pending::<()>().await;
            }
            let state = *link.borrow();
            if let LinkState::Delayed(time) = state {
                tokio::time::sleep(time).await;
            }
            if let Some(answer) = breaker(&buffer[..length]) {
                return Some(answer);
            }
            if to.lock().await.write_all(&buffer[..length]).await.is_err() {
                return None;
            }
            passed(&buffer[..length]);
            if let (LinkState::Repeats(delay), LinkState::BlockedToClient) = (state, blocking) {
                tokio::time::sleep(delay).await;
                if to.lock().await.write_all(&buffer[..length]).await.is_err() {
                    return None;
                }
            }
        }
    }
}

fn request_id(message: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(message);
    text.lines().find_map(|line| line.strip_prefix("request-id: ")).map(str::to_owned)
}

impl BrokenAnswer {
    async fn send(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        // The other side may have closed the connection.
        drop(to.write_all(&self.bytes).await);
        tokio::time::sleep(ENDING_DELAY).await;
        match self.ending {
            Ending::Close => drop(to.shutdown().await),
            Ending::Reset => {
                SockRef::from(to.as_ref()).set_linger(Some(Duration::ZERO)).unwrap();
                return to.forget();
            }
            Ending::Silence => {}
            Ending::Trickle => {
                while to.write_all(b"x").await.is_ok() {
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                }
            }
        }
        // Bytes that are left unread would turn the close into a reset.
        while let Ok(1..) = from.read(&mut [0; 4_096]).await {}
    }
}
