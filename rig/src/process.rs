//! A process of the program with a configuration file and a console. An experiment starts several, asks their
//! consoles, and signals or kills them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::{RigError, io_context};

/// How long a process may take until its console reports that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of the program, killed on drop.
pub struct Process {
    child: Child,
    /// Address of its console.
    pub console: SocketAddr,
}

impl Process {
    /// Starts the program and waits until its frontend and its console listen. `command` names the binary,
    /// its arguments and its environment.
    ///
    /// # Errors
    /// Returns an error if the program cannot be started or does not print the address of its console; in the
    /// latter case the error holds its log.
    pub fn start(mut command: Command) -> Result<Process, RigError> {
        for variable in ["LB_LISTEN", "LB_DISCOVERY", "LB_NAME", "LB_CONSOLE"] {
            command.env_remove(variable);
        }
        let mut child = io_context(
            "start of the program",
            command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn(),
        )?;
        let mut out = BufReader::new(
            child.stdout.take().ok_or(RigError::Program("standard output is not piped".into()))?,
        );
        let mut console = None;
        for _ in 0..2 {
            let mut line = String::new();
            io_context("standard output of the program", out.read_line(&mut line))?;
            if line.contains("console at") {
                console = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
            }
        }
        if let Some(console) = console {
            return Ok(Process { child, console });
        }
        let _ = child.kill();
        let _ = child.wait();
        let mut log_text = String::new();
        let _ = child.stderr.take().map(|mut log| log.read_to_string(&mut log_text));
        Err(RigError::Program(format!("it printed no console address: {log_text}")))
    }

    /// Starts a thread that reads the log and calls `on_line` for each line. Does nothing if the log was
    /// taken before.
    pub fn read_log(&mut self, mut on_line: impl FnMut(String) + Send + 'static) {
        let Some(log) = self.child.stderr.take() else { return };
        thread::spawn(move || BufReader::new(log).lines().map_while(Result::ok).for_each(&mut on_line));
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal by its name without `SIG`, for example `TERM`.
    ///
    /// # Errors
    /// Returns an error if `/bin/sh` cannot be run.
    pub fn signal(&self, name: &str) -> Result<(), RigError> {
        let line = format!("kill -{name} {}", self.child.id());
        io_context("kill", Command::new("/bin/sh").args(["-c", &line]).status()).map(drop)
    }

    /// Sends a line to the console and returns the answer; `None` if the console cannot be reached or does
    /// not answer.
    pub fn ask_console(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.console, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(text)
    }

    /// Returns the value of a metric without labels, from the console's `telemetry`.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = self.ask_console("telemetry")?;
        text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Whether the console answers `readyz` with `ACK`.
    pub fn is_ready(&self) -> bool {
        self.ask_console("readyz").is_some_and(|answer| answer.starts_with("ACK"))
    }

    /// Waits until the process is ready.
    ///
    /// # Errors
    /// Returns an error if the process is not ready within 20 s.
    pub fn await_ready(&self) -> Result<(), RigError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(RigError::Program("it did not report that it is ready within 20 s".into()));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Whether the process has exited.
    ///
    /// # Errors
    /// Returns an error if the exit status cannot be queried.
    pub fn has_exited(&mut self) -> Result<bool, RigError> {
        Ok(io_context("exit status of the program", self.child.try_wait())?.is_some())
    }

    /// Takes the log; `None` if it was taken before, or if [`Process::read_log`] reads it.
    pub fn take_log(&mut self) -> Option<ChildStderr> {
        self.child.stderr.take()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
