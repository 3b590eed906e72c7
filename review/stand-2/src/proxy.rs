//! A link that can be cut: nothing passes meanwhile. What was under way either arrives once the
//! link is back, as retransmission by the system would have it, or is lost: the first packet of a
//! new channel is dropped meanwhile, and open channels that are used stay silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

/// Interval in which a held direction checks whether the link is back.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// New channels that the system holds until they are accepted.
const QUEUE: i32 = 128;

#[derive(Clone)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
    /// Whether what is under way in a cut is lost.
    loses: bool,
    address: SocketAddr,
    listener: Arc<Socket>,
}

impl Link {
    /// Listens at `address` and passes channels on to `to`.
    pub fn start(address: SocketAddr, to: SocketAddr, loses: bool) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&address.into())?;
        socket.listen(QUEUE)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from(socket.try_clone()?);
        let link = Self { is_cut: Arc::default(), loses, address, listener: Arc::new(socket) };
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

    pub fn set_cut(&self, is_cut: bool) -> std::io::Result<()> {
        if !self.loses {
            self.is_cut.store(is_cut, Ordering::Relaxed);
            return Ok(());
        }
        if !is_cut {
            self.listener.listen(QUEUE)?;
            self.is_cut.store(false, Ordering::Relaxed);
            return Ok(());
        }
        self.is_cut.store(true, Ordering::Relaxed);
        thread::sleep(5 * CHECK_INTERVAL);
        // Once the queue of new channels is full, the system drops their first packets.
        self.listener.listen(0)?;
        for _ in 0..2 {
            drop(TcpStream::connect_timeout(&self.address, 20 * CHECK_INTERVAL));
        }
        Ok(())
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
        let back = thread::spawn(move || link.pass_bytes(from, into));
        if !self.pass_bytes(far, near.try_clone()?) {
            // A reset is passed on as one: the last handle closes the channel with it.
            SockRef::from(&near).set_linger(Some(Duration::ZERO))?;
            near.shutdown(Shutdown::Read)?;
            drop(back.join());
        }
        Ok(())
    }

    /// Passes bytes on until the sender closes the channel; false if it is reset.
    fn pass_bytes(&self, mut from: TcpStream, mut into: TcpStream) -> bool {
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            self.wait_until_back();
            match read {
                Ok(count @ 1..) if into.write_all(&bytes[..count]).is_ok() => {}
                Ok(_) => {
                    drop(into.shutdown(Shutdown::Write));
                    return true;
                }
                Err(_) => return false,
            }
        }
    }
}
