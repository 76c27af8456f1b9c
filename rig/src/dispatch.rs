//! Experiment `dispatch`: how long slow uploads occupy a backend server, depending on when they are
//! dispatched: at the request head, after a buffered prefix, or by their measured rate.

use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::RigError;
use crate::body::Body;
use crate::peers::{Direction, StreamOutcome, StreamRequest, serve, spawn};
use crate::program::{Program, build};
use crate::streams::operator_file;

/// Runs the same slow uploads under each of the three settings of `dispatch`, and prints the server time of
/// each.
///
/// # Errors
/// Returns an error if the program or a stand-in cannot be started, or an upload neither completes nor fails
/// cleanly.
pub fn experiment(count: usize, rate: u64, least_kb_s: u64) -> Result<String, RigError> {
    let binary = build()?;
    let mut line = Vec::new();
    println!(
        "{:>8} {:>8} {:>10} {:>9} {:>7} {:>14}",
        "way", "body kB", "completed", "refused", "s", "server slot s"
    );
    for size in [48_000u64, 400_000] {
        for dispatch in ["head", "prefix", "pace"] {
            let (server, stats) = serve()?;
            let program =
                Program::start(&binary, &operator_file(&[server], count, least_kb_s, 0, dispatch), 1)?;
            let address = program.addresses[0];
            let began = Instant::now();
            let threads: Vec<_> = (0..count)
                .map(|at| {
                    let body = Body { seed: at as u64, size };
                    let chunked = at % 2 == 1;
                    let request = StreamRequest {
                        class: "long",
                        direction: Direction::Up,
                        body,
                        chunked,
                        client_rate: rate,
                        server_rate: 0,
                    };
                    spawn(move || request.run(address))
                })
                .collect();
            let outcomes: Vec<StreamOutcome> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
            let elapsed_s = began.elapsed().as_secs_f64();
            program.stop()?;
            let complete = outcomes.iter().filter(|outcome| **outcome == StreamOutcome::Complete).count();
            let failed_cleanly =
                outcomes.iter().filter(|outcome| matches!(outcome, StreamOutcome::FailedCleanly(_))).count();
            let busy_s = stats.busy_us.load(Ordering::Relaxed) as f64 / 1e6;
            println!(
                "{dispatch:>8} {:>8} {complete:>10} {failed_cleanly:>9} {elapsed_s:>7.1} {busy_s:>14.2}",
                size / 1000
            );
            if complete + failed_cleanly != count {
                return Err(RigError::CheckFailed(format!("{dispatch}: {outcomes:?}")));
            }
            line.push(format!("slot_s_{dispatch}_{}k={busy_s:.2}", size / 1000));
        }
    }
    Ok(line.join(" "))
}
