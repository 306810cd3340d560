//! Starts the project's own programs as the deploy file does, with settings like those of a small
//! deployment, and ends them.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const HALLS: [&str; 3] = ["waco-hall", "temple-hall", "bryan-hall"];

const CONTROL_PLANE_PORT: u16 = 8628;
const FRONTEND_PORT: u16 = 8625;
const READINESS_PORT: u16 = 8621;
const FIRST_INTERNAL_PORT: u16 = 7740;
const LAST_INTERNAL_PORT: u16 = 7755;

pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn control_plane(&self) -> SocketAddr {
        self.at(CONTROL_PLANE_PORT)
    }

    pub fn frontend(&self) -> SocketAddr {
        self.at(FRONTEND_PORT)
    }

    pub fn readiness(&self) -> SocketAddr {
        self.at(READINESS_PORT)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, root: &Path) -> std::io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(root.join("target/release/linnet-platform"))
            .arg(self.role)
            .current_dir(root)
            .env("LINNETDALE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib * 1024)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

pub struct System {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub network: [u8; 2],
    pub controls: Vec<Host>,
    pub entries: Vec<Host>,
    pub record: Record,
}

impl System {
    /// Prepares a system on free loopback addresses and a temporary folder.
    pub fn prepare(
        root: &Path,
        controls: usize,
        entries: usize,
        record: &Record,
    ) -> std::io::Result<Self> {
        let network = free_network()?;
        let name = format!(
            "linnet-review-{}-{}-{}",
            std::process::id(),
            network[0],
            network[1]
        );
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let mut system = Self {
            root: root.to_owned(),
            folder,
            network,
            controls: Vec::new(),
            entries: Vec::new(),
            record: record.clone(),
        };
        for number in 0..controls {
            system.add_control(number, true)?;
        }
        for number in 0..entries {
            system.add_entry(number)?;
        }
        Ok(system)
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], last)
    }

    fn seeds(&self) -> String {
        let seeds =
            (0..3).map(|number| format!("\"{}:{CONTROL_PLANE_PORT}\"", self.ip(10 + number)));
        seeds.collect::<Vec<_>>().join(",")
    }

    fn halls() -> String {
        HALLS
            .map(|hall| format!("\"{hall}\" = \"tx-central\"\n"))
            .concat()
    }

    /// Adds a control host; the settings are those of `deploy/control.toml`.
    pub fn add_control(&mut self, number: usize, bootstrap: bool) -> std::io::Result<()> {
        let ip = self.ip(10 + number as u8);
        let name = format!("core-{}-1", HALLS[number % 3]);
        let data = self.folder.join(format!("data-{number}"));
        fs::create_dir_all(&data)?;
        let text = format!(
            "name = \"{name}\"\nhall = \"{hall}\"\n\n[listen]\noperators = \"{ip}:{CONTROL_PLANE_PORT}\"\n\
             peers = \"{ip}:{FIRST_INTERNAL_PORT}\"\nmetrics = \"{ip}:{LAST_INTERNAL_PORT}\"\n\n\
             [cluster]\nseeds = [{seeds}]\nfirst_start = {bootstrap}\ndata = \"{data}\"\n\
             peer_keys = \"none\"\n\n[halls]\n{halls}\n[times]\nheartbeat_ms = 1200\nstop_ms = 8000\n\n\
             [rollout]\n",
            hall = HALLS[number % 3],
            seeds = self.seeds(),
            data = data.display(),
            halls = Self::halls(),
        );
        let host = self.host(name, ip, "control", &text)?;
        self.controls.push(host);
        Ok(())
    }

    /// Adds an entry host; the settings are those of `deploy/entry.toml`.
    pub fn add_entry(&mut self, number: usize) -> std::io::Result<()> {
        let ip = self.ip(40 + number as u8);
        let name = format!("edge-{}-{}", HALLS[number % 3], number / 3 + 1);
        let text = format!(
            "name = \"{name}\"\nhall = \"{hall}\"\n\n[listen]\ncallers = \"{ip}:{FRONTEND_PORT}\"\n\
             readiness = \"{ip}:{READINESS_PORT}\"\npeers = \"{ip}:{FIRST_INTERNAL_PORT}\"\n\
             metrics = \"{ip}:{LAST_INTERNAL_PORT}\"\n\n[cluster]\nseeds = [{seeds}]\n\
             first_start = true\npeer_keys = \"none\"\n\n[halls]\n{halls}\n[times]\n\
             heartbeat_ms = 1200\nstop_ms = 8000\n\n[retry]\nratio = 0.2\nslack = 58\n\
             window_ms = 10000\n\n[overload]\nmeasured_waits = true\nplanned_returns = true\n\
             fair_shares = false\nordered_succession = true\nqueue_returns = true\n\
             confirm_slow_targets = true\nmin_accounts = 8\n",
            hall = HALLS[number % 3],
            seeds = self.seeds(),
            halls = Self::halls(),
        );
        let host = self.host(name, ip, "entry", &text)?;
        self.entries.push(host);
        Ok(())
    }

    fn host(
        &self,
        name: String,
        ip: Ipv4Addr,
        role: &'static str,
        text: &str,
    ) -> std::io::Result<Host> {
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        Ok(Host {
            name,
            ip,
            role,
            settings,
            log,
            child: None,
        })
    }

    /// Starts every process.
    pub fn start_all(&mut self) -> std::io::Result<()> {
        let root = self.root.clone();
        for host in self.controls.iter_mut().chain(&mut self.entries) {
            host.start(&root)?;
        }
        Ok(())
    }

    /// Sends a configuration to the control hosts, again and again, until one acknowledges it.
    pub fn apply(&self, config: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut number = 0;
        while Instant::now() < until {
            let address = self.controls[number % self.controls.len()].control_plane();
            number += 1;
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let sent = http::exchange(
                address,
                "PUT /-/config HTTP/1.1",
                &headers,
                config.as_bytes(),
                Duration::from_secs(1),
            );
            match sent {
                Ok(answer) if answer.status() == 200 => {
                    self.record.line(&format!(
                        "operator: configuration acknowledged by {address}"
                    ));
                    return true;
                }
                Ok(answer) if answer.status() < 500 => {
                    self.record.line(&format!(
                        "operator: configuration refused: {} {}",
                        answer.start,
                        answer.text()
                    ));
                    return false;
                }
                _ => sleep(Duration::from_millis(100)),
            }
        }
        false
    }

    /// Waits until every entry host answers 200 to the readiness check.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        self.entries.iter().all(|entry| {
            while Instant::now() < until {
                let asked = http::exchange(
                    entry.readiness(),
                    "GET /-/readyz HTTP/1.1",
                    &[("Host", "ready")],
                    b"",
                    Duration::from_secs(1),
                );
                if asked.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                sleep(Duration::from_millis(50));
            }
            false
        })
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for host in self.controls.iter_mut().chain(&mut self.entries) {
            if host.has_ended() {
                self.record
                    .line(&format!("process {} had ended by itself", host.name));
            }
            host.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the second and third byte of a loopback network whose ports are free.
fn free_network() -> std::io::Result<[u8; 2]> {
    let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let mut number =
        seed.map_or(1, |seed| seed.subsec_nanos()) ^ std::process::id().wrapping_mul(2_654_435_761);
    for _ in 0..64 {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let network = [64 + (number >> 24) as u8 % 128, (number >> 16) as u8];
        let is_free = |last: u8, port: u16| {
            let ip = Ipv4Addr::new(127, network[0], network[1], last);
            TcpListener::bind((ip, port)).is_ok()
        };
        if is_free(10, CONTROL_PLANE_PORT)
            && is_free(40, FRONTEND_PORT)
            && is_free(10, FIRST_INTERNAL_PORT)
        {
            return Ok(network);
        }
    }
    Err(std::io::Error::other("no free loopback network"))
}
