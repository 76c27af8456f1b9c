//! A process of the program among others: started by an experiment, asked at its console, signalled and killed.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::{RigError, io_context};

/// How long it may take to say that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of the program, killed when it is dropped.
pub struct Process {
    child: Child,
    /// Its console.
    pub console: SocketAddr,
}

impl Process {
    /// Starts it and waits until its front and its console listen. The command names the binary and its files.
    ///
    /// # Errors
    /// Where a socket, a thread or a process cannot be had.
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

    /// Has a thread read its log, line by line.
    pub fn read_log(&mut self, mut on_line: impl FnMut(String) + Send + 'static) {
        let Some(log) = self.child.stderr.take() else { return };
        thread::spawn(move || BufReader::new(log).lines().map_while(Result::ok).for_each(&mut on_line));
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, by name.
    ///
    /// # Errors
    /// Where the process, its files or its sockets fail.
    pub fn signal(&self, name: &str) -> Result<(), RigError> {
        let line = format!("kill -{name} {}", self.child.id());
        io_context("kill", Command::new("/bin/sh").args(["-c", &line]).status()).map(drop)
    }

    /// What its console answers to a line.
    pub fn ask_console(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.console, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        Some(text)
    }

    /// A figure of its console.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = self.ask_console("telemetry")?;
        text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.ask_console("readyz").is_some_and(|answer| answer.starts_with("ACK"))
    }

    /// Waits until it says so.
    ///
    /// # Errors
    /// Where the process, its files or its sockets fail.
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

    /// Whether it has ended.
    ///
    /// # Errors
    /// Where the process, its files or its sockets fail.
    pub fn has_exited(&mut self) -> Result<bool, RigError> {
        Ok(io_context("exit status of the program", self.child.try_wait())?.is_some())
    }

    /// Its log, where nobody reads it.
    pub fn take_log(&mut self) -> Option<ChildStderr> {
        self.child.stderr.take()
    }

    /// Kills it.
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
