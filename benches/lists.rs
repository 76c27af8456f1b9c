//! Cost of the worker list for a dispatcher: reading a complete list, changing one entry, and dispatching a
//! job over it.
#![allow(missing_docs, reason = "the macros of criterion make functions without any")]

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use micabeam::core::{Clock, Command, Core, JobRequest, ListScope, ListedEndpoint};
use micabeam::routing::{Endpoint, EndpointStatus, LoadReport, Outcome};
use micabeam::settings::Site;

/// Numbers of entries of the list.
const LIST_SIZES: [usize; 4] = [200, 1000, 4000, 16_000];

fn list_entry(number: usize, health: EndpointStatus) -> ListedEndpoint {
    let fields = Endpoint {
        size: 1.0,
        zone: (number % 3) as u16,
        kind: (number % 2) as u16,
        status: health,
        ..Endpoint::default()
    };
    ListedEndpoint { name: format!("worker-{number:06}"), address: "127.0.0.1:8081".into(), endpoint: fields }
}

fn list_entries(count: usize) -> Vec<ListedEndpoint> {
    (0..count).map(|number| list_entry(number, EndpointStatus::Ready)).collect()
}

fn core(workers: usize) -> (Core, Clock) {
    let clock = Clock::manual(1e9);
    let site = Site::parse(include_bytes!("../examples/settings.json")).expect("the example reads");
    let mut core = Core::new(site, 1, clock.clone(), 100);
    core.on_list(list_entries(workers), ListScope::Complete);
    (core, clock)
}

fn replace_list(c: &mut Criterion) {
    let mut group = c.benchmark_group("a whole list");
    group.sample_size(10);
    for size in LIST_SIZES {
        group.bench_with_input(BenchmarkId::from_parameter(size), &size, |b, &size| {
            let (mut core, _) = core(size);
            b.iter_batched(
                || list_entries(size),
                |entries| core.on_list(black_box(entries), ListScope::Complete),
                BatchSize::LargeInput,
            );
        });
    }
}

fn change_entry(c: &mut Criterion) {
    let mut group = c.benchmark_group("a change of one line");
    group.sample_size(10);
    for size in LIST_SIZES {
        group.bench_with_input(BenchmarkId::from_parameter(size), &size, |b, &size| {
            let (mut core, _) = core(size);
            let mut iteration = 0;
            b.iter(|| {
                iteration += 1;
                let status =
                    if iteration % 2 == 0 { EndpointStatus::Ready } else { EndpointStatus::Draining };
                core.on_list(vec![list_entry(7, status)], ListScope::Changes);
            });
        });
    }
}

fn dispatch_job(c: &mut Criterion) {
    let mut group = c.benchmark_group("a job");
    for size in LIST_SIZES {
        group.bench_with_input(BenchmarkId::from_parameter(size), &size, |b, &size| {
            let (mut core, clock) = core(size);
            b.iter(|| {
                clock.set(clock.now() + 1.0);
                let deadline = clock.now() + 4000.0;
                let _ = core.submit(JobRequest {
                    class: 2,
                    deadline_ms: deadline,
                    slots: 1.0,
                    work_ms: None,
                    partition: 0,
                });
                while let Some(command) = core.next_command() {
                    if let Command::Send { job: job_id, attempt, .. } = command {
                        core.on_attempt_ended(
                            job_id,
                            attempt,
                            Outcome::Served,
                            LoadReport::default(),
                            Vec::new(),
                        );
                    }
                }
            });
        });
    }
}

criterion_group!(benches, replace_list, change_entry, dispatch_job);
criterion_main!(benches);
