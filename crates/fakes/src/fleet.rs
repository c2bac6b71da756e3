//! A fleet of real daemons with everything around them.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitStatus,
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use config::{
    Config, Instance, InstanceList, InstanceState, Platform as PlatformSettings, Settings,
};
use serde_json::Value;

use crate::{
    Balancer, Call, Client, End, Engine, Entry, FleetBuilder, FleetError, Net, Platform, Process,
    free_port, rt::block_on,
};

const POLL: Duration = Duration::from_millis(20);
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
const WATCH_MS: u64 = 500;
const RETRY_MS: u64 = 50;

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// A fleet of real daemons with everything around them; all of it ends when it is dropped.
pub struct Fleet {
    /// The platform's services.
    pub platform: Platform,
    /// The proxies between daemons, if the fleet was built with them.
    pub net: Option<Net>,
    engines: BTreeMap<String, Engine>,
    daemons: BTreeMap<String, Daemon>,
    config: Config,
    list: InstanceList,
    dir: PathBuf,
}

struct Daemon {
    settings: Settings,
    process: Process,
}

impl Fleet {
    pub(crate) fn start(builder: FleetBuilder) -> Result<Self, FleetError> {
        let platform = Platform::start()?;
        let mut config = builder.config;
        let mut engines = BTreeMap::new();
        for plan in builder.servers {
            let (engine, server) = plan.start()?;
            engines.insert(server.name.clone(), engine);
            config.servers.push(server);
        }
        let instances: Vec<Instance> = builder
            .daemons
            .into_iter()
            .map(|it| Instance {
                name: it.name,
                zone: it.zone,
                peer: free_port(),
                state: InstanceState::Live,
            })
            .collect();
        let net = if builder.proxied { Some(Net::start(&instances, &platform)?) } else { None };
        let mut fleet = Self {
            platform,
            net,
            engines,
            daemons: BTreeMap::new(),
            config,
            list: InstanceList { version: 1, instances },
            dir: make_dir()?,
        };
        fleet.publish(|_| {})?;
        fleet.platform.set_instances(fleet.list.clone());
        for instance in fleet.list.instances.clone() {
            let mut settings = fleet.settings(&instance);
            settings.limits = builder.limits.clone();
            settings.ownership = builder.ownership.clone();
            settings.policy = builder.policy;
            fleet.add_daemon(settings)?;
        }
        Ok(fleet)
    }

    fn settings(&self, instance: &Instance) -> Settings {
        let platform = self.net.as_ref().and_then(|it| it.platform_address(&instance.name));
        let platform = platform.unwrap_or(self.platform.address());
        let seeds = self.list.instances.iter().filter(|it| it.name != instance.name);
        Settings {
            instance: instance.name.clone(),
            zone: instance.zone.clone(),
            listen: free_port(),
            peer_listen: instance.peer,
            admin_listen: free_port(),
            metrics: None,
            platform: PlatformSettings {
                config: platform,
                config_path: "/config".to_owned(),
                instances: platform,
                instances_path: format!("/instances/{}", instance.name),
                watch_ms: WATCH_MS,
                retry_ms: RETRY_MS,
            },
            seeds: seeds.map(|it| it.peer).collect(),
            limits: Default::default(),
            ownership: Default::default(),
            policy: Default::default(),
        }
    }

    fn add_daemon(&mut self, settings: Settings) -> Result<(), FleetError> {
        let name = settings.instance.clone();
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, serde_json::to_vec_pretty(&settings)?)?;
        let mut process = Process::new(path, self.dir.join(format!("{name}.log")));
        process.start()?;
        self.daemons.insert(name, Daemon { settings, process });
        Ok(())
    }

    /// Returns the names of all daemons.
    pub fn names(&self) -> Vec<String> {
        self.daemons.keys().cloned().collect()
    }

    /// Returns the directory with the settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Returns the address for callers.
    ///
    /// # Panics
    ///
    /// As all functions that take a daemon's name, if there is none with this name.
    pub fn address(&self, daemon: &str) -> SocketAddr {
        self.daemon(daemon).settings.listen
    }

    /// Returns the address for operators.
    pub fn admin(&self, daemon: &str) -> SocketAddr {
        self.daemon(daemon).settings.admin_listen
    }

    /// Returns the address for other daemons.
    pub fn peer(&self, daemon: &str) -> SocketAddr {
        self.daemon(daemon).settings.peer_listen
    }

    /// Returns a daemon's settings.
    pub fn settings_of(&self, daemon: &str) -> &Settings {
        &self.daemon(daemon).settings
    }

    /// Returns a backend server.
    ///
    /// # Panics
    ///
    /// If there is none with this name.
    pub fn engine(&self, name: &str) -> &Engine {
        self.engines.get(name).unwrap_or_else(|| panic!("backend server {name:?} does not exist"))
    }

    /// Returns all backend servers by name.
    pub fn engines(&self) -> &BTreeMap<String, Engine> {
        &self.engines
    }

    /// Returns what all backend servers received, in the order of arrival.
    pub fn record(&self) -> Vec<Entry> {
        let mut entries: Vec<Entry> = self.engines.values().flat_map(Engine::record).collect();
        entries.sort_by_key(|it| it.at);
        entries
    }

    /// Returns a balancer over all daemons.
    pub fn balancer(&self) -> Balancer {
        Balancer::start(
            self.daemons.values().map(|it| (it.settings.listen, it.settings.admin_listen)),
        )
    }

    /// Returns the configuration that was published last.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Changes the configuration, raises its version and publishes it; returns the version.
    pub fn publish(&mut self, change: impl FnOnce(&mut Config)) -> Result<u64, FleetError> {
        change(&mut self.config);
        self.config.version += 1;
        self.platform.publish(self.config.version, serde_json::to_string(&self.config)?);
        Ok(self.config.version)
    }

    /// Changes the instance list, raises its version and publishes it.
    pub fn publish_list(&mut self, change: impl FnOnce(&mut Vec<Instance>)) {
        change(&mut self.list.instances);
        self.list.version += 1;
        self.platform.set_instances(self.list.clone());
    }

    /// Marks a daemon as leaving, or as live, in the instance list.
    pub fn mark(&mut self, daemon: &str, state: InstanceState) {
        self.publish_list(|list| {
            for instance in list.iter_mut().filter(|it| it.name == daemon) {
                instance.state = state;
            }
        });
    }

    /// Takes a daemon off the instance list.
    pub fn delist(&mut self, daemon: &str) {
        self.publish_list(|list| list.retain(|it| it.name != daemon));
    }

    /// Puts a daemon onto the instance list.
    pub fn enlist(&mut self, daemon: &str) {
        let settings = &self.daemon(daemon).settings;
        let instance = Instance {
            name: settings.instance.clone(),
            zone: settings.zone.clone(),
            peer: settings.peer_listen,
            state: InstanceState::Live,
        };
        self.publish_list(|list| {
            list.retain(|it| it.name != instance.name);
            list.push(instance);
        });
    }

    /// Kills a daemon.
    pub fn kill(&mut self, daemon: &str) -> Result<(), FleetError> {
        Ok(self.daemon_mut(daemon).process.kill()?)
    }

    /// Asks a daemon to shut down.
    pub fn terminate(&self, daemon: &str) -> Result<(), FleetError> {
        Ok(self.daemon(daemon).process.terminate()?)
    }

    /// Waits for a daemon to end by itself; none if it still runs then.
    pub fn wait_exit(
        &mut self,
        daemon: &str,
        limit: Duration,
    ) -> Result<Option<ExitStatus>, FleetError> {
        Ok(self.daemon_mut(daemon).process.wait(limit)?)
    }

    /// Stops a daemon's process until [`Fleet::resume`].
    pub fn pause(&self, daemon: &str) -> Result<(), FleetError> {
        Ok(self.daemon(daemon).process.pause()?)
    }

    /// Lets a paused daemon go on.
    pub fn resume(&self, daemon: &str) -> Result<(), FleetError> {
        Ok(self.daemon(daemon).process.resume()?)
    }

    /// Starts a daemon's process again with the same settings; one that runs is killed before.
    pub fn restart(&mut self, daemon: &str) -> Result<(), FleetError> {
        self.daemon_mut(daemon).process.start()
    }

    /// Returns a daemon's process.
    pub fn process(&self, daemon: &str) -> &Process {
        &self.daemon(daemon).process
    }

    /// Returns whether a daemon reports that it is ready.
    pub fn is_ready(&self, daemon: &str) -> bool {
        let call = Call::get("/readyz").timeout(ADMIN_TIMEOUT);
        block_on(Client::new(self.admin(daemon)).send(&call)).status == 200
    }

    /// Waits until one daemon is ready.
    pub fn wait_ready(&self, daemon: &str, limit: Duration) -> Result<(), FleetError> {
        self.wait(&format!("readiness of {daemon}"), limit, || {
            if self.is_ready(daemon) { Ok(()) } else { Err("not ready".to_owned()) }
        })
    }

    /// Waits until all daemons whose processes run are ready.
    pub fn wait_all_ready(&self, limit: Duration) -> Result<(), FleetError> {
        let end = Instant::now() + limit;
        let running = self.daemons.iter().filter(|(_, it)| it.process.id().is_some());
        for (name, _) in running {
            self.wait_ready(name, end.saturating_duration_since(Instant::now()))?;
        }
        Ok(())
    }

    /// Returns a daemon's dump; null if it gives none.
    pub fn dump(&self, daemon: &str) -> Value {
        let call = Call::get("/dump").timeout(ADMIN_TIMEOUT);
        let reply = block_on(Client::new(self.admin(daemon)).send(&call));
        let body = if reply.end == End::Whole { reply.body } else { Vec::new() };
        serde_json::from_slice(&body).unwrap_or(Value::Null)
    }

    /// Waits until a daemon's dump fulfils a condition, and returns it.
    pub fn wait_dump(
        &self,
        daemon: &str,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value, FleetError> {
        self.wait(&format!("{what} at {daemon}"), limit, || {
            let dump = self.dump(daemon);
            if condition(&dump) { Ok(dump) } else { Err(dump.to_string()) }
        })
    }

    /// Waits until `look` returns a value; it returns what it saw instead otherwise.
    pub fn wait<T>(
        &self,
        what: &str,
        limit: Duration,
        mut look: impl FnMut() -> Result<T, String>,
    ) -> Result<T, FleetError> {
        let end = Instant::now() + limit;
        loop {
            let seen = match look() {
                Ok(value) => return Ok(value),
                Err(seen) => seen,
            };
            if Instant::now() >= end {
                let (what, logs) = (what.to_owned(), self.logs());
                return Err(FleetError::Deadline { what, millis: limit.as_millis(), seen, logs });
            }
            thread::sleep(POLL);
        }
    }

    /// Returns the ends of the daemons' logs.
    pub fn logs(&self) -> String {
        let tail = |(name, it): (&String, &Daemon)| format!("-- {name}\n{}", it.process.log_tail());
        self.daemons.iter().map(tail).collect::<Vec<_>>().join("\n")
    }

    fn daemon(&self, name: &str) -> &Daemon {
        self.daemons.get(name).unwrap_or_else(|| panic!("daemon {name:?} does not exist"))
    }

    fn daemon_mut(&mut self, name: &str) -> &mut Daemon {
        self.daemons.get_mut(name).unwrap_or_else(|| panic!("daemon {name:?} does not exist"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", self.logs());
        }
        self.daemons.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn make_dir() -> Result<PathBuf, FleetError> {
    let no = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("clementinehall-{}-{no}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
