//! A link that can be cut: nothing passes meanwhile. What was under way either arrives once the
//! link is back, as retransmission by the system would have it, or is lost: the first packet of a
//! new channel is dropped meanwhile, and open channels that are used stay silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Interval in which a held direction checks whether the link is back.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
    /// Whether what is under way in a cut is lost.
    loses: bool,
    address: SocketAddr,
}

impl Link {
    /// Listens at `address` and passes channels on to `to`.
    pub fn start(address: SocketAddr, to: SocketAddr, loses: bool) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&address.into())?;
        socket.listen(if loses { 0 } else { 128 })?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(socket);
        let link = Self { is_cut: Arc::default(), loses, address };
        let server = link.clone();
        thread::spawn(move || {
            loop {
                if !(server.loses && server.is_cut.load(Ordering::Relaxed))
                    && let Ok((stream, _)) = listener.accept()
                {
                    let link = server.clone();
                    thread::spawn(move || drop(link.pass_channel(stream, to)));
                } else {
                    thread::sleep(CHECK_INTERVAL);
                }
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
        if self.loses && is_cut {
            // Once the queue of new channels is full, the system drops their first packets.
            thread::sleep(5 * CHECK_INTERVAL);
            for _ in 0..2 {
                drop(TcpStream::connect_timeout(&self.address, 20 * CHECK_INTERVAL));
            }
        }
    }

    /// Waits until bytes pass; for good if they are lost.
    fn wait_until_back(&self) {
        while self.is_cut.load(Ordering::Relaxed) {
            if self.loses {
                loop {
                    thread::park();
                }
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn pass_channel(&self, near: TcpStream, to: SocketAddr) -> std::io::Result<()> {
        self.wait_until_back();
        // A replica that does not listen refuses the channel.
        let far = TcpStream::connect(to)?;
        near.set_nonblocking(false)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (link, from, into) = (self.clone(), near.try_clone()?, far.try_clone()?);
        thread::spawn(move || link.pass_bytes(from, into));
        self.pass_bytes(far, near);
        Ok(())
    }

    fn pass_bytes(&self, mut from: TcpStream, mut into: TcpStream) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            self.wait_until_back();
            match read {
                Ok(count @ 1..) if into.write_all(&bytes[..count]).is_ok() => {}
                _ => break,
            }
        }
        drop(into.shutdown(Shutdown::Write));
    }
}
