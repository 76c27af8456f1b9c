//! Experiment `dispatch`: what slow uploads cost a backend server when they are dispatched at the head, after a held
//! prefix, or by their measured pace.

use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::RigError;
use crate::body::Body;
use crate::peers::{Ask, End, Way, serve, spawn};
use crate::program::{Program, build};
use crate::streams::operator;

/// Runs the three ways over the same slow uploads, and prints what each cost.
///
/// # Errors
/// Where the program or a stand-in cannot be started, or the experiment disproves what it is to show.
pub fn experiment(count: usize, rate: u64, least_kb_s: u64) -> Result<String, RigError> {
    let binary = build()?;
    let mut line = Vec::new();
    println!(
        "{:>8} {:>8} {:>10} {:>9} {:>7} {:>14}",
        "way", "body kB", "completed", "refused", "s", "server slot s"
    );
    for size in [48_000u64, 400_000] {
        for way in ["head", "prefix", "pace"] {
            let (server, seen) = serve()?;
            let program = Program::start(&binary, &operator(&[server], count, least_kb_s, 0, way), 1)?;
            let address = program.addresses[0];
            let began = Instant::now();
            let threads: Vec<_> = (0..count)
                .map(|at| {
                    let body = Body { seed: at as u64, size };
                    let chunked = at % 2 == 1;
                    let ask =
                        Ask { class: "long", way: Way::Up, body, chunked, client_rate: rate, server_rate: 0 };
                    spawn(move || ask.run(address))
                })
                .collect();
            let ends: Vec<End> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
            let took = began.elapsed().as_secs_f64();
            program.stop()?;
            let whole = ends.iter().filter(|end| **end == End::Whole).count();
            let clean = ends.iter().filter(|end| matches!(end, End::Clean(_))).count();
            let slot = seen.busy_us.load(Ordering::Relaxed) as f64 / 1e6;
            println!("{way:>8} {:>8} {whole:>10} {clean:>9} {took:>7.1} {slot:>14.2}", size / 1000);
            if whole + clean != count {
                return Err(RigError::Disproved(format!("{way}: {ends:?}")));
            }
            line.push(format!("slot_s_{way}_{}k={slot:.2}", size / 1000));
        }
    }
    Ok(line.join(" "))
}
