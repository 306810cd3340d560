//! One process that a test started.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};

use rustix::process::{Pid, Signal, kill_process};

/// A process with what is needed to start it again.
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
        assert!(self.child.is_none(), "{} runs already", self.name);
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

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks for a planned stop.
    pub fn ask_to_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended by itself.
    pub fn wait_end(&mut self) -> ExitStatus {
        self.child.take().unwrap().wait().unwrap()
    }

    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub fn thaw(&self) {
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
            self.thaw();
        }
        self.kill();
        if std::thread::panicking() {
            let text = self.log_text();
            let tail: Vec<_> = text.lines().rev().take(25).collect();
            eprintln!("--- {} (newest first)\n{}", self.name, tail.join("\n"));
        }
    }
}
