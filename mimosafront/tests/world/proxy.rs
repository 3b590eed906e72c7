//! A loopback proxy that breaks what passes through it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the proxy does to connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    Up,
    /// Every piece is late by this time.
    Delayed(Duration),
    /// Open connections are closed, and so are new ones.
    Reset,
    /// Nothing passes towards the server.
    CutForth,
    /// Nothing passes towards the caller.
    CutBack,
    /// Nothing passes; new connections open and stay silent as well.
    Silent,
}

pub struct Proxy {
    address: SocketAddr,
    link: watch::Sender<Link>,
    /// Connections opened before this count changed stay silent for good.
    retired: watch::Sender<u64>,
}

impl Proxy {
    pub async fn start(address: Ipv4Addr, to: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind((address, 0)).await.unwrap();
        let proxy = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            link: watch::channel(Link::Up).0,
            retired: watch::channel(0).0,
        });
        let serving = proxy.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serving.clone().relay(stream, to));
            }
        });
        proxy
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Open connections go silent for good; new ones work.
    pub fn retire(&self) {
        self.retired.send_modify(|count| *count += 1);
    }

    async fn relay(self: Arc<Self>, stream: TcpStream, to: SocketAddr) {
        if *self.link.borrow() == Link::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(to).await else { return };
        drop((stream.set_nodelay(true), server.set_nodelay(true)));
        let (from_caller, to_caller) = stream.into_split();
        let (from_server, to_server) = server.into_split();
        let mut link = self.link.subscribe();
        let forth = self.copy(from_caller, to_server, Link::CutForth);
        let back = self.copy(from_server, to_caller, Link::CutBack);
        tokio::select! {
            () = forth => {}
            () = back => {}
            _ = link.wait_for(|link| *link == Link::Reset) => {}
        }
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: Link) {
        let mut buffer = vec![0; 16 * 1024];
        let mut link = self.link.subscribe();
        let age = *self.retired.borrow();
        loop {
            let length = match from.read(&mut buffer).await {
                Ok(length) if length > 0 => length,
                _ => return,
            };
            let passes = |link: &Link| *link != cut && *link != Link::Silent;
            // The sender lives as long as the proxy.
            drop(link.wait_for(passes).await);
            if *self.retired.borrow() != age {
                std::future::pending::<()>().await;
            }
            let now = *link.borrow();
            if let Link::Delayed(time) = now {
                tokio::time::sleep(time).await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}
