//! Processes of the program, started by the command of the deploy file.

use std::{
    collections::BTreeSet,
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{client, record::Record, store::Store};

/// Time until a process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A loopback network of its own, so that fixed ports are free.
#[derive(Clone)]
pub(crate) struct Network {
    prefix: String,
    last: std::sync::Arc<AtomicU32>,
}

impl Network {
    pub(crate) fn new() -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.subsec_nanos());
        let seed = nanos ^ (std::process::id() << 4);
        let prefix = format!("127.{}.{}", 1 + seed % 250, 1 + (seed >> 8) % 250);
        Self { prefix, last: std::sync::Arc::default() }
    }

    /// Returns an address that nothing else of the case has.
    pub(crate) fn ip(&self) -> String {
        format!("{}.{}", self.prefix, 1 + self.last.fetch_add(1, Ordering::SeqCst))
    }
}

/// Where a process listens.
#[derive(Clone)]
pub(crate) struct Addresses {
    ip: String,
    pub(crate) front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
}

impl Addresses {
    pub(crate) fn new(network: &Network) -> Result<Self, String> {
        let ip = network.ip();
        // All are held until all are known, so that they differ.
        let listeners: Vec<_> = (0..3).map(|_| TcpListener::bind((ip.as_str(), 0))).collect();
        let mut free = Vec::new();
        for listener in listeners {
            let address = listener.and_then(|it| it.local_addr());
            free.push(address.map_err(|err| format!("no free port: {err}"))?);
        }
        Ok(Self { ip, front: free[0], ready: free[1], control: free[2] })
    }
}

/// A running process. It is killed on drop.
pub(crate) struct Edge {
    pub(crate) addresses: Addresses,
    child: Child,
    folder: PathBuf,
}

/// Starts processes that know each other as seeds, and waits until they are ready.
pub(crate) fn start_fleet(
    network: &Network,
    store: &Store,
    count: usize,
    record: &Record,
) -> Result<Vec<Edge>, String> {
    let addresses: Result<Vec<_>, _> = (0..count).map(|_| Addresses::new(network)).collect();
    let addresses = addresses?;
    let seeds = seeds(addresses.iter());
    let fleet: Result<Vec<_>, _> =
        addresses.into_iter().map(|it| Edge::start(it, store, &seeds, record)).collect();
    let fleet = fleet?;
    for edge in &fleet {
        edge.wait_ready()?;
    }
    Ok(fleet)
}

/// Returns the addresses of the machines that the settings name as seeds.
pub(crate) fn seeds<'a>(addresses: impl Iterator<Item = &'a Addresses>) -> Vec<SocketAddr> {
    addresses.take(3).map(|it| it.control).collect()
}

impl Edge {
    fn start(
        addresses: Addresses,
        store: &Store,
        seeds: &[SocketAddr],
        record: &Record,
    ) -> Result<Self, String> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("clementinehall-review-3-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|err| err.to_string())?;
        let path = folder.join("node.json");
        fs::write(&path, settings(&addresses, store.address, seeds))
            .map_err(|err| err.to_string())?;
        let log = File::create(folder.join("log")).map_err(|err| err.to_string())?;
        let child = Command::new("target/release/clementine-edge")
            .args(["--metrics", "9464/metrics"])
            .env("CLEMENTINEHALL_CONFIG", &path)
            .stderr(log.try_clone().map_err(|err| err.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|err| format!("cannot start clementine-edge: {err}"))?;
        record.note(&format!("started an instance at {}", addresses.front));
        running().lock().unwrap().insert(child.id());
        write_running();
        Ok(Self { addresses, child, folder })
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) -> Result<(), String> {
        self.child.kill().map_err(|err| err.to_string())
    }

    /// Waits until the process has ended, and starts it again.
    pub(crate) fn start_again(
        &mut self,
        store: &Store,
        seeds: &[SocketAddr],
        record: &Record,
    ) -> Result<(), String> {
        self.child.wait().map_err(|err| err.to_string())?;
        running().lock().unwrap().remove(&self.child.id());
        write_running();
        record.note(&format!("the instance at {} has ended", self.addresses.front));
        *self = Self::start(self.addresses.clone(), store, seeds, record)?;
        self.wait_ready()
    }

    /// Asks the process to stop.
    pub(crate) fn terminate(&self) -> Result<(), String> {
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("cannot send SIGTERM: {other:?}")),
        }
    }

    fn wait_ready(&self) -> Result<(), String> {
        let by = Instant::now() + READY_TIMEOUT;
        let request = "GET /clementinehall/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        while Instant::now() < by {
            let answer = client::exchange(self.addresses.ready, request.as_bytes());
            if answer.is_ok_and(|it| it.0.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("the instance at {} is not ready", self.addresses.front))
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        running().lock().unwrap().remove(&self.child.id());
        write_running();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the ids of the processes that were started and have not been waited for.
fn running() -> &'static Mutex<BTreeSet<u32>> {
    static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());
    &RUNNING
}

/// Writes these ids to the file that `CASE_PIDS` names, for a script that is stopped itself.
fn write_running() {
    let Some(path) = std::env::var_os("CASE_PIDS") else { return };
    let ids = running().lock().unwrap();
    let lines: String = ids.iter().map(|id| format!("{id}\n")).collect();
    // Without the file, the processes still end with the case.
    let _ = fs::write(path, lines);
}

/// Returns settings like those of the deployment with seven machines.
fn settings(addresses: &Addresses, store: SocketAddr, seeds: &[SocketAddr]) -> String {
    let Addresses { ip, front, ready, control } = addresses;
    let seeds: Vec<_> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
    let seeds = seeds.join(",");
    format!(
        r#"{{"nodeName":"edge-{ip}","role":"edge","machineClass":"edge","serves":["edge","control_plane"],
"ip":"{ip}","zone":"zona-norte","region":"valle-cauca",
"zones":{{"zona-norte":"valle-cauca","zona-sur":"valle-cauca","zona-yumbo":"valle-cauca"}},
"listen":{{"front":"{front}","readyAddr":"{ready}","control":"{control}"}},"internalPorts":[7340,7355],
"seeds":[{seeds}],"bootstrap":true,"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":110,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"],
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"strictRevoke":true,
"revokeMs":5000,"budgetRatio":0.2,"budgetWindowS":10,"budgetSlack":54,"coldOverage":1.5,"coldSlack":5,
"evacuateMs":5000,"recoverS":12,"passMs":120,"reuseWindowS":5}},
"platform":{{"address":"{store}","form":"read","writesPerS":400,"readsPerS":2000,"historyS":20,
"valueBytes":1048576,"ttlMinMs":1000}}}}"#
    )
}
