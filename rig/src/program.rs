//! The real program: built, started, measured and stopped.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};

use crate::{RigError, tried};

/// A running program, killed when it is dropped.
pub struct Program {
    child: Child,
    log: BufReader<ChildStderr>,
    /// Where it listens, in the order in which it said so.
    pub addresses: Vec<SocketAddr>,
    /// Its operator's file.
    pub file: PathBuf,
}

/// What it has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Peak resident memory in MiB.
    pub peak_rss_mb: f64,
    /// Processor time in seconds.
    pub cpu_s: f64,
}

/// Ticks a second in which the system tells processor time; fixed at 100 for what it shows to programs.
const TICKS: f64 = 100.0;

/// Builds the program as a release and gives its path. It costs nothing where the workspace was built before.
///
/// # Errors
/// Where the program does not build.
pub fn build() -> Result<PathBuf, RigError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--release", "--locked", "--quiet", "--workspace"]);
    let built = tried("cargo build", command.current_dir(&root).status())?;
    if !built.success() {
        return Err(RigError::Program("it does not build".into()));
    }
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or_else(|| root.join("target"), PathBuf::from);
    Ok(target.join("release/micabeam"))
}

/// What a process has used so far.
///
/// # Errors
/// Where the process, its files or its sockets fail.
pub fn usage(id: u32) -> Result<Usage, RigError> {
    let proc = format!("/proc/{id}");
    let status = tried("its status", std::fs::read_to_string(format!("{proc}/status")))?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().split(' ').next()?.parse().ok());
    let stat = tried("its times", std::fs::read_to_string(format!("{proc}/stat")))?;
    // Behind the name in brackets: fields 14 and 15 of all.
    let behind = stat.rsplit(')').next().unwrap_or("");
    let ticks = behind.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok()).sum::<f64>();
    let kb: f64 = peak.ok_or_else(|| RigError::Program("it has no memory".into()))?;
    Ok(Usage { peak_rss_mb: kb / 1024.0, cpu_s: ticks / TICKS })
}

impl Program {
    /// Starts the program with this operator's file, of which it is to open so many listeners.
    ///
    /// # Errors
    /// Where a socket, a thread or a process cannot be had.
    pub fn start(binary: &PathBuf, operator: &str, listeners: usize) -> Result<Program, RigError> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("micabeam-rig-{}-{number}.toml", std::process::id()));
        tried("the operator's file", std::fs::write(&file, operator))?;
        let mut command = Command::new(binary);
        for variable in ["LB_CONFIG", "LB_LISTEN", "LB_DISCOVERY", "LB_NAME"] {
            command.env_remove(variable);
        }
        command.arg("--operator").arg(&file).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = tried("the program", command.spawn())?;
        let none = || RigError::Program("it has no output".into());
        let mut out = BufReader::new(child.stdout.take().ok_or_else(none)?);
        let mut log = BufReader::new(child.stderr.take().ok_or_else(none)?);
        let mut addresses = Vec::new();
        for _ in 0..listeners {
            let mut line = String::new();
            tried("its output", out.read_line(&mut line))?;
            let Some(address) = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()) else {
                let mut said = String::new();
                let _ = log.read_to_string(&mut said);
                return Err(RigError::Program(said));
            };
            addresses.push(address);
        }
        Ok(Program { child, log, addresses, file })
    }

    /// Its process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has used so far.
    ///
    /// # Errors
    /// Where the process, its files or its sockets fail.
    pub fn usage(&self) -> Result<Usage, RigError> {
        usage(self.child.id())
    }

    /// Sends it a signal, by name.
    ///
    /// # Errors
    /// Where the process, its files or its sockets fail.
    pub fn signal(&self, name: &str) -> Result<(), RigError> {
        let sent =
            Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        tried("kill", sent).map(drop)
    }

    /// Stops it by SIGTERM and gives its counters, by name.
    ///
    /// # Errors
    /// Where the process, its files or its sockets fail.
    pub fn stop(mut self) -> Result<Vec<(String, f64)>, RigError> {
        self.signal("TERM")?;
        let mut text = String::new();
        tried("its log", self.log.read_to_string(&mut text))?;
        let ended = tried("its end", self.child.wait())?;
        if !ended.success() {
            return Err(RigError::Program(format!("it ended badly: {text}")));
        }
        let line = |line: &str| {
            let (name, count) = line.split_once(' ')?;
            Some((name.to_string(), count.parse().ok()?))
        };
        Ok(text.lines().filter_map(line).collect())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
