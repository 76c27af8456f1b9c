//! Tests of the core alone: events in, commands out, on a manual clock.

#[path = "common/net.rs"]
mod net;

use micabeam::core::{
    Clock, Command, Core, EndpointSelector, FinalAnswer, JobRequest, ListScope, ListedEndpoint,
    MAX_ENDPOINTS, PartitionId,
};
use micabeam::routing::{Endpoint, EndpointStatus, JobId, LoadReport, Outcome};
use micabeam::settings::Site;

const START: f64 = 1_700_000_000_000.0;

fn core(limit: usize, names: &[&str]) -> (Core, Clock) {
    let clock = Clock::manual(START);
    let site = Site::parse(net::SETTINGS.as_bytes()).unwrap();
    let mut core = Core::new(site, 1, clock.clone(), limit);
    let entry = |name: &&str| ListedEndpoint {
        name: name.to_string(),
        address: String::new(),
        endpoint: Endpoint { size: 1.0, ..Endpoint::default() },
    };
    core.on_list(names.iter().map(entry).collect(), ListScope::Complete);
    (core, clock)
}

fn request(class: usize, wait: f64) -> JobRequest {
    JobRequest { class, deadline_ms: START + wait, slots: 1.0, work_ms: None, partition: 0 }
}

fn commands(core: &mut Core) -> Vec<Command> {
    std::iter::from_fn(|| core.next_command()).collect()
}

fn answers(commands: &[Command]) -> Vec<(JobId, FinalAnswer)> {
    let answer = |c: &Command| match c {
        Command::Answer { job: id, answer: final_answer } => Some((*id, final_answer.clone())),
        _ => None,
    };
    commands.iter().filter_map(answer).collect()
}

#[test]
fn the_end_of_an_attempt_counts_once() {
    let (mut core, _) = core(10, &["a"]);
    let id = core.submit(request(1, 4000.0)).unwrap();
    assert!(
        matches!(commands(&mut core)[..], [Command::Send { job: sent_id, attempt: 0, .. }] if sent_id == id)
    );
    assert!(core.on_attempt_ended(id, 0, Outcome::Served, LoadReport::default(), b"ok".to_vec()));
    assert!(!core.on_attempt_ended(id, 0, Outcome::Served, LoadReport::default(), b"again".to_vec()));
    assert!(!core.on_attempt_ended(id, 0, Outcome::Reset, LoadReport::default(), Vec::new()));
    assert_eq!(answers(&commands(&mut core)), [(id, FinalAnswer::Served(b"ok".to_vec()))]);
    let counters = core.counters();
    assert_eq!((counters.served, counters.stray, core.open_jobs()), (1, 2, 0));
}

#[test]
fn a_job_at_a_silent_endpoint_is_answered_by_its_deadline() {
    let (mut core, clock) = core(10, &["a"]);
    for class in [0, 1] {
        let id = core.submit(request(class, clock.now() - START + 400.0)).unwrap();
        assert_eq!(commands(&mut core).len(), 1);
        let end = clock.now() + 400.0;
        let mut received = Vec::new();
        while let Some(at) = core.next_deadline().filter(|&at| at <= end) {
            clock.set(at);
            core.tick();
            received.extend(commands(&mut core));
        }
        // The job is answered in time and its attempt cancelled; only the idempotent job may be rejected.
        let expected =
            if class == 0 { FinalAnswer::Rejected { retry_after_ms: 2000.0 } } else { FinalAnswer::Failed };
        assert_eq!(answers(&received), [(id, expected)]);
        assert!(received.contains(&Command::Cancel { job: id, attempt: 0 }), "{received:?}");
        assert!(clock.now() <= end && core.open_jobs() == 0);
    }
}

#[test]
fn requests_that_are_not_admitted_are_rejected_and_counted() {
    let (mut core, _) = core(1, &["a"]);
    core.submit(request(1, 4000.0)).unwrap();
    assert_eq!(core.submit(request(1, 4000.0)), Err(FinalAnswer::Rejected { retry_after_ms: 2000.0 }));
    assert!(core.submit(request(1, -1.0)).is_err(), "the deadline has passed");
    core.reject_new_jobs();
    assert!(core.submit(request(1, 4000.0)).is_err(), "the program is stopping");
    let counters = core.counters();
    assert_eq!((counters.taken, counters.turned_away, counters.sent), (4, 3, 1));
}

#[test]
fn requests_during_shutdown_end_by_the_shutdown_deadline() {
    let (mut core, clock) = core(10, &["a"]);
    core.set_shutdown_deadline(START + 300.0, START + 3300.0);
    let early = core.submit(request(1, 9000.0)).unwrap();
    clock.set(START + 300.0);
    let late = core.submit(request(1, 9000.0)).unwrap();
    assert_eq!(core.job(early).map(|job| job.request.deadline_ms), Some(START + 9000.0));
    while let Some(at) = core.next_deadline().filter(|&at| at <= START + 3300.0) {
        clock.set(at);
        core.tick();
    }
    assert_eq!(answers(&commands(&mut core)), [(late, FinalAnswer::Failed)]);
}

#[test]
fn endpoint_ids_depend_on_the_names_alone() {
    let (one, _) = core(1, &["a", "b", "c"]);
    let (two, _) = core(1, &["c", "a"]);
    assert_eq!(one.endpoints().id("a"), two.endpoints().id("a"));
    assert_eq!(one.endpoints().id("c"), two.endpoints().id("c"));
    assert_ne!(one.endpoints().id("a"), one.endpoints().id("b"));
    assert_eq!(two.endpoints().listed().len(), 2);
}

#[test]
fn a_clock_never_runs_backwards() {
    let clock = Clock::manual(5.0);
    clock.set(4.0);
    assert_eq!(clock.now(), 5.0);
    clock.set(6.5);
    assert_eq!(clock.now(), 6.5);
}

/// Guards against a lost wake-up: an event after a wake-up is due and before the tick makes the router
/// request a later one, which the tick must not discard. If it does, a job on an idle frontend never ends.
#[test]
fn a_wake_up_is_not_lost_when_another_event_comes_first() {
    let (mut core, clock) = core(10, &[]);
    for class in [2, 0] {
        core.submit(request(class, 4000.0)).unwrap();
    }
    for _ in 0..1000 {
        if core.open_jobs() == 0 {
            return;
        }
        let at = core.next_deadline().expect("a job is open and no wake-up is pending");
        assert!(at <= START + 4000.0, "the router is woken after the deadline, at {at}");
        clock.set(at);
        // An event before the tick.
        core.on_list(Vec::new(), ListScope::Changes);
        core.tick();
    }
    panic!("the router is woken repeatedly and never ends the job");
}

/// Guards against a second attempt or answer once part of the first response has been sent, and against a
/// deadline that cuts off a response which is still streaming.
#[test]
fn a_streaming_job_ends_with_its_attempt() {
    let (mut core, clock) = core(10, &["a", "b"]);
    let id = core.submit(request(0, 400.0)).unwrap();
    assert_eq!(commands(&mut core).len(), 1);
    assert!(core.on_response_started(id, 0));
    clock.set(START + 5000.0);
    core.tick();
    assert_eq!(commands(&mut core), []);
    core.on_attempt_ended(id, 0, Outcome::Reset, LoadReport::default(), Vec::new());
    assert_eq!(commands(&mut core), [Command::Answer { job: id, answer: FinalAnswer::Failed }]);
    assert!(!core.on_response_started(id, 0), "the attempt has ended");
    assert_eq!((core.open_jobs(), core.counters().sent), (0, 1));
}

/// Guards against a second run after a reload: a class that became idempotent made its open jobs, which were sent as jobs that
/// must not run twice, be sent again or rejected.
#[test]
fn a_reload_does_not_change_whether_an_open_job_may_run_twice() {
    let reloaded = net::SETTINGS.replace("fragile", "retryable");
    for is_cut_off_by_deadline in [false, true] {
        let (mut core, clock) = core(10, &["a", "b"]);
        let open = core.submit(request(1, 400.0)).unwrap();
        assert_eq!(commands(&mut core).len(), 1);
        core.reconfigure(Site::parse(reloaded.as_bytes()).unwrap(), 10);
        assert!(!core.rejection_is_safe(open));
        if is_cut_off_by_deadline {
            clock.set(START + 400.0);
            core.tick();
        } else {
            core.on_attempt_ended(open, 0, Outcome::Reset, LoadReport::default(), Vec::new());
        }
        assert_eq!(answers(&commands(&mut core)), [(open, FinalAnswer::Failed)]);
        assert_eq!(core.counters().sent, 1);
        let later = core.submit(request(1, 4000.0)).unwrap();
        assert!(
            core.rejection_is_safe(later),
            "a job that arrives after the reload follows the new settings"
        );
    }
}

#[test]
fn each_event_of_a_scripted_run_is_counted_once() {
    use micabeam::telemetry::Disposition::*;
    // Guards the metrics: each answer is counted once by class and kind, each attempt once when its request
    // was written, however often the frontend reports it, and the gauges show the current state.
    let (mut core, clock) = core(2, &["a", "b"]);
    let served = core.submit(request(0, 4000.0)).unwrap();
    let failed = core.submit(request(1, 4000.0)).unwrap();
    // A third request exceeds the job limit and is rejected before the router sees it.
    assert!(core.submit(request(1, 4000.0)).is_err());
    let sent = commands(&mut core);
    assert_eq!(sent.len(), 2, "{sent:?}");
    assert_eq!(core.gauges().pending, 2);
    for _ in 0..3 {
        core.on_request_sent(served, 0);
    }
    core.on_request_sent(failed, 0);
    assert_eq!(core.telemetry().upstream(), 2);
    core.on_attempt_ended(served, 0, Outcome::Served, LoadReport::default(), b"ok".to_vec());
    // An error fails a job that must not run twice.
    core.on_attempt_ended(failed, 0, Outcome::Error, LoadReport::default(), Vec::new());
    clock.set(clock.now() + 1.0);
    core.tick();
    let answered = answers(&commands(&mut core));
    assert_eq!(answered.len(), 2, "{answered:?}");
    let counts = |class| [Completed, Rejected, Failed].map(|d| core.telemetry().downstream(class, d));
    assert_eq!((counts(0), counts(1)), ([1, 0, 0], [0, 1, 1]));
    let gauges = core.gauges();
    assert_eq!((gauges.pending, gauges.members), (0, 2));
    assert!(gauges.members_unavailable <= 1, "only the endpoint that failed may be unavailable: {gauges:?}");
}

fn prefix(start: &str) -> EndpointSelector {
    EndpointSelector { prefixes: Some(vec![start.into()]), ..EndpointSelector::default() }
}

/// Returns the names of the endpoints that `count` requests of a partition are sent to.
fn endpoints_used(core: &mut Core, partition_id: PartitionId, count: usize) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..count {
        let id = core.submit(JobRequest { partition: partition_id, ..request(1, 4000.0) }).unwrap();
        for command in commands(core) {
            if let Command::Send { endpoint: endpoint_id, .. } = command {
                names.push(core.endpoints().get(endpoint_id).unwrap().name.clone());
                core.on_attempt_ended(id, 0, Outcome::Served, LoadReport::default(), Vec::new());
            }
        }
        commands(core);
    }
    names.sort_unstable();
    names.dedup();
    names
}

/// A request is sent only to endpoints of its partition, also after the list has changed, and its rejection
/// or failure is decided there.
#[test]
fn a_request_stays_in_its_partition() {
    let (mut core, clock) = core(100, &["a-1", "a-2", "b-1"]);
    let [a, b, empty] = core.set_partitions(&[prefix("a-"), prefix("b-"), prefix("c-")])[..] else {
        panic!()
    };
    assert_eq!(
        core.set_partitions(&[prefix("b-"), prefix("a-"), prefix("c-")]),
        [b, a, empty],
        "equal selectors keep their partitions"
    );
    assert_eq!(endpoints_used(&mut core, a, 8), ["a-1", "a-2"]);
    assert_eq!(endpoints_used(&mut core, b, 8), ["b-1"]);
    let entry = |name: &str| ListedEndpoint {
        name: name.into(),
        address: String::new(),
        endpoint: Endpoint { size: 1.0, ..Endpoint::default() },
    };
    core.on_list(vec![entry("b-1"), entry("b-2"), entry("a-1")], ListScope::Complete);
    assert_eq!(endpoints_used(&mut core, a, 8), ["a-1"], "an endpoint has left the list");
    assert_eq!(endpoints_used(&mut core, b, 8), ["b-1", "b-2"], "an endpoint was added");
    assert!(core.has_ready_endpoint(&prefix("b-")) && !core.has_ready_endpoint(&prefix("c-")));
    // A partition without endpoints answers a request in time, as the router for all endpoints does.
    let id = core.submit(JobRequest { partition: empty, ..request(1, clock.now() - START + 400.0) }).unwrap();
    let end = clock.now() + 400.0;
    let mut answered = Vec::new();
    while answered.is_empty() && clock.now() <= end {
        clock.set(core.next_deadline().unwrap_or(end).max(clock.now() + 1.0));
        core.tick();
        answered = answers(&commands(&mut core));
    }
    assert_eq!(answered.first().map(|(job, _)| *job), Some(id));
}

/// A partition that no policy refers to any more is removed with its last job, which is still sent within
/// that partition.
#[test]
fn a_job_of_a_removed_partition_ends_in_that_partition() {
    let (mut core, _) = core(100, &["a-1", "b-1"]);
    let a = core.set_partitions(&[prefix("a-")])[0];
    let id = core.submit(JobRequest { partition: a, ..request(0, 4000.0) }).unwrap();
    commands(&mut core);
    let b = core.set_partitions(&[prefix("b-")])[0];
    assert_eq!(core.partition_count(), 2);
    // The first attempt never ran. The next one must go to the same partition, which has no other endpoint,
    // and not to the new one.
    core.on_attempt_ended(id, 0, Outcome::Full, LoadReport::default(), Vec::new());
    let sent: Vec<String> = commands(&mut core)
        .iter()
        .filter_map(|command| match command {
            Command::Send { endpoint: endpoint_id, .. } => {
                Some(core.endpoints().get(*endpoint_id).unwrap().name.clone())
            }
            _ => None,
        })
        .collect();
    assert!(sent.iter().all(|name| name == "a-1"), "{sent:?}");
    core.on_client_left(id);
    assert_eq!(core.partition_count(), 1, "the partition is removed with its last job");
    assert_eq!(endpoints_used(&mut core, b, 3), ["b-1"]);
}

/// Each change of policy creates new partitions. A cold endpoint must not get new slow-start tokens with each
/// of them.
#[test]
fn policy_changes_do_not_renew_slow_start_tokens() {
    let clock = Clock::manual(START);
    let site = Site::parse(net::SETTINGS.as_bytes()).unwrap();
    let mut core = Core::new(site, 1, clock.clone(), 1000);
    let start_us = (START * 1e3) as u64;
    let entry = |name: &str, start_us| ListedEndpoint {
        name: name.into(),
        address: String::new(),
        endpoint: Endpoint { size: 1.0, started_at: start_us, ..Endpoint::default() },
    };
    core.on_list(vec![entry("a-cold", start_us), entry("b-warm", 0)], ListScope::Complete);
    let mut sent = 0;
    for change in 0..40 {
        // Each selector differs and matches the same endpoint, so each makes a new partition.
        let prefixes = vec!["a-".to_string(), format!("x{change}")];
        let partition_id = core
            .set_partitions(&[EndpointSelector { prefixes: Some(prefixes), ..EndpointSelector::default() }])
            [0];
        for _ in 0..2 {
            let _ = core.submit(JobRequest { partition: partition_id, ..request(1, 4000.0) });
            sent += commands(&mut core).iter().filter(|c| matches!(c, Command::Send { .. })).count();
        }
    }
    // As the only endpoint of its partition it may be sent the jobs of one set of slow-start tokens at once,
    // but not of forty.
    assert!(sent <= 4, "{sent} requests to an endpoint that has just started");
}

/// Guards against entries of a long list that are dropped silently: entries beyond the table limit are
/// counted.
#[test]
fn entries_beyond_the_table_limit_are_counted_and_gone_endpoints_make_room() {
    let names: Vec<String> = (0..MAX_ENDPOINTS + 3).map(|number| format!("w{number}")).collect();
    let (mut core, _) = core(10, &names.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!((core.endpoints().listed().len(), core.counters().lines_dropped), (MAX_ENDPOINTS, 3));
    assert!(core.counters().to_string().contains("lines_dropped 3\n"));
    let entry = |name: &str, state| {
        let member = Endpoint { size: 1.0, status: state, ..Endpoint::default() };
        ListedEndpoint { name: name.into(), address: String::new(), endpoint: member }
    };
    core.on_list(
        vec![entry("w0", EndpointStatus::Gone), entry("late", EndpointStatus::Ready)],
        ListScope::Changes,
    );
    assert!(core.endpoints().id("late").is_some_and(|id| core.endpoints().get(id).is_some()));
    assert_eq!(core.counters().lines_dropped, 3);
}
