//! A router of the project, as a process with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::http;

pub struct Router {
    pub clients: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

/// Ports of the routers, the same on each address, below those that the system gives out.
fn ports() -> [u16; 5] {
    let first = 20_000 + (std::process::id() % 2_000) as u16 * 6;
    std::array::from_fn(|number| first + number as u16)
}

impl Router {
    /// Starts a router; `number` is part of its name.
    pub fn start(
        number: usize,
        zone: &str,
        ip: Ipv4Addr,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> Self {
        let [clients, ready, control, first_peer, last_peer] = ports();
        let folder = std::env::temp_dir().join(format!("review-{}-{ip}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("{seed}:{control}")).collect();
        let settings = format!(
            "node=front-{zone}-{number}\nrole=router\nmachine_class=front\nserves=front,control\n\
             ip_address={ip}\nzone={zone}\nregion=r\nzones.{zone}=r\n\
             listen_addresses.front={ip}:{clients}\nlisten_addresses.ready={ip}:{ready}\n\
             listen_addresses.control={ip}:{control}\ninternal_ports={first_peer},{last_peer}\n\
             seeds={}\nfirst_start=true\nheartbeat_interval_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stability_window_ms=3000\n\
             bounds.acknowledge_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.configuration_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.outer_bound_ms=5000\nbounds.strict_revocation=true\nbounds.revocation_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.budget_extra_retries=196\nbounds.recovery_s=12\nbounds.pass_ms=120\n\
             bounds.retry_after_s=0\nbounds.stall_ms=2500\nbounds.fencing_required=false\n\
             platform.address={store}\nplatform.form=table\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.transaction_ms=5.0\n\
             platform.part_writes_per_s=200\nplatform.row_bytes=65536\nplatform.across=false\n\
             platform.history_s=20\nplatform.blob_bytes=8388608\n",
            seeds.join(","),
        );
        std::fs::write(folder.join("settings.conf"), settings).unwrap();
        let mut router = Self {
            clients: (ip, clients).into(),
            ready: (ip, ready).into(),
            metrics: (ip, 9464).into(),
            folder,
            child: None,
        };
        router.spawn();
        router
    }

    pub fn spawn(&mut self) {
        let program = crate::repository().join("target/release/mimosafront");
        let log = File::options().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = Command::new(program)
            .current_dir(crate::repository())
            .args(["--metrics", &self.metrics.to_string()])
            .env("MIMOSASHIFT_SETTINGS", self.folder.join("settings.conf"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = child.ok();
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    pub async fn is_ready(&self) -> bool {
        let Ok(mut connection) = http::connect(self.ready).await else { return false };
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        connection.write(request).await.is_ok()
            && connection.message().await.is_ok_and(|answer| answer.head.status() == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        self.signal(Signal::SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until all routers are ready; false if one is not in time.
pub async fn all_ready(routers: &[Router]) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        let mut ready = true;
        for router in routers {
            ready &= router.is_ready().await;
        }
        if ready {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}
