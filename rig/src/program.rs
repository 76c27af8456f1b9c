//! Builds the micabeam binary, and starts, measures and stops a process of it that runs with an operator file
//! only.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};

use crate::{RigError, io_context};

/// A running process of the program, killed on drop.
pub struct Program {
    child: Child,
    log: BufReader<ChildStderr>,
    /// Addresses that the program listens at, in the order in which it printed them.
    pub addresses: Vec<SocketAddr>,
    /// Path of its operator file, which is removed on drop.
    pub operator_file: PathBuf,
}

/// Resources that a process has used so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Peak resident memory in MiB.
    pub peak_rss_mb: f64,
    /// Processor time in seconds.
    pub cpu_s: f64,
}

/// Unit of processor time in `/proc/PID/stat`: Linux reports it to user space in ticks of 1/100 s.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Builds the workspace in release mode and returns the path of the micabeam binary. Does nothing if the
/// build is up to date.
///
/// # Errors
/// Returns an error if cargo cannot be run or the build fails.
pub fn build() -> Result<PathBuf, RigError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--release", "--locked", "--quiet", "--workspace"]);
    let status = io_context("cargo build", command.current_dir(&root).status())?;
    if !status.success() {
        return Err(RigError::Program("cargo build failed".into()));
    }
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or_else(|| root.join("target"), PathBuf::from);
    Ok(target.join("release/micabeam"))
}

/// Returns the resources that the process with this id has used so far.
///
/// # Errors
/// Returns an error if the process's files below `/proc` cannot be read, or if it has exited.
pub fn usage(id: u32) -> Result<Usage, RigError> {
    let proc = format!("/proc/{id}");
    let status = io_context("/proc/PID/status", std::fs::read_to_string(format!("{proc}/status")))?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.trim().split(' ').next()?.parse().ok());
    let stat = io_context("/proc/PID/stat", std::fs::read_to_string(format!("{proc}/stat")))?;
    // utime and stime are fields 14 and 15, the 12th and 13th after the command name, which is in parentheses
    // and may itself contain spaces.
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let ticks =
        after_name.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok()).sum::<f64>();
    let kb: f64 = peak
        .ok_or_else(|| RigError::Program("/proc/PID/status has no VmHWM: the process has exited".into()))?;
    Ok(Usage { peak_rss_mb: kb / 1024.0, cpu_s: ticks / CLOCK_TICKS_PER_S })
}

impl Program {
    /// Writes the text `operator` to an operator file, starts the program with it, and waits until it has
    /// printed the addresses of `listeners` listeners.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written, or if the program cannot be started or does not print
    /// its addresses; in the last case the error holds its log.
    pub fn start(binary: &PathBuf, operator: &str, listeners: usize) -> Result<Program, RigError> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let operator_file =
            std::env::temp_dir().join(format!("micabeam-rig-{}-{number}.toml", std::process::id()));
        io_context("write the operator file", std::fs::write(&operator_file, operator))?;
        let mut command = Command::new(binary);
        for variable in ["LB_CONFIG", "LB_LISTEN", "LB_DISCOVERY", "LB_NAME"] {
            command.env_remove(variable);
        }
        command.arg("--operator").arg(&operator_file).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = io_context("start of the program", command.spawn())?;
        let no_pipe = || RigError::Program("standard output or standard error is not piped".into());
        let mut out = BufReader::new(child.stdout.take().ok_or_else(no_pipe)?);
        let mut log = BufReader::new(child.stderr.take().ok_or_else(no_pipe)?);
        let mut addresses = Vec::new();
        for _ in 0..listeners {
            let mut line = String::new();
            io_context("standard output of the program", out.read_line(&mut line))?;
            let Some(address) = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()) else {
                let mut log_text = String::new();
                let _ = log.read_to_string(&mut log_text);
                return Err(RigError::Program(log_text));
            };
            addresses.push(address);
        }
        Ok(Program { child, log, addresses, operator_file })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resources that the process has used so far.
    ///
    /// # Errors
    /// As [`usage`].
    pub fn usage(&self) -> Result<Usage, RigError> {
        usage(self.child.id())
    }

    /// Sends the process a signal by its name without `SIG`, for example `TERM`.
    ///
    /// # Errors
    /// Returns an error if `/bin/sh` cannot be run.
    pub fn signal(&self, name: &str) -> Result<(), RigError> {
        let sent =
            Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        io_context("kill", sent).map(drop)
    }

    /// Sends SIGTERM, waits until the process exits, and returns the names and values of the counters in its
    /// log.
    ///
    /// # Errors
    /// Returns an error if the log cannot be read or the process exits with a failure.
    pub fn stop(mut self) -> Result<Vec<(String, f64)>, RigError> {
        self.signal("TERM")?;
        let mut text = String::new();
        io_context("log of the program", self.log.read_to_string(&mut text))?;
        let status = io_context("exit status of the program", self.child.wait())?;
        if !status.success() {
            return Err(RigError::Program(format!("it exited with a failure: {text}")));
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
        let _ = std::fs::remove_file(&self.operator_file);
    }
}
