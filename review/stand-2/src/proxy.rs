//! A link to a replica that can be cut: nothing passes meanwhile, and what was under way arrives
//! once the link is back, as retransmission by the system would have it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval in which a held direction checks whether the link is back.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Listens at `address` and passes channels on to the replica at `to`.
    pub fn start(address: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let link = Self { is_cut: Arc::default() };
        let server = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = server.clone();
                thread::spawn(move || drop(link.pass_channel(stream, to)));
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn wait_until_back(&self) {
        while self.is_cut.load(Ordering::Relaxed) {
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn pass_channel(&self, near: TcpStream, to: SocketAddr) -> std::io::Result<()> {
        self.wait_until_back();
        // A replica that does not listen refuses the channel.
        let far = TcpStream::connect(to)?;
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
