//! A fleet of real daemon processes with the fakes around them.

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
    Balancer, Call, Client, End, Engine, FleetBuilder, FleetError, Net, Platform, Process,
    RecordedRequest, free_port, rt::block_on,
};

const POLL: Duration = Duration::from_millis(20);
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait of one watch of the platform, in milliseconds.
const WATCH_MS: u64 = 500;
/// Pause of a daemon before it retries a failed read of the platform, in milliseconds.
const RETRY_MS: u64 = 50;

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

/// A fleet of real daemon processes with the fakes around them. All of it is stopped on drop, which
/// prints the daemons' logs if the thread panics.
pub struct Fleet {
    /// The fake configuration service and instance list.
    pub platform: Platform,
    /// The proxies on all links, if [`FleetBuilder::proxied`] was called.
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
        for spec in builder.servers {
            let (engine, server) = spec.start()?;
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

    /// Returns the names of all daemons, also of those that are not running, in alphabetical order.
    pub fn daemon_names(&self) -> Vec<String> {
        self.daemons.keys().cloned().collect()
    }

    /// Returns the directory of the daemons' settings and logs, removed on drop.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Returns a daemon's address for callers.
    ///
    /// # Panics
    ///
    /// If there is no daemon with this name; so do all methods that take a daemon's name.
    pub fn address(&self, daemon: &str) -> SocketAddr {
        self.daemon(daemon).settings.listen
    }

    /// Returns a daemon's address for operators.
    pub fn admin(&self, daemon: &str) -> SocketAddr {
        self.daemon(daemon).settings.admin_listen
    }

    /// Returns a daemon's own address for other daemons, without the proxies in between.
    pub fn peer(&self, daemon: &str) -> SocketAddr {
        self.daemon(daemon).settings.peer_listen
    }

    /// Returns the settings that a daemon was started with.
    pub fn settings_of(&self, daemon: &str) -> &Settings {
        &self.daemon(daemon).settings
    }

    /// Returns a backend server.
    ///
    /// # Panics
    ///
    /// If there is no backend server with this name.
    pub fn engine(&self, name: &str) -> &Engine {
        self.engines.get(name).unwrap_or_else(|| panic!("backend server {name:?} does not exist"))
    }

    /// Returns all backend servers by name.
    pub fn engines(&self) -> &BTreeMap<String, Engine> {
        &self.engines
    }

    /// Returns the requests that all backend servers recorded, in the order of arrival.
    pub fn record(&self) -> Vec<RecordedRequest> {
        let mut entries: Vec<RecordedRequest> =
            self.engines.values().flat_map(Engine::record).collect();
        entries.sort_by_key(|it| it.at);
        entries
    }

    /// Starts a balancer over all daemons.
    pub fn balancer(&self) -> Balancer {
        Balancer::start(
            self.daemons.values().map(|it| (it.settings.listen, it.settings.admin_listen)),
        )
    }

    /// Returns the configuration that was last published.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Changes the configuration, increments its version and publishes it; returns the new version.
    pub fn publish(&mut self, change: impl FnOnce(&mut Config)) -> Result<u64, FleetError> {
        change(&mut self.config);
        self.config.version += 1;
        self.platform.publish(self.config.version, serde_json::to_string(&self.config)?);
        Ok(self.config.version)
    }

    /// Changes the instance list, increments its version and publishes it.
    pub fn publish_list(&mut self, change: impl FnOnce(&mut Vec<Instance>)) {
        change(&mut self.list.instances);
        self.list.version += 1;
        self.platform.set_instances(self.list.clone());
    }

    /// Sets a daemon's state, leaving or live, in the instance list.
    pub fn set_state(&mut self, daemon: &str, state: InstanceState) {
        self.publish_list(|list| {
            for instance in list.iter_mut().filter(|it| it.name == daemon) {
                instance.state = state;
            }
        });
    }

    /// Removes a daemon from the instance list; its process goes on.
    pub fn remove_from_list(&mut self, daemon: &str) {
        self.publish_list(|list| list.retain(|it| it.name != daemon));
    }

    /// Adds a daemon to the instance list as live.
    pub fn add_to_list(&mut self, daemon: &str) {
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

    /// Kills a daemon's process with SIGKILL.
    pub fn kill(&mut self, daemon: &str) -> Result<(), FleetError> {
        Ok(self.daemon_mut(daemon).process.kill()?)
    }

    /// Asks a daemon to shut down gracefully, with SIGTERM.
    pub fn terminate(&self, daemon: &str) -> Result<(), FleetError> {
        Ok(self.daemon(daemon).process.terminate()?)
    }

    /// Waits up to `limit` for a daemon to exit by itself; `None` if it has not.
    pub fn wait_exit(
        &mut self,
        daemon: &str,
        limit: Duration,
    ) -> Result<Option<ExitStatus>, FleetError> {
        Ok(self.daemon_mut(daemon).process.wait(limit)?)
    }

    /// Suspends a daemon's process, with SIGSTOP, until [`Fleet::resume`].
    pub fn pause(&self, daemon: &str) -> Result<(), FleetError> {
        Ok(self.daemon(daemon).process.pause()?)
    }

    /// Resumes a suspended daemon.
    pub fn resume(&self, daemon: &str) -> Result<(), FleetError> {
        Ok(self.daemon(daemon).process.resume()?)
    }

    /// Starts a daemon's process with the same settings, after killing the one that is running.
    pub fn restart(&mut self, daemon: &str) -> Result<(), FleetError> {
        self.daemon_mut(daemon).process.start()
    }

    /// Returns a daemon's process.
    pub fn process(&self, daemon: &str) -> &Process {
        &self.daemon(daemon).process
    }

    /// Returns whether a daemon reports ready at `/readyz`.
    pub fn is_ready(&self, daemon: &str) -> bool {
        let call = Call::get("/readyz").timeout(ADMIN_TIMEOUT);
        block_on(Client::new(self.admin(daemon)).send(&call)).status == 200
    }

    /// Waits until a daemon is ready.
    pub fn wait_ready(&self, daemon: &str, limit: Duration) -> Result<(), FleetError> {
        self.wait(&format!("readiness of {daemon}"), limit, || {
            if self.is_ready(daemon) { Ok(()) } else { Err("not ready".to_owned()) }
        })
    }

    /// Waits until all daemons with a running process are ready, `limit` in total.
    pub fn wait_all_ready(&self, limit: Duration) -> Result<(), FleetError> {
        let end = Instant::now() + limit;
        let running = self.daemons.iter().filter(|(_, it)| it.process.id().is_some());
        for (name, _) in running {
            self.wait_ready(name, end.saturating_duration_since(Instant::now()))?;
        }
        Ok(())
    }

    /// Returns a daemon's dump; null if the request for it fails.
    pub fn dump(&self, daemon: &str) -> Value {
        let call = Call::get("/dump").timeout(ADMIN_TIMEOUT);
        let reply = block_on(Client::new(self.admin(daemon)).send(&call));
        let body = if reply.end == End::Complete { reply.body } else { Vec::new() };
        serde_json::from_slice(&body).unwrap_or(Value::Null)
    }

    /// Waits until a daemon's dump meets a condition, and returns it. `description` names the
    /// condition in the error.
    pub fn wait_dump(
        &self,
        daemon: &str,
        description: &str,
        limit: Duration,
        condition: impl Fn(&Value) -> bool,
    ) -> Result<Value, FleetError> {
        self.wait(&format!("{description} at {daemon}"), limit, || {
            let dump = self.dump(daemon);
            if condition(&dump) { Ok(dump) } else { Err(dump.to_string()) }
        })
    }

    /// Polls `check` until it returns a value or `limit` has passed. The error of `check` describes
    /// the current state; the last one becomes part of the returned error.
    pub fn wait<T>(
        &self,
        condition: &str,
        limit: Duration,
        mut check: impl FnMut() -> Result<T, String>,
    ) -> Result<T, FleetError> {
        let end = Instant::now() + limit;
        loop {
            let state = match check() {
                Ok(value) => return Ok(value),
                Err(state) => state,
            };
            if Instant::now() >= end {
                let (condition, logs) = (condition.to_owned(), self.logs());
                return Err(FleetError::Timeout {
                    condition,
                    timeout_ms: limit.as_millis(),
                    state,
                    logs,
                });
            }
            thread::sleep(POLL);
        }
    }

    /// Returns the last log lines of each daemon.
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
