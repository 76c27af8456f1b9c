//! `micabeam-rig`: command line of the experiments that run the real program among stand-in peers.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use micabeam_rig::streams::{Plan, ladder};
use micabeam_rig::{RigError, dispatch, rollout, scale, soak, stores, streams, upgrade};

/// Experiments with the real program among stand-in peers, on loopback. The last line of each is figures, as
/// key=value; it ends non-zero where its proof fails.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Long bodies at once, each checked by a hash at both ends, beside small requests
    Streams {
        /// Streams at once
        #[arg(long, default_value_t = 200)]
        count: usize,
        /// Megabytes (10^6) of each
        #[arg(long, default_value_t = 500)]
        mb: u64,
        /// So many of them have a slow peer
        #[arg(long, default_value_t = 20)]
        slow: usize,
        /// Kilobytes a second of the slow
        #[arg(long, default_value_t = 50)]
        slow_kb_s: u64,
        /// Megabytes of a stream with a slow peer; as the others where it is not given
        #[arg(long)]
        slow_mb: Option<u64>,
        /// Least pace that the program asks of peers, in KiB a second
        #[arg(long, default_value_t = 100)]
        least_kb_s: u64,
        /// Pipes that the program may use; as many as streams where it is not given
        #[arg(long)]
        pipes: Option<usize>,
        /// Most resident memory, in MiB
        #[arg(long, default_value_t = 64.0)]
        ceiling_mb: f64,
        /// Megabytes of each stream through the bare relays; 0 leaves them out
        #[arg(long)]
        bare_mb: Option<u64>,
    },
    /// The cost of 10, 100, 200 and 400 streams over the same bytes
    Ladder {
        /// Megabytes in all of each run
        #[arg(long, default_value_t = 8000)]
        mb: u64,
        /// Pipes that the program may use
        #[arg(long, default_value_t = 400)]
        pipes: usize,
    },
    /// Real dispatchers while lists, processes, system calls and clocks go wrong, held to every rule
    Soak {
        /// Processes
        #[arg(long, default_value_t = 6)]
        dispatchers: usize,
        /// How long faults go on
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Decides faults and requests
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Another build of the program, to see what the checker finds in it
        #[arg(long)]
        binary: Option<std::path::PathBuf>,
    },
    /// Upgrades by pairs of processes under load, with faults at the seam
    Upgrade {
        /// Upgrades, one after the other
        #[arg(long, default_value_t = 100)]
        rounds: usize,
        /// Jobs a second
        #[arg(long, default_value_t = 100)]
        rate: u64,
        /// Decides faults and jobs
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Zones that fail, with dispatchers in each that decide in common
    Zones {
        /// Processes in all
        #[arg(long, default_value_t = 15)]
        dispatchers: usize,
        /// Zones
        #[arg(long, default_value_t = 3)]
        zones: usize,
        /// How long faults go on
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Decides faults and jobs
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Jobs a second of each dispatcher's clients
        #[arg(long, default_value_t = 20)]
        rate: u64,
        /// The one fault to play, as `ZoneDead` or `LeaderFrozen`; else they are drawn
        #[arg(long)]
        fault: Option<String>,
        /// Each dispatcher decides alone, as without a fleet
        #[arg(long)]
        alone: bool,
    },
    /// Changes of a policy that processes share, with faults between them
    Rollout {
        /// Processes
        #[arg(long, default_value_t = 9)]
        dispatchers: usize,
        /// How long changes with faults go on
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Decides faults and jobs
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Each process has its own file read by itself, as without agreement
        #[arg(long)]
        alone: bool,
    },
    /// Many hollow dispatchers in one process, on a set clock
    Scale(ScaleArguments),
    /// What a list of workers costs one dispatcher
    Lists {
        /// Lines of the list
        #[arg(long, default_value_t = 16_000)]
        workers: usize,
        /// Attempts that stay out
        #[arg(long, default_value_t = 0)]
        out: usize,
    },
    /// The ledger's load on embedded engines and on a plain log
    Stores {
        /// Jobs, of three records each
        #[arg(long, default_value_t = 100_000)]
        jobs: usize,
    },
    /// What slow uploads cost a server by when they are dispatched
    Dispatch {
        /// Uploads at once
        #[arg(long, default_value_t = 20)]
        count: usize,
        /// Kilobytes a second of each
        #[arg(long, default_value_t = 50)]
        kb_s: u64,
        /// Least pace that the program asks of peers, in KiB a second
        #[arg(long, default_value_t = 8)]
        least_kb_s: u64,
    },
}

#[derive(clap::Args)]
struct ScaleArguments {
    /// Dispatchers
    #[arg(long, default_value_t = 400)]
    members: usize,
    /// Lines of the list
    #[arg(long, default_value_t = 16_000)]
    workers: usize,
    /// Zones
    #[arg(long, default_value_t = 40)]
    zones: usize,
    /// Voters: 3, 5 or 7
    #[arg(long, default_value_t = 5)]
    voters: usize,
    /// Length of the run on the set clock, in seconds
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Decides delays, losses and faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Dispatchers that are killed around changes
    #[arg(long, default_value_t = 0)]
    deaths: usize,
    /// Dispatchers that are frozen around changes, beyond their leases
    #[arg(long, default_value_t = 0)]
    freezes: usize,
    /// Dispatchers that are killed and started again at once
    #[arg(long, default_value_t = 0)]
    restarts: usize,
    /// The leader is killed during a change
    #[arg(long)]
    leader_lost: bool,
    /// All of one zone is lost half way
    #[arg(long)]
    zone_lost: bool,
    /// One region of four is cut off for half of the run
    #[arg(long)]
    regions_apart: bool,
    /// Longest time that a datagram takes, in milliseconds; with 1 none overtakes another
    #[arg(long, default_value_t = 3.0)]
    delay_ms: f64,
    /// All dispatchers do what is due at the same times
    #[arg(long)]
    aligned: bool,
    /// Datagrams of a thousand that are lost
    #[arg(long, default_value_t = 0)]
    lost: u32,
    /// Bytes of a policy document
    #[arg(long, default_value_t = 4000)]
    policy_bytes: usize,
    /// How long a dispatcher serves without news, in milliseconds; the program's usual where it is not given
    #[arg(long)]
    lease_ms: Option<f64>,
    /// No version is wanted
    #[arg(long)]
    calm: bool,
}

impl ScaleArguments {
    fn plan(self) -> scale::Plan {
        let defaults = scale::Plan::default();
        scale::Plan {
            members: self.members,
            workers: self.workers,
            zones: self.zones,
            voters: self.voters,
            seconds: self.seconds,
            seed: self.seed,
            deaths: self.deaths,
            freezes: self.freezes,
            restarts: self.restarts,
            leader_lost: self.leader_lost,
            zone_lost: self.zone_lost,
            regions_apart: self.regions_apart,
            delay_ms: self.delay_ms,
            aligned: self.aligned,
            lost: self.lost,
            policy_bytes: self.policy_bytes,
            lease_ms: self.lease_ms.unwrap_or(defaults.lease_ms),
            changes: !self.calm,
            keeps_leases: true,
        }
    }
}

/// Returns the last line of an experiment, its figures. If the check failed, prints the line before returning
/// the error.
fn report(line: String, check: Result<(), RigError>) -> Result<String, RigError> {
    if check.is_err() {
        println!("{line}");
    }
    check.map(|()| line)
}

fn check_failed(what: impl Into<String>) -> RigError {
    RigError::CheckFailed(what.into())
}

fn run(experiment: Experiment) -> Result<String, RigError> {
    match experiment {
        Experiment::Streams { .. } => run_streams(&experiment),
        Experiment::Zones { dispatchers, zones, seconds, seed, rate, fault, alone } => {
            if dispatchers < 3 || zones < 2 || zones > dispatchers {
                return Err(check_failed(
                    "at least 3 dispatchers and 2 zones are needed, and no more zones than dispatchers",
                ));
            }
            let only = parse_fault(fault.as_deref())?;
            let plan =
                micabeam_rig::zones::Plan { dispatchers, zones, seconds, seed, rate, agreed: !alone, only };
            let figures = micabeam_rig::zones::experiment(&plan)?;
            report(figures.line(), figures.verify())
        }
        Experiment::Soak { dispatchers, seconds, seed, binary } => {
            let figures = soak::experiment(&soak::Plan { dispatchers, seconds, seed, binary })?;
            report(figures.to_string(), figures.verify())
        }
        Experiment::Upgrade { rounds, rate, seed } => {
            let figures = upgrade::experiment(&upgrade::Plan { rounds, rate, seed })?;
            report(figures.line(), figures.verify())
        }
        Experiment::Rollout { dispatchers, seconds, seed, alone } => {
            if dispatchers < 3 {
                return Err(check_failed("at least 3 dispatchers are needed"));
            }
            let figures = rollout::experiment(&rollout::Plan { dispatchers, seconds, seed, agreed: !alone })?;
            report(figures.line(), figures.verify())
        }
        Experiment::Scale(arguments) => {
            let figures = scale::experiment(&arguments.plan())?;
            report(figures.line(), figures.verify())
        }
        Experiment::Lists { workers, out } => Ok(scale::measure_list(workers, out)?.line()),
        Experiment::Ladder { mb, pipes } => ladder(mb, pipes),
        Experiment::Stores { jobs } => stores::experiment(jobs),
        Experiment::Dispatch { count, kb_s, least_kb_s } => {
            dispatch::experiment(count, kb_s * 1000, least_kb_s)
        }
    }
}

/// Parses the value of `--fault`; `None` if the option is not given.
fn parse_fault(name: Option<&str>) -> Result<Option<micabeam_rig::zones::Fault>, RigError> {
    let Some(name) = name else { return Ok(None) };
    match micabeam_rig::zones::Fault::named(name) {
        Some(fault) => Ok(Some(fault)),
        None => Err(check_failed(format!("unknown fault `{name}`"))),
    }
}

fn run_streams(experiment: &Experiment) -> Result<String, RigError> {
    let &Experiment::Streams { count, mb, slow, slow_kb_s, slow_mb, least_kb_s, pipes, ceiling_mb, bare_mb } =
        experiment
    else {
        return Err(check_failed("not the experiment `streams`"));
    };
    let plan = Plan {
        count,
        bytes: mb * 1_000_000,
        slow: slow.min(count),
        slow_rate: slow_kb_s * 1000,
        slow_bytes: slow_mb.unwrap_or(mb) * 1_000_000,
        least_kb_s,
        pipes: pipes.unwrap_or(count),
        ceiling_mb,
        bare_bytes: bare_mb.unwrap_or((mb / 10).max(1)) * 1_000_000,
    };
    let figures = streams::experiment(&plan)?;
    report(figures.line(), figures.verify(&plan))
}

fn main() -> ExitCode {
    match run(Cli::parse().experiment) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("micabeam-rig: {e}");
            ExitCode::FAILURE
        }
    }
}
