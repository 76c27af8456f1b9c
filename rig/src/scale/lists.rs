//! The list of workers at one dispatcher: read, taken into the server table and the module, changed, and used.

use std::time::Instant;

use micabeam::core::{Clock, Command, Core, JobRequest};
use micabeam::frontend::list_reader::read_list;
use micabeam::json;
use micabeam::routing::{LoadReport, Outcome};
use micabeam::settings::Site;

use super::memory::resident_kb;
use crate::RigError;

/// Settings of an example deployment.
const SETTINGS: &[u8] = include_bytes!("../../../examples/settings.json");
/// Jobs that are timed.
const JOBS: usize = 2000;
/// Changes of one line that are timed.
const CHANGES: usize = 50;
/// How long a job's client waits, in milliseconds.
const PATIENCE: f64 = 4000.0;
/// The same for a job that stays out.
const LONG: f64 = 600_000.0;

/// What the list costs one dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListFigures {
    /// Lines.
    pub lines: usize,
    /// Bytes of the list as the service writes it.
    pub list_bytes: usize,
    /// Lines that the table did not take.
    pub dropped: u64,
    /// Time to read the list.
    pub parse_ms: f64,
    /// Time to take it into the table and the module.
    pub apply_ms: f64,
    /// Time to read and take in a change of one line.
    pub change_ms: f64,
    /// Time of one job: taken in, sent, ended and answered.
    pub job_us: f64,
    /// Resident memory that all of it adds, in KiB.
    pub memory_kb: u64,
    /// Attempts that were out then, at workers that had started them.
    pub out: usize,
    /// Time of one job beside them.
    pub job_beside_us: f64,
    /// Resident memory that they add, in KiB.
    pub out_kb: u64,
}

impl ListFigures {
    /// The last line of the experiment.
    pub fn line(&self) -> String {
        format!(
            "workers={} list_bytes={} dropped_workers={} parse_ms={:.2} apply_ms={:.2} change_ms={:.3} job_us={:.1} \
             memory_kb={} out={} job_beside_us={:.1} out_kb={}",
            self.lines,
            self.list_bytes,
            self.dropped,
            self.parse_ms,
            self.apply_ms,
            self.change_ms,
            self.job_us,
            self.memory_kb,
            self.out,
            self.job_beside_us,
            self.out_kb,
        )
    }
}

fn line(number: usize, health: &str) -> String {
    let (zone, kind) = (["east", "west", "north"][number % 3], ["large", "small"][number % 2]);
    format!(
        r#"{{"host":"worker-{number:06}","dial":"127.{}.{}.{}:8081","site":"{zone}","class":"{kind}","health":"{health}","share":1.0,"born_ms":0}}"#,
        number >> 16 & 255,
        number >> 8 & 255,
        number & 255,
    )
}

fn list(version: usize, whole: bool, lines: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, lines.join(","))
}

fn failed(what: impl std::fmt::Display) -> RigError {
    RigError::CheckFailed(format!("the list: {what}"))
}

/// Plays a list of so many workers, and so many attempts that stay out.
///
/// # Errors
/// Where the process, its files or its sockets fail.
pub fn play(workers: usize, out: usize) -> Result<ListFigures, RigError> {
    let site = Site::parse(SETTINGS).map_err(failed)?;
    let clock = Clock::manual(1e9);
    let lines: Vec<String> = (0..workers).map(|number| line(number, "up")).collect();
    let text = list(1, true, &lines);
    let before = resident_kb();
    let mut core = Core::new(site, 1, clock.clone(), JOBS + out);
    let began = Instant::now();
    let read = read_list(&json::parse(text.as_bytes()).map_err(failed)?, core.site()).map_err(failed)?;
    let parse_ms = began.elapsed().as_secs_f64() * 1e3;
    let began = Instant::now();
    core.on_list(read.lines, read.scope);
    let apply_ms = began.elapsed().as_secs_f64() * 1e3;
    let memory_kb = resident_kb().saturating_sub(before);
    let dropped = (workers - core.endpoints().listed().len()) as u64;
    let began = Instant::now();
    for version in 0..CHANGES {
        let health = if version % 2 == 0 { "draining" } else { "up" };
        let text = list(version + 2, false, &[line(version / 2 % workers, health)]);
        let change = json::parse(text.as_bytes()).map_err(failed)?;
        let read = read_list(&change, core.site()).map_err(failed)?;
        core.on_list(read.lines, read.scope);
    }
    let change_ms = began.elapsed().as_secs_f64() * 1e3 / CHANGES as f64;
    let job_us = jobs(&mut core, &clock);
    let before = resident_kb();
    let out = stay_out(&mut core, &clock, out);
    let out_kb = resident_kb().saturating_sub(before);
    let job_beside_us = jobs(&mut core, &clock);
    Ok(ListFigures {
        lines: workers,
        list_bytes: text.len(),
        dropped,
        parse_ms,
        apply_ms,
        change_ms,
        job_us,
        memory_kb,
        out,
        job_beside_us,
        out_kb,
    })
}

/// Has so many jobs started at their workers and not ended; how many attempts are out then.
fn stay_out(core: &mut Core, clock: &Clock, jobs: usize) -> usize {
    let mut out = 0;
    for _ in 0..jobs {
        let due = clock.now() + LONG;
        let _ =
            core.submit(JobRequest { class: 2, deadline_ms: due, slots: 1.0, work_ms: None, partition: 0 });
        while let Some(command) = core.next_command() {
            match command {
                Command::Send { job: session, attempt, .. } => {
                    core.on_attempt_started(session, attempt);
                    out += 1;
                }
                Command::Probe { endpoint: server } => {
                    core.on_probe_ended(server, true, 1.0, LoadReport::default());
                }
                _ => {}
            }
        }
    }
    out
}

/// Mean time of a job, in microseconds.
fn jobs(core: &mut Core, clock: &Clock) -> f64 {
    let began = Instant::now();
    for number in 0..JOBS {
        clock.set(clock.now() + 1.0);
        let due = clock.now() + PATIENCE;
        let _ = core.submit(JobRequest {
            class: number % 3,
            deadline_ms: due,
            slots: 1.0,
            work_ms: None,
            partition: 0,
        });
        while let Some(command) = core.next_command() {
            match command {
                Command::Send { job: session, attempt, .. } => {
                    core.on_attempt_ended(
                        session,
                        attempt,
                        Outcome::Served,
                        LoadReport::default(),
                        Vec::new(),
                    );
                }
                Command::Probe { endpoint: server } => {
                    core.on_probe_ended(server, true, 1.0, LoadReport::default());
                }
                _ => {}
            }
        }
        core.tick();
    }
    began.elapsed().as_secs_f64() * 1e6 / JOBS as f64
}
