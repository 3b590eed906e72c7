//! Router processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::http;

pub struct Router {
    pub name: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Ports of all routers.
#[derive(Clone, Copy)]
pub struct Ports(pub u16);

impl Router {
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        address: Ipv4Addr,
        Ports(first): Ports,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("{seed}:{}", first + 2)).collect();
        let settings = format!(
            "node={name}\nrole=router\nmachine_class=front\nserves=front,control\n\
             ip_address={address}\nzone={zone}\nregion=r\nzones.a=r\nzones.b=r\n\
             listen_addresses.front={address}:{first}\n\
             listen_addresses.ready={address}:{}\nlisten_addresses.control={address}:{}\n\
             internal_ports={},{}\nseeds={}\nfirst_start=true\n\
             limits.cpu_share=0.5\nlimits.cores=1\nlimits.memory_mb=520\n\
             limits.file_descriptors=8400\nlimits.link_mbps=2000.0\n\
             discovery=platform\nentry=virtual_ip\nheartbeat_interval_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers\n\
             bounds.stability_window_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.configuration_ms=2000\n\
             bounds.strict_revocation=true\nbounds.revocation_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.budget_extra_retries=196\nbounds.stall_ms=2500\n\
             bounds.fencing_required=false\nplatform.address={store}\nplatform.form=table\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\n",
            first + 1,
            first + 2,
            first + 3,
            first + 4,
            seeds.join(","),
        );
        let path = folder.join(format!("{name}.conf"));
        std::fs::write(&path, settings)?;
        let child = Command::new(root().join("target/release/mimosafront"))
            .args(["--metrics", &format!("{address}:9464")])
            .current_dir(root())
            .env("MIMOSASHIFT_SETTINGS", &path)
            .stdout(File::create(folder.join(format!("{name}.log")))?)
            .stderr(File::create(folder.join(format!("{name}.err")))?)
            .spawn()?;
        let (clients, ready) = ((address, first).into(), (address, first + 1).into());
        Ok(Self { name: name.to_owned(), clients, ready, child })
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let request = http::encode("GET /api/readiness HTTP/1.1", &[("host", "ready")], b"");
        http::wait_for(&format!("{} is ready", self.name), Duration::from_secs(15), || {
            let answer = http::call(self.ready, &request, Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    }

    pub fn signal(&self, signal: Signal) {
        // It may have ended.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// The root of the repository, in which scripts are run.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("the working directory is known")
}
