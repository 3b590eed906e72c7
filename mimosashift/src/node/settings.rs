//! Settings of a router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;

use crate::http;
use crate::http::client::Client;
use crate::meter;
use crate::platform::{self, Machines, Table};
use crate::resource::Name;
use crate::settings;

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Reason why a router cannot start.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// Listening on an address failed.
        Listen { surface: &'static str, address: SocketAddr, error: std::io::Error } {
            display("cannot listen for {} on {}: {}", surface, address, error)
        }
        /// Starting a thread failed.
        Thread(error: std::io::Error) {
            from()
            display("cannot start a thread: {}", error)
        }
        /// Setting up the metrics failed.
        Metrics(error: meter::Error) {
            from()
            display("{}", error)
        }
        /// The platform's URL is not an IP address and port.
        Platform(url: String) {
            display("platform {:?} must be http:// with an IP address and port", url)
        }
    }
}

/// Settings of a router.
#[derive(Clone)]
pub struct Settings {
    /// Name, location and drain time of the router.
    pub node: settings::Node,
    /// Address of the caller API; port 0 selects any free port.
    pub callers: SocketAddr,
    /// Limits of the caller API.
    pub limits: http::Settings,
    /// Maximum size of all queued requests together, in bytes.
    pub queue_bytes: usize,
    /// Address of the operator API; port 0 selects any free port.
    pub operators: SocketAddr,
    /// Digest of the token that is valid before any team exists.
    pub bootstrap_digest: Option<settings::Digest>,
    /// Communication with other routers.
    pub peer: settings::Peer,
    /// The platform's tables.
    pub table: Arc<dyn Table>,
    /// The platform's list of VMs, if the router is to poll it.
    pub machines: Option<Arc<dyn Machines>>,
}

impl Settings {
    /// The failure domain.
    pub const fn domain(&self) -> &Name {
        &self.node.domain
    }
}

impl TryFrom<&settings::Settings> for Settings {
    type Error = Error;

    fn try_from(settings: &settings::Settings) -> Result<Self, Error> {
        let url = &settings.platform.url;
        let address = url.trim_start_matches("http://").parse();
        let address = address.map_err(|_| Error::Platform(url.clone()))?;
        let client = Arc::new(Client::new(http::client::Settings::default()));
        let platform = Arc::new(platform::http::Adapter::new(client, address, PLATFORM_TIMEOUT));
        Ok(Self {
            node: settings.node.clone(),
            callers: settings.caller.listen,
            limits: http::Settings {
                max_requests: settings.caller.max_concurrent,
                max_body_bytes: settings.caller.max_body_bytes,
                ..http::Settings::default()
            },
            queue_bytes: settings.caller.queue_bytes,
            operators: settings.operator.listen,
            bootstrap_digest: settings.operator.bootstrap_digest,
            peer: settings.peer.clone(),
            table: Arc::clone(&platform) as _,
            machines: Some(platform),
        })
    }
}
