//! Experiment `streams`: many long bodies at once through the real program, some of whose peers are slow, beside
//! small requests.

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

/// Stand-in servers that share the streams.
const SERVER_COUNT: usize = 4;
/// Time between two small requests.
const SMALL_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Streams at once.
    pub count: usize,
    /// Bytes of each.
    pub bytes: u64,
    /// So many of them have a slow peer: a client, or a server, in turn.
    pub slow: usize,
    /// Bytes a second of the slow.
    pub slow_rate: u64,
    /// Bytes of a stream with a slow peer.
    pub slow_bytes: u64,
    /// The least pace that the program asks for, in KiB a second.
    pub least_kb_s: u64,
    /// Pipes that the program may use.
    pub pipes: usize,
    /// The most resident memory, in MiB.
    pub ceiling_mb: f64,
    /// Bytes of each stream through the bare relays; 0: they are not run.
    pub bare_bytes: u64,
}

/// What it came to.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Streams.
    pub streams: usize,
    /// Whole.
    pub completed: usize,
    /// Failed so that the client can tell.
    pub failed_clean: usize,
    /// Neither.
    pub broken: usize,
    /// Peak resident memory in MiB.
    pub peak_rss_mb: f64,
    /// Throughput against the bare copy loop's; 0 where that was not run.
    pub relay_ratio: f64,
    /// The same against splice.
    pub splice_ratio: f64,
    /// Megabytes (10^6) a second of the streams without a slow peer.
    pub mb_s: f64,
    /// Processor seconds for 10^9 bytes.
    pub cpu_s_gb: f64,
    /// Of small requests beside the streams, in milliseconds.
    pub small_p50_ms: f64,
    /// Of small requests beside the streams, in milliseconds.
    pub small_p99_ms: f64,
}

impl Figures {
    /// The last line.
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

    /// Whether the proof holds.
    ///
    /// # Errors
    /// Where a figure disproves what the experiment is to show.
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

/// The operator's file for so many streams over these servers.
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

/// The streams of a plan.
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

struct RunResult {
    outcomes: Vec<(StreamRequest, StreamOutcome)>,
    /// Seconds from the common start to the end of the last stream without a slow peer.
    elapsed_s: f64,
}

/// Runs streams, all begun at once; tells `over` when the last of those without a slow peer has ended.
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

fn throughput(run: &RunResult) -> f64 {
    let fast = run.outcomes.iter().filter(|(request, outcome)| {
        request.client_rate + request.server_rate == 0 && *outcome == StreamOutcome::Complete
    });
    fast.map(|(request, _)| request.body.size as f64).sum::<f64>() / run.elapsed_s.max(1e-9) / 1e6
}

/// Sends small requests over a kept connection until told to stop; their times in microseconds.
fn send_small_requests(address: SocketAddr, stop: &AtomicBool) -> Histogram<u64> {
    // Up to two minutes; one that resizes itself would cut what it records to its first bounds.
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
            // One that failed counts as the longest wait there is.
            times.saturating_record(60_000_000);
        }
        std::thread::sleep(SMALL_REQUEST_INTERVAL);
    }
    times
}

/// Runs the experiment and prints its table.
///
/// # Errors
/// Where the program or a stand-in cannot be started, or the experiment disproves what it is to show.
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
        // The program over the same bytes, so that the two are alike in all but what stands between.
        let program = Program::start(&binary, &file, 1)?;
        let same = throughput(&run(bare_requests(plan), program.addresses[0], &Arc::default()));
        program.stop()?;
        println!("bare copy loop {copy:.0} MB/s, splice {splice:.0} MB/s, the program {same:.0} MB/s");
        figures.relay_ratio = same / copy;
        figures.splice_ratio = same / splice;
    }
    Ok(figures)
}

fn bare_requests(plan: &Plan) -> Vec<StreamRequest> {
    requests(&Plan { slow: 0, bytes: plan.bare_bytes, ..plan.clone() })
}

fn run_bare_relay(plan: &Plan, to: SocketAddr, mode: Mode) -> Result<f64, RigError> {
    let result = run(bare_requests(plan), start(to, mode)?, &Arc::default());
    match result.outcomes.iter().find(|(_, outcome)| *outcome != StreamOutcome::Complete) {
        Some((request, outcome)) => {
            Err(RigError::CheckFailed(format!("a bare relay failed {request:?}: {outcome:?}")))
        }
        None => Ok(throughput(&result)),
    }
}

/// Counts the ends by group, and prints them.
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

/// The cost of more and more streams over the same bytes in all.
///
/// # Errors
/// Where the program or a stand-in cannot be started, or the experiment disproves what it is to show.
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
