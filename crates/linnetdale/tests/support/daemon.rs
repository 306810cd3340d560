//! A process that tests start, suspend, stop and restart.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

/// A process and the parameters for starting it again.
pub struct Daemon {
    pub name: String,
    program: &'static str,
    args: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    pub fn new(name: &str, program: &'static str, args: Vec<String>, folder: &Path) -> Self {
        Self {
            name: name.to_owned(),
            program,
            args,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} is already running", self.name);
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(self.program)
            .args(&self.args)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Requests a planned stop with SIGTERM.
    pub fn request_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.take().unwrap().wait().unwrap()
    }

    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.pid() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.resume();
        }
        self.kill();
        if std::thread::panicking() {
            let text = self.log_text();
            let tail: Vec<_> = text.lines().rev().take(25).collect();
            eprintln!("--- {} (newest first)\n{}", self.name, tail.join("\n"));
        }
    }
}
