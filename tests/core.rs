//! The core by itself: plain events in, commands out, on a clock that the test sets.

#[path = "common/net.rs"]
mod net;

use micabeam::core::{
    Clock, Command, Core, EndpointSelector, FinalAnswer, JobRequest, ListScope, ListedEndpoint,
    MAX_ENDPOINTS, PartitionId,
};
use micabeam::routing::{Endpoint, EndpointStatus, JobId, LoadReport, Outcome};
use micabeam::settings::Site;

const START: f64 = 1_700_000_000_000.0;

fn core(limit: usize, servers: &[&str]) -> (Core, Clock) {
    let clock = Clock::manual(START);
    let site = Site::parse(net::SETTINGS.as_bytes()).unwrap();
    let mut core = Core::new(site, 1, clock.clone(), limit);
    let line = |name: &&str| ListedEndpoint {
        name: name.to_string(),
        address: String::new(),
        endpoint: Endpoint { size: 1.0, ..Endpoint::default() },
    };
    core.on_list(servers.iter().map(line).collect(), ListScope::Complete);
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
        Command::Answer { job: session, answer: verdict } => Some((*session, verdict.clone())),
        _ => None,
    };
    commands.iter().filter_map(answer).collect()
}

#[test]
fn news_of_a_dispatch_count_once() {
    let (mut core, _) = core(10, &["a"]);
    let id = core.submit(request(1, 4000.0)).unwrap();
    assert!(
        matches!(commands(&mut core)[..], [Command::Send { job: session, attempt: 0, .. }] if session == id)
    );
    assert!(core.on_attempt_ended(id, 0, Outcome::Served, LoadReport::default(), b"ok".to_vec()));
    assert!(!core.on_attempt_ended(id, 0, Outcome::Served, LoadReport::default(), b"again".to_vec()));
    assert!(!core.on_attempt_ended(id, 0, Outcome::Reset, LoadReport::default(), Vec::new()));
    assert_eq!(answers(&commands(&mut core)), [(id, FinalAnswer::Served(b"ok".to_vec()))]);
    let counters = core.counters();
    assert_eq!((counters.served, counters.stray, core.open_jobs()), (1, 2, 0));
}

#[test]
fn a_silent_server_is_given_up_by_the_deadline() {
    let (mut core, clock) = core(10, &["a"]);
    for class in [0, 1] {
        let id = core.submit(request(class, clock.now() - START + 400.0)).unwrap();
        assert_eq!(commands(&mut core).len(), 1);
        let end = clock.now() + 400.0;
        let mut told = Vec::new();
        while let Some(at) = core.next_deadline().filter(|&at| at <= end) {
            clock.set(at);
            core.tick();
            told.extend(commands(&mut core));
        }
        // Answered in time, and the dispatch called off; only the safe one may be called harmless.
        let verdict =
            if class == 0 { FinalAnswer::Rejected { retry_after_ms: 2000.0 } } else { FinalAnswer::Failed };
        assert_eq!(answers(&told), [(id, verdict)]);
        assert!(told.contains(&Command::Cancel { job: id, attempt: 0 }), "{told:?}");
        assert!(clock.now() <= end && core.open_jobs() == 0);
    }
}

#[test]
fn what_cannot_be_held_is_denied_and_counted() {
    let (mut core, _) = core(1, &["a"]);
    core.submit(request(1, 4000.0)).unwrap();
    assert_eq!(core.submit(request(1, 4000.0)), Err(FinalAnswer::Rejected { retry_after_ms: 2000.0 }));
    assert!(core.submit(request(1, -1.0)).is_err(), "its deadline has passed");
    core.reject_new_jobs();
    assert!(core.submit(request(1, 4000.0)).is_err(), "the program stops");
    let counters = core.counters();
    assert_eq!((counters.taken, counters.turned_away, counters.sent), (4, 3, 1));
}

#[test]
fn what_comes_while_the_program_stops_is_over_before_the_kill() {
    let (mut core, clock) = core(10, &["a"]);
    core.set_shutdown_deadline(START + 300.0, START + 3300.0);
    let early = core.submit(request(1, 9000.0)).unwrap();
    clock.set(START + 300.0);
    let late = core.submit(request(1, 9000.0)).unwrap();
    assert_eq!(core.job(early).map(|s| s.request.deadline_ms), Some(START + 9000.0));
    while let Some(at) = core.next_deadline().filter(|&at| at <= START + 3300.0) {
        clock.set(at);
        core.tick();
    }
    assert_eq!(answers(&commands(&mut core)), [(late, FinalAnswer::Failed)]);
}

#[test]
fn every_dispatcher_makes_the_same_ids_of_the_same_names() {
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

/// Guards the module's wake-ups: news that come after one is due and before the loop's tick re-arm the module for
/// a later time, which the tick must not take away. Lost, a session on a quiet front never ends.
#[test]
fn a_wake_up_is_not_lost_when_other_news_come_first() {
    let (mut core, clock) = core(10, &[]);
    for class in [2, 0] {
        core.submit(request(class, 4000.0)).unwrap();
    }
    for _ in 0..1000 {
        if core.open_jobs() == 0 {
            return;
        }
        let at = core.next_deadline().expect("a session is open and nothing will wake the module");
        assert!(at <= START + 4000.0, "the module is woken past the deadline, at {at}");
        clock.set(at);
        // What comes in before the tick.
        core.on_list(Vec::new(), ListScope::Changes);
        core.tick();
    }
    panic!("it is woken again and again and never ends the session");
}

/// Guards against a second run, or a second answer, once bytes of the first one are out; and against a deadline that
/// cuts an answer which is still coming.
#[test]
fn a_session_whose_answer_has_begun_ends_as_its_dispatch_does() {
    let (mut core, clock) = core(10, &["a", "b"]);
    let id = core.submit(request(0, 400.0)).unwrap();
    assert_eq!(commands(&mut core).len(), 1);
    assert!(core.on_response_started(id, 0));
    clock.set(START + 5000.0);
    core.tick();
    assert_eq!(commands(&mut core), []);
    core.on_attempt_ended(id, 0, Outcome::Reset, LoadReport::default(), Vec::new());
    assert_eq!(commands(&mut core), [Command::Answer { job: id, answer: FinalAnswer::Failed }]);
    assert!(!core.on_response_started(id, 0), "it is over");
    assert_eq!((core.open_jobs(), core.counters().sent), (0, 1));
}

#[test]
fn a_scripted_day_is_counted_once_where_each_thing_happens() {
    use micabeam::telemetry::Disposition::*;
    // Guards the operators' figures: each answer counted once by its lane and how it ended, attempts once when
    // written whole however often a front tells it, and what is pending and avoided read as it is.
    let (mut core, clock) = core(2, &["a", "b"]);
    let served = core.submit(request(0, 4000.0)).unwrap();
    let failed = core.submit(request(1, 4000.0)).unwrap();
    // A third is one too many: denied before the module sees it.
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
    // An error on a job that may not run twice fails it.
    core.on_attempt_ended(failed, 0, Outcome::Error, LoadReport::default(), Vec::new());
    clock.set(clock.now() + 1.0);
    core.tick();
    let answered = answers(&commands(&mut core));
    assert_eq!(answered.len(), 2, "{answered:?}");
    let counts = |lane| [Completed, Rejected, Failed].map(|d| core.telemetry().downstream(lane, d));
    assert_eq!((counts(0), counts(1)), ([1, 0, 0], [0, 1, 1]));
    let gauges = core.gauges();
    assert_eq!((gauges.pending, gauges.members), (0, 2));
    assert!(gauges.members_unavailable <= 1, "only the server that failed may be avoided: {gauges:?}");
}

fn prefix(head: &str) -> EndpointSelector {
    EndpointSelector { prefixes: Some(vec![head.into()]), ..EndpointSelector::default() }
}

/// The servers that so many requests kept to a pool go to.
fn servers_of(core: &mut Core, pool: PartitionId, count: usize) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..count {
        let id = core.submit(JobRequest { partition: pool, ..request(1, 4000.0) }).unwrap();
        for command in commands(core) {
            if let Command::Send { endpoint: server, .. } = command {
                names.push(core.endpoints().get(server).unwrap().name.clone());
                core.on_attempt_ended(id, 0, Outcome::Served, LoadReport::default(), Vec::new());
            }
        }
        commands(core);
    }
    names.sort_unstable();
    names.dedup();
    names
}

/// A request goes to the servers of its pool alone, also after the list has changed, and what it is denied or given up for
/// is decided there.
#[test]
fn a_request_is_kept_to_its_pool() {
    let (mut core, clock) = core(100, &["a-1", "a-2", "b-1"]);
    let [a, b, none] = core.set_partitions(&[prefix("a-"), prefix("b-"), prefix("c-")])[..] else { panic!() };
    assert_eq!(
        core.set_partitions(&[prefix("b-"), prefix("a-"), prefix("c-")]),
        [b, a, none],
        "the same are the same"
    );
    assert_eq!(servers_of(&mut core, a, 8), ["a-1", "a-2"]);
    assert_eq!(servers_of(&mut core, b, 8), ["b-1"]);
    let line = |name: &str| ListedEndpoint {
        name: name.into(),
        address: String::new(),
        endpoint: Endpoint { size: 1.0, ..Endpoint::default() },
    };
    core.on_list(vec![line("b-1"), line("b-2"), line("a-1")], ListScope::Complete);
    assert_eq!(servers_of(&mut core, a, 8), ["a-1"], "a server that left the list");
    assert_eq!(servers_of(&mut core, b, 8), ["b-1", "b-2"], "and one that came");
    assert!(core.has_ready_endpoint(&prefix("b-")) && !core.has_ready_endpoint(&prefix("c-")));
    // A pool that has no server gives a request up in time, as the whole would.
    let id = core.submit(JobRequest { partition: none, ..request(1, clock.now() - START + 400.0) }).unwrap();
    let end = clock.now() + 400.0;
    let mut answered = Vec::new();
    while answered.is_empty() && clock.now() <= end {
        clock.set(core.next_deadline().unwrap_or(end).max(clock.now() + 1.0));
        core.tick();
        answered = answers(&commands(&mut core));
    }
    assert_eq!(answered.first().map(|(session, _)| *session), Some(id));
}

/// A pool that no policy leads to any more ends with its last request: that one still goes where it was to go.
#[test]
fn what_was_taken_under_an_old_policy_ends_in_its_own_pool() {
    let (mut core, _) = core(100, &["a-1", "b-1"]);
    let a = core.set_partitions(&[prefix("a-")])[0];
    let id = core.submit(JobRequest { partition: a, ..request(0, 4000.0) }).unwrap();
    commands(&mut core);
    let b = core.set_partitions(&[prefix("b-")])[0];
    assert_eq!(core.partition_count(), 2);
    // Its first dispatch never ran: the next one goes to the same pool, which has no other server, and not to the new one.
    core.on_attempt_ended(id, 0, Outcome::Full, LoadReport::default(), Vec::new());
    let sent: Vec<String> = commands(&mut core)
        .iter()
        .filter_map(|command| match command {
            Command::Send { endpoint: server, .. } => {
                Some(core.endpoints().get(*server).unwrap().name.clone())
            }
            _ => None,
        })
        .collect();
    assert!(sent.iter().all(|name| name == "a-1"), "{sent:?}");
    core.on_client_left(id);
    assert_eq!(core.partition_count(), 1, "gone with its last request");
    assert_eq!(servers_of(&mut core, b, 3), ["b-1"]);
}

/// A change of policy makes new pools: a cold server gets no budget for each.
#[test]
fn a_cold_server_has_one_budget_over_changes_of_policy() {
    let clock = Clock::manual(START);
    let site = Site::parse(net::SETTINGS.as_bytes()).unwrap();
    let mut core = Core::new(site, 1, clock.clone(), 1000);
    let born = (START * 1e3) as u64;
    let line = |name: &str, born| ListedEndpoint {
        name: name.into(),
        address: String::new(),
        endpoint: Endpoint { size: 1.0, started_at: born, ..Endpoint::default() },
    };
    core.on_list(vec![line("a-cold", born), line("b-warm", 0)], ListScope::Complete);
    let mut sent = 0;
    for change in 0..40 {
        // Each time another selector of the same server, so that each is a new pool.
        let heads = vec!["a-".to_string(), format!("x{change}")];
        let pool = core
            .set_partitions(&[EndpointSelector { prefixes: Some(heads), ..EndpointSelector::default() }])[0];
        for _ in 0..2 {
            let _ = core.submit(JobRequest { partition: pool, ..request(1, 4000.0) });
            sent += commands(&mut core).iter().filter(|c| matches!(c, Command::Send { .. })).count();
        }
    }
    // Alone in its part it may be sent a budget's worth at once, and not forty of them.
    assert!(sent <= 4, "{sent} requests to a server that has just started");
}

/// Guards against lines of a long list that are dropped without a word: what the table has no room for is counted.
#[test]
fn lines_beyond_the_table_s_bound_are_counted_and_gone_ones_make_room() {
    let names: Vec<String> = (0..MAX_ENDPOINTS + 3).map(|number| format!("w{number}")).collect();
    let (mut core, _) = core(10, &names.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!((core.endpoints().listed().len(), core.counters().lines_dropped), (MAX_ENDPOINTS, 3));
    assert!(core.counters().to_string().contains("lines_dropped 3\n"));
    let line = |name: &str, state| {
        let member = Endpoint { size: 1.0, status: state, ..Endpoint::default() };
        ListedEndpoint { name: name.into(), address: String::new(), endpoint: member }
    };
    core.on_list(
        vec![line("w0", EndpointStatus::Gone), line("late", EndpointStatus::Ready)],
        ListScope::Changes,
    );
    assert!(core.endpoints().id("late").is_some_and(|id| core.endpoints().get(id).is_some()));
    assert_eq!(core.counters().lines_dropped, 3);
}
