//! A router process.

use std::fs::File;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

use super::HEARTBEAT_INTERVAL;
use super::WAIT_TIMEOUT;
use super::client::TestRequest;

/// Grace period between SIGTERM and SIGKILL.
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Time limit within which a revoked key stops being accepted.
pub const REVOCATION_BOUND: Duration = Duration::from_secs(3);

/// Memory that a router may use, in MB.
pub const MEMORY_MB: u64 = 96;

/// Variable with the path of a router program of another build, for tests of both builds
/// side by side.
const OTHER_BUILD: &str = "MIMOSAFRONT_OTHER";

/// Program that a router runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The one that is tested.
    Own,
    /// The one that the environment names, or else the one that is tested.
    Other,
}

impl Build {
    fn program(self) -> PathBuf {
        let other = std::env::var_os(OTHER_BUILD).filter(|_| self == Self::Other);
        other.map_or_else(|| env!("CARGO_BIN_EXE_mimosafront").into(), PathBuf::from)
    }
}

pub struct Router {
    pub name: String,
    /// Program of the next start.
    pub build: Build,
    pub clients: SocketAddr,
    /// Where it accepts requests that other routers relay.
    pub relays: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    start_count: usize,
}

/// Ports of this process, the same for every router of the test, as in a deployment. They
/// are below those that the system gives out, for which proxies at the same address, or
/// other processes for a moment at all addresses, could come first.
fn ports() -> [u16; 6] {
    let first = 20_000 + (std::process::id() % 2_000) as u16 * 6;
    std::array::from_fn(|number| first + number as u16)
}

impl Router {
    pub fn start(
        number: usize,
        zone: &str,
        address: Ipv4Addr,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> Self {
        let [clients, ready, control, metrics, first_peer, last_peer] = ports();
        let folder =
            std::env::temp_dir().join(format!("mimosafront-{}-{}", std::process::id(), address));
        std::fs::create_dir_all(&folder).unwrap();
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("{seed}:{control}")).collect();
        let settings = format!(
            "node=front-{zone}-{number}\nzone={zone}\nregion=r\n\
             listen_addresses.front={address}:{clients}\n\
             listen_addresses.ready={address}:{ready}\n\
             listen_addresses.control={address}:{control}\n\
             internal_ports={first_peer},{last_peer}\nseeds={}\nfirst_start=true\n\
             heartbeat_interval_ms={}\nplatform.address={store}\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\n\
             bounds.grace_s={}\nbounds.strict_revocation=true\nbounds.revocation_ms={}\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.budget_extra_retries=200\nbounds.drain_ms=1000\nbounds.stall_ms=2500\n\
             bounds.fencing_required=false\nlimits.memory_mb={MEMORY_MB}\n",
            seeds.join(","),
            HEARTBEAT_INTERVAL.as_millis(),
            GRACE_PERIOD.as_secs(),
            REVOCATION_BOUND.as_millis(),
        );
        std::fs::write(folder.join("settings.conf"), settings).unwrap();
        let mut router = Self {
            name: format!("front-{zone}-{number}"),
            build: Build::Own,
            clients: (address, clients).into(),
            relays: (address, last_peer).into(),
            ready: (address, ready).into(),
            metrics: (address, metrics).into(),
            folder,
            child: None,
            start_count: 0,
        };
        router.spawn();
        router
    }

    /// Starts the process with a new log file; it must not be running.
    pub fn spawn(&mut self) {
        self.start_count += 1;
        let log = File::create(self.log_path()).unwrap();
        self.child = Some(self.command().stdout(log).spawn().unwrap());
    }

    /// Restarts the process with its log on a pipe that is never read.
    pub fn restart_with_unread_log(&mut self) {
        self.stop(Signal::SIGKILL);
        self.child = Some(self.command().stdout(Stdio::piped()).spawn().unwrap());
    }

    fn command(&self) -> Command {
        let mut command = Command::new(self.build.program());
        command
            .arg("--metrics")
            .arg(self.metrics.to_string())
            .env("MIMOSASHIFT_SETTINGS", self.folder.join("settings.conf"))
            .stderr(File::create(self.folder.join(format!("err-{}", self.start_count))).unwrap());
        command
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("log-{}", self.start_count))
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Changes the settings file.
    pub fn edit_settings(&self, edit: impl FnOnce(&str) -> String) {
        let path = self.folder.join("settings.conf");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(path, edit(&text)).unwrap();
    }

    /// Log since the last start.
    pub fn log(&self) -> String {
        let mut text = String::new();
        File::open(self.log_path()).unwrap().read_to_string(&mut text).unwrap();
        text
    }

    /// Log lines of all starts that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for start in 1..=self.start_count {
            let log = std::fs::read_to_string(self.folder.join(format!("log-{start}")));
            let log = log.unwrap_or_default();
            lines.extend(log.lines().filter(|line| line.contains(text)).map(str::to_owned));
        }
        lines
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            kill(Pid::from_raw(child.id() as i32), signal).unwrap();
        }
    }

    /// Signals the process and waits for it to exit.
    pub fn stop(&mut self, signal: Signal) -> Option<i32> {
        self.signal(signal);
        self.wait()
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "{} did not exit", self.name);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Whether the running process has installed a configuration.
    pub fn has_installed(&self, revision: u64) -> bool {
        let installed = format!("\"revision\":{revision},");
        let log = self.log();
        log.lines().any(|line| line.contains("MS0301") && line.contains(&installed))
    }

    /// Id of the running process.
    pub fn process_id(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Largest resident memory so far, from `/proc`.
    pub fn peak_memory_kb(&self) -> u64 {
        let id = self.process_id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    pub async fn is_ready(&self) -> bool {
        let request = TestRequest::new(hyper::Method::GET, "/api/readiness");
        request.send(self.ready).await.is_some_and(|response| response.status == 200)
    }

    /// What it says that would become of a request, given parameters and a head.
    pub async fn explain(&self, query: &str, head: &str) -> Value {
        let path = format!("/api/v1/explain?{query}");
        let request =
            TestRequest { body: head.into(), ..TestRequest::new(hyper::Method::POST, &path) };
        let response = request.send(self.metrics).await.unwrap();
        serde_json::from_str(&response.body).unwrap()
    }

    pub async fn metrics(&self) -> String {
        let request = TestRequest::new(hyper::Method::GET, "/metrics");
        request.send(self.metrics).await.map(|response| response.body).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
        if !std::thread::panicking() {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}
