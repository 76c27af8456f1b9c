//! Experiment `streams`: many long bodies at once through the real program, some with a slow client or
//! server, while small requests measure the latency.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::RigError;
use crate::body::Body;
use crate::peers::{Direction, StreamOutcome, StreamRequest, connect, serve, spawn};
use crate::program::{Program, build};
use crate::relay::{Mode, start};

/// Number of stand-in servers that share the streams.
const SERVER_COUNT: usize = 4;
/// Pause after each small request.
const SMALL_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of concurrent streams.
    pub count: usize,
    /// Length in bytes of the body of each stream without a slow peer.
    pub bytes: u64,
    /// Number of streams with a slow peer, which is the client and the server in turn.
    pub slow: usize,
    /// Rate of the slow peers, in bytes per second.
    pub slow_rate: u64,
    /// Length in bytes of the body of each stream with a slow peer.
    pub slow_bytes: u64,
    /// Lowest rate that the program accepts from peers, in KiB per second.
    pub least_kb_s: u64,
    /// Number of pipes that the program may use.
    pub pipes: usize,
    /// Limit of the program's peak resident memory, in MiB.
    pub ceiling_mb: f64,
    /// Length in bytes of each stream through the bare relays; with 0 they are not run.
    pub bare_bytes: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Number of streams.
    pub streams: usize,
    /// Streams that completed.
    pub completed: usize,
    /// Streams that failed in a way that the client can recognise.
    pub failed_clean: usize,
    /// Streams that did neither, and request bodies that arrived whole with a wrong length.
    pub broken: usize,
    /// Peak resident memory of the program in MiB.
    pub peak_rss_mb: f64,
    /// Ratio of the program's throughput to that of the bare copy loop; 0 if that was not run.
    pub relay_ratio: f64,
    /// Ratio of the program's throughput to that of the bare splice loop; 0 if that was not run.
    pub splice_ratio: f64,
    /// Throughput of the streams without a slow peer, in megabytes (10^6 bytes) per second.
    pub mb_s: f64,
    /// Processor time of the program in seconds per 10^9 bytes.
    pub cpu_s_gb: f64,
    /// Median latency of the small requests, in milliseconds.
    pub small_p50_ms: f64,
    /// 99th percentile of the latency of the small requests, in milliseconds.
    pub small_p99_ms: f64,
}

impl Figures {
    /// Returns the last line of the experiment.
    pub fn line(&self) -> String {
        format!(
            "streams={} completed={} failed_clean={} broken={} peak_rss_mb={:.1} relay_ratio={:.2} \
             splice_ratio={:.2} mb_s={:.0} cpu_s_gb={:.2} small_p50_ms={:.2} small_p99_ms={:.2}",
            self.streams,
            self.completed,
            self.failed_clean,
            self.broken,
            self.peak_rss_mb,
            self.relay_ratio,
            self.splice_ratio,
            self.mb_s,
            self.cpu_s_gb,
            self.small_p50_ms,
            self.small_p99_ms
        )
    }

    /// Checks that every stream completed or failed cleanly, that all streams without a slow peer completed,
    /// and that the program stayed within its memory limit.
    ///
    /// # Errors
    /// Returns [`RigError::CheckFailed`] if one of them does not hold.
    pub fn verify(&self, plan: &Plan) -> Result<(), RigError> {
        let fast = plan.count - plan.slow;
        if self.broken > 0 || self.completed + self.failed_clean != self.streams {
            return Err(RigError::CheckFailed(format!(
                "{} streams neither completed nor failed cleanly",
                self.broken
            )));
        }
        if self.completed < fast {
            return Err(RigError::CheckFailed(format!(
                "{} of {fast} fast streams completed",
                self.completed
            )));
        }
        if self.peak_rss_mb > plan.ceiling_mb {
            return Err(RigError::CheckFailed(format!("{:.1} MiB resident at the peak", self.peak_rss_mb)));
        }
        Ok(())
    }
}

/// Returns the text of an operator file for `count` streams over these servers. `dispatch` is the setting of
/// that name.
pub fn operator_file(
    servers: &[SocketAddr],
    count: usize,
    least_kb_s: u64,
    pipes: usize,
    dispatch: &str,
) -> String {
    let servers: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(at, dial)| format!("{{ name = \"server-{at}\", dial = \"{dial}\" }}"))
        .collect();
    let class = |name: &str| {
        format!(
            "[[stream.class]]\nname = \"{name}\"\nrepeat = \"never\"\nbody_mb = 65536\nwait_s = 5\n\
             least_kb_s = {least_kb_s}\nover_s = 5\nsilence_s = 20\ndispatch = \"{dispatch}\"\n"
        )
    };
    format!(
        "[stream]\nlisten = \"127.0.0.1:0\"\nconnections = {}\nmemory_mb = {}\npipes = {pipes}\nservers = [{}]\n\
         [stream.streams]\ntotal = {}\ntenant = {}\nserver = {}\n{}{}",
        count + 64,
        16 + count / 10,
        servers.join(", "),
        count + 16,
        count + 16,
        count + 16,
        class("long"),
        class("small"),
    )
}

/// Returns the requests of a plan's streams: with slow and fast peers, in both directions, one in five
/// chunked.
fn requests(plan: &Plan) -> Vec<StreamRequest> {
    let request = |at: usize| {
        let slow = at < plan.slow;
        let direction = if (at / 2).is_multiple_of(2) { Direction::Up } else { Direction::Down };
        let size = if slow { plan.slow_bytes } else { plan.bytes };
        let (client, server) = if at.is_multiple_of(2) { (plan.slow_rate, 0) } else { (0, plan.slow_rate) };
        let (client_rate, server_rate) = if slow { (client, server) } else { (0, 0) };
        let body = Body { seed: at as u64 + 1, size };
        StreamRequest { class: "long", direction, body, chunked: at % 5 == 4, client_rate, server_rate }
    };
    (0..plan.count).map(request).collect()
}

/// Outcome of the streams of a run.
struct RunResult {
    outcomes: Vec<(StreamRequest, StreamOutcome)>,
    /// Time from the common start to the end of the last stream without a slow peer, in seconds.
    elapsed_s: f64,
}

/// Runs streams that all start at once. Sets `fast_done` when the last of those without a slow peer has
/// ended.
fn run(requests: Vec<StreamRequest>, address: SocketAddr, fast_done: &Arc<AtomicBool>) -> RunResult {
    let fast = |request: &StreamRequest| request.client_rate + request.server_rate == 0;
    let left = Arc::new(AtomicUsize::new(requests.iter().filter(|request| fast(request)).count()));
    let barrier = Arc::new(Barrier::new(requests.len() + 1));
    let threads: Vec<_> = requests
        .into_iter()
        .map(|request| {
            let (barrier, left, fast_done) = (Arc::clone(&barrier), Arc::clone(&left), Arc::clone(fast_done));
            spawn(move || {
                barrier.wait();
                let outcome = request.run(address);
                if fast(&request) && left.fetch_sub(1, Ordering::Relaxed) == 1 {
                    fast_done.store(true, Ordering::Relaxed);
                }
                (request, outcome, Instant::now())
            })
        })
        .collect();
    barrier.wait();
    let began = Instant::now();
    let ended: Vec<_> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
    let elapsed_s = ended
        .iter()
        .filter(|(request, ..)| fast(request))
        .map(|(.., at)| at.duration_since(began).as_secs_f64())
        .fold(0.0, f64::max);
    RunResult {
        outcomes: ended.into_iter().map(|(request, outcome, _)| (request, outcome)).collect(),
        elapsed_s,
    }
}

/// Returns the throughput of the completed streams without a slow peer, in megabytes (10^6 bytes) per second.
fn throughput(run: &RunResult) -> f64 {
    let fast = run.outcomes.iter().filter(|(request, outcome)| {
        request.client_rate + request.server_rate == 0 && *outcome == StreamOutcome::Complete
    });
    fast.map(|(request, _)| request.body.size as f64).sum::<f64>() / run.elapsed_s.max(1e-9) / 1e6
}

/// Sends small requests over a kept-alive connection until `stop` is set. Returns their latencies in
/// microseconds.
fn send_small_requests(address: SocketAddr, stop: &AtomicBool) -> Histogram<u64> {
    // Up to two minutes. A histogram that resizes itself would saturate at its initial bounds.
    let mut times = Histogram::new_with_bounds(1, 120_000_000, 3).expect("the bounds are in order");
    let mut peer = None;
    let mut at = 0u64;
    while !stop.load(Ordering::Relaxed) {
        at += 1;
        let direction = if at.is_multiple_of(2) { Direction::Up } else { Direction::Down };
        let body = Body { seed: at, size: 500 };
        let request =
            StreamRequest { class: "small", direction, body, chunked: false, client_rate: 0, server_rate: 0 };
        let began = Instant::now();
        let conn = peer.take().or_else(|| connect(address).ok().map(BufReader::new));
        let Some(mut conn) = conn else { continue };
        if request.run_on(&mut conn) == StreamOutcome::Complete {
            times.saturating_record(began.elapsed().as_micros() as u64);
            peer = Some(conn);
        } else {
            // A failed request counts as the longest wait, 60 s.
            times.saturating_record(60_000_000);
        }
        std::thread::sleep(SMALL_REQUEST_INTERVAL);
    }
    times
}

/// Runs the experiment, prints its table and returns its figures.
///
/// # Errors
/// Returns an error if the program or a stand-in cannot be started, or a bare relay fails a stream.
pub fn experiment(plan: &Plan) -> Result<Figures, RigError> {
    let binary = build()?;
    let servers: Vec<_> = (0..SERVER_COUNT).map(|_| serve()).collect::<Result<_, _>>()?;
    let addresses: Vec<SocketAddr> = servers.iter().map(|(address, _)| *address).collect();
    let file = operator_file(&addresses, plan.count, plan.least_kb_s, plan.pipes, "prefix");
    let program = Program::start(&binary, &file, 1)?;
    let address = program.addresses[0];
    let before = program.usage()?;
    let stop = Arc::new(AtomicBool::new(false));
    let probe = Arc::clone(&stop);
    let probe = spawn(move || send_small_requests(address, &probe));
    let ran = run(requests(plan), address, &stop);
    stop.store(true, Ordering::Relaxed);
    let times = probe.join().map_err(|_| RigError::Program("the small requests panicked".into()))?;
    let after = program.usage()?;
    let counters: BTreeMap<String, f64> = program.stop()?.into_iter().collect();
    let mut figures = Figures { streams: ran.outcomes.len(), mb_s: throughput(&ran), ..Figures::default() };
    figures.peak_rss_mb = after.peak_rss_mb;
    let bytes = counters.get("bytes_up").unwrap_or(&0.0) + counters.get("bytes_down").unwrap_or(&0.0);
    figures.cpu_s_gb = (after.cpu_s - before.cpu_s) / (bytes / 1e9).max(1e-9);
    figures.small_p50_ms = times.value_at_quantile(0.5) as f64 / 1e3;
    figures.small_p99_ms = times.value_at_quantile(0.99) as f64 / 1e3;
    print_table(&ran, &mut figures);
    let wrong: u64 = servers.iter().map(|(_, stats)| stats.wrong_bodies.load(Ordering::Relaxed)).sum();
    figures.broken += wrong as usize;
    println!(
        "small requests beside the streams: {}, p50 {:.2} ms, p99 {:.2} ms, longest {:.1} ms",
        times.len(),
        figures.small_p50_ms,
        figures.small_p99_ms,
        times.max() as f64 / 1e3
    );
    println!("the program: {:.1} s of processor time, {:.1} MiB at the peak", after.cpu_s, after.peak_rss_mb);
    let names =
        ["taken", "served", "denied", "failed", "left", "whole", "cut", "slow_clients", "slow_servers"];
    let shown: Vec<String> =
        names.iter().map(|n| format!("{n} {}", counters.get(*n).copied().unwrap_or(-1.0))).collect();
    println!("counters of the program: {}", shown.join(", "));
    if plan.bare_bytes > 0 {
        let [copy, splice] = [Mode::Copy, Mode::Splice].map(|mode| run_bare_relay(plan, addresses[0], mode));
        let (copy, splice) = (copy?, splice?);
        // The program relays the same bytes, so that the runs differ in nothing but the relay.
        let program = Program::start(&binary, &file, 1)?;
        let same = throughput(&run(bare_requests(plan), program.addresses[0], &Arc::default()));
        program.stop()?;
        println!("bare copy loop {copy:.0} MB/s, splice {splice:.0} MB/s, the program {same:.0} MB/s");
        figures.relay_ratio = same / copy;
        figures.splice_ratio = same / splice;
    }
    Ok(figures)
}

/// Returns the requests that the program and the bare relays are compared with: as the plan's, without slow
/// peers.
fn bare_requests(plan: &Plan) -> Vec<StreamRequest> {
    requests(&Plan { slow: 0, bytes: plan.bare_bytes, ..plan.clone() })
}

/// Runs the streams through a bare relay and returns its throughput.
fn run_bare_relay(plan: &Plan, to: SocketAddr, mode: Mode) -> Result<f64, RigError> {
    let result = run(bare_requests(plan), start(to, mode)?, &Arc::default());
    match result.outcomes.iter().find(|(_, outcome)| *outcome != StreamOutcome::Complete) {
        Some((request, outcome)) => {
            Err(RigError::CheckFailed(format!("a bare relay failed {request:?}: {outcome:?}")))
        }
        None => Ok(throughput(&result)),
    }
}

/// Counts the outcomes by sort of peers and direction, and prints them. The first failure of each group is
/// shown.
fn print_table(result: &RunResult, figures: &mut Figures) {
    let mut groups: BTreeMap<String, (usize, usize, usize, Vec<String>)> = BTreeMap::new();
    for (request, outcome) in &result.outcomes {
        let peers = match (request.client_rate, request.server_rate) {
            (0, 0) => "fast",
            (0, _) => "slow server",
            _ => "slow client",
        };
        let group = groups.entry(format!("{peers}, {:?}", request.direction)).or_default();
        match outcome {
            StreamOutcome::Complete => group.0 += 1,
            StreamOutcome::FailedCleanly(why) => {
                group.1 += 1;
                group.3.push(why.clone());
            }
            StreamOutcome::Broken(why) => {
                group.2 += 1;
                group.3.push(why.clone());
            }
        }
    }
    println!("{:<20} {:>9} {:>12} {:>7}", "peers, direction", "completed", "failed_clean", "broken");
    for (name, (whole, clean, broken, why)) in &groups {
        let why = why.first().map(|w| format!("  ({w})")).unwrap_or_default();
        println!("{name:<20} {whole:>9} {clean:>12} {broken:>7}{why}");
        figures.completed += whole;
        figures.failed_clean += clean;
        figures.broken += broken;
    }
    println!("{:.0} MB/s in {:.1} s", figures.mb_s, result.elapsed_s);
}

/// Runs 10, 100, 200 and 400 streams that share `total_mb` megabytes, and prints the cost of each run.
///
/// # Errors
/// Returns an error if the program or a stand-in cannot be started, or the check of a run fails.
pub fn ladder(total_mb: u64, pipes: usize) -> Result<String, RigError> {
    let mut last = String::new();
    println!(
        "{:>8} {:>9} {:>10} {:>12} {:>12}",
        "streams", "MB/s", "CPU s/GB", "small p99 ms", "peak RSS MiB"
    );
    for count in [10, 100, 200, 400] {
        let bytes = total_mb * 1_000_000 / count as u64;
        let plan = Plan {
            count,
            bytes,
            slow: 0,
            slow_rate: 0,
            slow_bytes: 0,
            least_kb_s: 8,
            pipes,
            ceiling_mb: 64.0,
            bare_bytes: 0,
        };
        let f = experiment(&plan)?;
        f.verify(&plan)?;
        last.push_str(&format!("mb_s_{count}={:.0} cpu_s_gb_{count}={:.2} ", f.mb_s, f.cpu_s_gb));
        println!(
            "{count:>8} {:>9.0} {:>10.2} {:>12.2} {:>12.1}\n",
            f.mb_s, f.cpu_s_gb, f.small_p99_ms, f.peak_rss_mb
        );
    }
    Ok(last.trim_end().to_string())
}
