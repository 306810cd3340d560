//! A small deployment of the project's own programs on loopback addresses: three control hosts and some
//! entry hosts, started with the commands of the deploy file and settings as its templates fill them.

use std::fs;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{call, Request};

pub const PEERS_PORT: u16 = 7740;
pub const METRICS_PORT: u16 = 7741;
pub const OPERATORS_PORT: u16 = 8628;
pub const CALLERS_PORT: u16 = 8625;
pub const READINESS_PORT: u16 = 8621;

/// Bounds of the deployment, as on the sheet of the site.
pub const HEARTBEAT_MS: u64 = 1_200;
pub const GRACE_S: u64 = 8;
pub const DRAIN_MS: u64 = 2_000;
pub const CONTACT_MS: u64 = 3_000;
pub const MEMORY_MB: u64 = 260;

pub const ZONES: [&str; 3] = ["waco-hall", "temple-hall", "bryan-hall"];

pub const SIGTERM: i32 = 15;

const RLIMIT_NOFILE: i32 = 7;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn getrlimit(resource: i32, limits: *mut [u64; 2]) -> i32;
    fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
}

/// Sets how many descriptors this process may have.
fn limit_descriptors(count: u64) -> std::io::Result<()> {
    match unsafe { setrlimit(RLIMIT_NOFILE, &[count, count]) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Lets this process have `count` descriptors, within what it may set itself; returns whether it can.
pub fn allow_descriptors(count: u64) -> bool {
    let mut limits = [0; 2];
    let known = unsafe { getrlimit(RLIMIT_NOFILE, &mut limits) } == 0;
    known && (limits[0] >= count || (limits[1] >= count && unsafe { setrlimit(RLIMIT_NOFILE, &[count, limits[1]]) } == 0))
}

/// A process of the system.
pub struct Host {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Number of descriptors that the process may have; as many as this one if it is `None`.
    descriptors: Option<u64>,
}

impl Host {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log file");
        let errors = log.try_clone().expect("log file");
        let mut command = Command::new("target/release/linnet-platform");
        if let Some(descriptors) = self.descriptors {
            // The limit is that of the new process only.
            unsafe { command.pre_exec(move || limit_descriptors(descriptors)) };
        }
        let child = command
            .arg(self.role)
            .env("LINNETDALE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/linnet-platform has to be built");
        self.child = Some(child);
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if self.pid() > 0 {
            unsafe { kill(self.pid(), signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// Private memory of the process in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_000
    }
}

pub struct System {
    pub controls: Vec<Host>,
    pub entries: Vec<Host>,
    network: [u8; 2],
    folder: PathBuf,
}

impl System {
    /// Starts the processes.
    pub fn start(entries: usize) -> Option<Self> {
        Self::start_with(entries, None)
    }

    /// Same as [`System::start`], with entry hosts that may have so many descriptors.
    pub fn start_with(entries: usize, descriptors: Option<u64>) -> Option<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("linnet-review-{pid}"));
        fs::create_dir_all(&folder).ok()?;
        let mut system = Self { controls: Vec::new(), entries: Vec::new(), network: free_network(pid)?, folder };
        for number in 0..3 {
            fs::create_dir_all(system.data(number)).ok()?;
            let settings = system.control_settings(number, true);
            let host = system.host(&format!("core-{number}"), "control", &settings);
            system.controls.push(host);
        }
        for number in 0..entries {
            let settings = system.entry_settings(number);
            let mut host = system.host(&format!("edge-{number}"), "entry", &settings);
            host.descriptors = descriptors;
            system.entries.push(host);
        }
        for host in system.controls.iter_mut().chain(&mut system.entries) {
            host.start();
        }
        // Only the very first start has `bootstrap = true`.
        sleep(Duration::from_millis(500));
        for number in 0..3 {
            let settings = system.control_settings(number, false);
            fs::write(&system.controls[number].settings, settings).ok()?;
        }
        Some(system)
    }

    fn host(&self, name: &str, role: &'static str, settings: &str) -> Host {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings file");
        let log = self.folder.join(format!("{name}.log"));
        Host { role, settings: path, log, child: None, descriptors: None }
    }

    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        let [a, b] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, last)), port)
    }

    pub fn operators(&self, number: usize) -> SocketAddr {
        self.address(10 + number as u8, OPERATORS_PORT)
    }

    pub fn callers(&self, number: usize) -> SocketAddr {
        self.address(100 + number as u8, CALLERS_PORT)
    }

    pub fn readiness(&self, number: usize) -> SocketAddr {
        self.address(100 + number as u8, READINESS_PORT)
    }

    fn data(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{number}"))
    }

    fn common_settings(&self, last: u8) -> String {
        let seeds: Vec<String> = (0..3).map(|number| format!("\"{}\"", self.operators(number))).collect();
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\" = \"tx-central\"\n")).collect();
        format!(
            "peers = \"{}\"\nmetrics = \"{}\"\n\n[cluster]\nseeds = [{}]\npeer_keys = \"none\"\nfirst_start = FIRST\nDATA\n\
             [halls]\n{}\n[times]\nheartbeat_ms = {HEARTBEAT_MS}\nstop_ms = {GRACE_S}000\n",
            self.address(last, PEERS_PORT),
            self.address(last, METRICS_PORT),
            seeds.join(","),
            zones.concat()
        )
    }

    /// The settings of `deploy/control.toml`.
    fn control_settings(&self, number: usize, first_start: bool) -> String {
        let common = self.common_settings(10 + number as u8);
        let data = format!("data = \"{}\"", self.data(number).display());
        format!(
            "name = \"core-{number}\"\nhall = \"{}\"\n[listen]\noperators = \"{}\"\n{}\n[rollout]\n",
            ZONES[number % 3],
            self.operators(number),
            common.replace("FIRST", &first_start.to_string()).replace("DATA", &data)
        )
    }

    /// The settings of `deploy/entry.toml`.
    fn entry_settings(&self, number: usize) -> String {
        let common = self.common_settings(100 + number as u8);
        format!(
            "name = \"edge-{number}\"\nhall = \"{}\"\n[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\n{}\n\
             [processor]\nshare = 0.25\nspeed = 1\n\
             [retry]\nratio = 0.2\nslack = 58\nwindow_ms = 10000\n\
             [overload]\nmeasured_waits = true\nplanned_returns = true\nfair_shares = false\n\
             ordered_succession = true\nqueue_returns = true\nconfirm_slow_targets = true\nmin_accounts = 8\n",
            ZONES[number % 3],
            self.callers(number),
            self.readiness(number),
            common.replace("FIRST", "false").replace("DATA\n", "")
        )
    }

    /// Sends an order to one control host after the other until one acknowledges it.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            for number in 0..3 {
                let request = Request::new(method, path).header("Host", "control").body(body.as_bytes());
                let answer = call(self.operators(number), &request, Duration::from_secs(1));
                if answer.is_some_and(|answer| (200..300).contains(&answer.status)) {
                    return true;
                }
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until every entry host says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        let is_ready = |number: usize| {
            let request = Request::new("GET", "/-/readyz").header("Host", "entry");
            call(self.readiness(number), &request, Duration::from_secs(1)).is_some_and(|answer| answer.status == 200)
        };
        while started.elapsed() < limit {
            if (0..self.entries.len()).all(is_ready) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for host in self.controls.iter_mut().chain(&mut self.entries) {
            host.kill();
        }
        if let Some(to) = std::env::var_os("KEEP_LOGS") {
            copy_logs(&self.folder, Path::new(&to));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn copy_logs(from: &Path, to: &Path) {
    let _ = fs::create_dir_all(to);
    for file in fs::read_dir(from).into_iter().flatten().flatten() {
        if file.path().extension().is_some_and(|extension| extension == "log") {
            let _ = fs::copy(file.path(), to.join(file.file_name()));
        }
    }
}

/// Finds a part of the loopback network in which the ports are free.
fn free_network(seed: u32) -> Option<[u8; 2]> {
    for step in 0..200u32 {
        let number = seed.wrapping_mul(7919).wrapping_add(step * 131);
        let network = [(number >> 8) as u8 % 250 + 2, number as u8 % 250 + 2];
        let ip = Ipv4Addr::new(127, network[0], network[1], 10);
        let ports = [PEERS_PORT, METRICS_PORT, OPERATORS_PORT];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return Some(network);
        }
    }
    None
}
