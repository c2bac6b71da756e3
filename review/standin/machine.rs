//! The processes of the system, with the command of the deploy file, and the platform's part in
//! their lives.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    client::Connection,
    record::Record,
    store::{Link, Store},
};

/// Time from the start of the machines to the start of traffic.
const LEAD: Duration = Duration::from_secs(10);

/// The processes that run, for [`kill_all`].
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, for a case that takes too long.
pub fn kill_all() {
    for pid in PIDS.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
    }
}

/// Settings that differ between cases.
#[derive(Clone, Copy)]
pub struct Plan {
    pub machines: usize,
    pub memory_mb: u32,
}

/// All machines of the system, each with its own path to the store. Their processes are killed on
/// drop.
pub struct Fleet {
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    pub link: Link,
    pub child: Child,
}

impl Fleet {
    /// Starts the machines and waits until they are ready and traffic may start.
    pub fn start(plan: Plan, store: &Store, record: &Arc<Record>) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|err| err.to_string())?;
        let mut fleet = Self { machines: Vec::new(), folder };
        let command = deploy_command()?;
        // Each machine has a loopback address of its own, different in each run.
        let pid = std::process::id();
        let ips: Vec<_> = (0..plan.machines)
            .map(|no| {
                Ipv4Addr::new(127, 20 + (pid >> 8 & 127) as u8, (pid & 255) as u8, 10 + no as u8)
            })
            .collect();
        let port = |ip: Ipv4Addr| {
            let listener = TcpListener::bind((ip, 0)).map_err(|err| err.to_string())?;
            listener.local_addr().map(|it| it.port()).map_err(|err| err.to_string())
        };
        let (front, ready, control) = (port(ips[0])?, port(ips[0])?, port(ips[0])?);
        let seeds: Vec<_> = ips.iter().take(3).map(|ip| format!("\"{ip}:{control}\"")).collect();
        for (no, ip) in ips.iter().enumerate() {
            let link = Link::start(store.address);
            let name = format!("edge-{}", no + 1);
            let settings = fleet.folder.join(format!("{name}.json"));
            let address = |port| SocketAddr::V4(SocketAddrV4::new(*ip, port));
            let text = settings_text(&name, no, *ip, [front, ready, control], &seeds, &link, plan);
            fs::write(&settings, text).map_err(|err| err.to_string())?;
            let log = fs::File::create(fleet.folder.join(format!("{name}.log")));
            let child = Command::new(&command[0])
                .args(&command[1..])
                .env_clear()
                .env("PATH", std::env::var_os("PATH").unwrap_or_default())
                .env("HOME", &fleet.folder)
                .env("CLEMENTINEHALL_CONFIG", &settings)
                .stdin(Stdio::null())
                .stdout(log.map_err(|err| err.to_string())?)
                .spawn()
                .map_err(|err| format!("{}: {err}", command[0]))?;
            PIDS.lock().unwrap().push(child.id());
            let (front, ready) = (address(front), address(ready));
            fleet.machines.push(Machine { name, front, ready, link, child });
        }
        let started = Instant::now();
        while started.elapsed() < LEAD || !fleet.machines.iter().all(Machine::is_ready) {
            if started.elapsed() > 2 * LEAD {
                return Err("the machines do not become ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        record.say(format!("{} machines are ready", fleet.machines.len()));
        Ok(fleet)
    }

    /// Copies the logs of the processes to a folder, for the reader of a failure.
    pub fn keep_logs(&self, to: &Path) {
        for machine in &self.machines {
            let name = format!("{}.log", machine.name);
            let _ = fs::copy(self.folder.join(&name), to.join(&name));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            let _ = machine.child.kill();
            let _ = machine.child.wait();
            PIDS.lock().unwrap().retain(|it| *it != machine.child.id());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    /// Asks whether the machine is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.ready) else { return false };
        let text = "GET /clementinehall/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        connection.exchange(text.as_bytes(), "GET").is_ok_and(|it| it.status == 200)
    }

    /// Returns the memory that the process uses, in kB; `None` if it has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }
}

/// Returns the words of the first `run` of the deploy file.
fn deploy_command() -> Result<Vec<String>, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|err| err.to_string())?;
    let line = text.lines().find_map(|it| it.strip_prefix("run = \"")).ok_or("no command")?;
    Ok(line.trim_end_matches('"').split(' ').map(str::to_owned).collect())
}

fn settings_text(
    name: &str,
    no: usize,
    ip: Ipv4Addr,
    [front, ready, control]: [u16; 3],
    seeds: &[String],
    link: &Link,
    plan: Plan,
) -> String {
    let zones = ["zona-norte", "zona-sur", "zona-yumbo"];
    format!(
        r#"{{
  "nodeName": "{name}", "role": "edge", "machineClass": "edge", "serves": ["edge", "control_plane"],
  "ip": "{ip}", "zone": "{}", "region": "valle-cauca",
  "zones": {{"zona-norte": "valle-cauca", "zona-sur": "valle-cauca", "zona-yumbo": "valle-cauca"}},
  "listen": {{"front": "{ip}:{front}", "readyAddr": "{ip}:{ready}", "control": "{ip}:{control}"}},
  "internalPorts": [7340, 7355], "seeds": [{}], "bootstrap": true, "inTolerance": false,
  "limits": {{"cpuShare": 0.25, "cores": 1, "memoryMb": {}, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}},
  "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"],
  "faultTolerance": {{"machines": 2, "zones": 1, "regions": 0}},
  "bounds": {{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": true, "revokeMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoverS": 12, "passMs": 120, "reuseWindowS": 5}},
  "platform": {{"address": "{}", "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
}}"#,
        zones[no % zones.len()],
        seeds.join(", "),
        plan.memory_mb,
        link.address,
    )
}
