//! Measures the cost of a worker list at one dispatcher: parsing it, applying it to the routing core, changing it, and
//! running jobs with it.

use std::time::Instant;

use micabeam::core::{Clock, Command, Core, JobRequest};
use micabeam::frontend::list_reader::read_list;
use micabeam::json;
use micabeam::routing::{LoadReport, Outcome};
use micabeam::settings::Site;

use super::memory::resident_kb;
use crate::RigError;

/// Settings of the example deployment.
const SETTINGS: &[u8] = include_bytes!("../../../examples/settings.json");
/// The number of jobs that are timed.
const JOBS: usize = 2000;
/// The number of single-entry list changes that are timed.
const CHANGES: usize = 50;
/// Deadline of a timed job, in milliseconds.
const JOB_DEADLINE_MS: f64 = 4000.0;
/// Deadline of a job whose attempts are left open, in milliseconds.
const OPEN_JOB_DEADLINE_MS: f64 = 600_000.0;

/// Cost of a list at one dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListFigures {
    /// The number of workers in the list.
    pub lines: usize,
    /// Size of the list as discovery encodes it, in bytes.
    pub list_bytes: usize,
    /// Workers that the endpoint table dropped.
    pub dropped: u64,
    /// Time to parse the list.
    pub parse_ms: f64,
    /// Time to apply it to the routing core.
    pub apply_ms: f64,
    /// Mean time to parse and apply a change of one entry.
    pub change_ms: f64,
    /// Mean time of one job: submitted, sent, ended and answered.
    pub job_us: f64,
    /// Resident memory that the core and the list add, in KiB.
    pub memory_kb: u64,
    /// The number of open attempts, started at their workers, during the second measurement of jobs.
    pub out: usize,
    /// Mean time of one job beside the open attempts.
    pub job_beside_us: f64,
    /// Resident memory that the open attempts add, in KiB.
    pub out_kb: u64,
}

impl ListFigures {
    /// Returns the last line of the experiment's output.
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

fn host_entry(number: usize, health: &str) -> String {
    let (zone, kind) = (["east", "west", "north"][number % 3], ["large", "small"][number % 2]);
    format!(
        r#"{{"host":"worker-{number:06}","dial":"127.{}.{}.{}:8081","site":"{zone}","class":"{kind}","health":"{health}","share":1.0,"born_ms":0}}"#,
        number >> 16 & 255,
        number >> 8 & 255,
        number & 255,
    )
}

fn render_list(version: usize, whole: bool, lines: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, lines.join(","))
}

fn list_error(what: impl std::fmt::Display) -> RigError {
    RigError::CheckFailed(format!("the list: {what}"))
}

/// Measures a list of `workers` entries, also beside the open attempts of `out` jobs.
///
/// # Errors
/// If the settings or a list cannot be parsed.
pub fn measure(workers: usize, out: usize) -> Result<ListFigures, RigError> {
    let site = Site::parse(SETTINGS).map_err(list_error)?;
    let clock = Clock::manual(1e9);
    let lines: Vec<String> = (0..workers).map(|number| host_entry(number, "up")).collect();
    let text = render_list(1, true, &lines);
    let before = resident_kb();
    let mut core = Core::new(site, 1, clock.clone(), JOBS + out);
    let began = Instant::now();
    let read =
        read_list(&json::parse(text.as_bytes()).map_err(list_error)?, core.site()).map_err(list_error)?;
    let parse_ms = began.elapsed().as_secs_f64() * 1e3;
    let began = Instant::now();
    core.on_list(read.lines, read.scope);
    let apply_ms = began.elapsed().as_secs_f64() * 1e3;
    let memory_kb = resident_kb().saturating_sub(before);
    let dropped = (workers - core.endpoints().listed().len()) as u64;
    let began = Instant::now();
    for version in 0..CHANGES {
        let health = if version % 2 == 0 { "draining" } else { "up" };
        let text = render_list(version + 2, false, &[host_entry(version / 2 % workers, health)]);
        let change = json::parse(text.as_bytes()).map_err(list_error)?;
        let read = read_list(&change, core.site()).map_err(list_error)?;
        core.on_list(read.lines, read.scope);
    }
    let change_ms = began.elapsed().as_secs_f64() * 1e3 / CHANGES as f64;
    let job_us = time_jobs(&mut core, &clock);
    let before = resident_kb();
    let out = hold_attempts_open(&mut core, &clock, out);
    let out_kb = resident_kb().saturating_sub(before);
    let job_beside_us = time_jobs(&mut core, &clock);
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

/// Submits jobs whose attempts are started at workers and never end. Returns the number of these attempts.
fn hold_attempts_open(core: &mut Core, clock: &Clock, jobs: usize) -> usize {
    let mut out = 0;
    for _ in 0..jobs {
        let due = clock.now() + OPEN_JOB_DEADLINE_MS;
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

/// Returns the mean time of a job, in microseconds.
fn time_jobs(core: &mut Core, clock: &Clock) -> f64 {
    let began = Instant::now();
    for number in 0..JOBS {
        clock.set(clock.now() + 1.0);
        let due = clock.now() + JOB_DEADLINE_MS;
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
