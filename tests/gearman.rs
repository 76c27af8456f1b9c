//! Integration tests of the Gearman frontend: the program over loopback with scripted clients and workers.

#[path = "common/gear.rs"]
mod gear;
#[path = "common/net.rs"]
mod net;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use gear::*;
use micabeam::frontend::gearman::packets::{kind, request};

/// Guards against a job whose status, data, result or exception does not reach its client, or reaches it twice.
#[test]
fn job_status_data_result_and_exception_reach_the_client() {
    let (_program, address) = gearman("");
    let mut worker = Gear::worker(address, &["confirm"]);
    let mut client = Gear::connect(address);
    client.send(kind::OPTION_REQ, &["exceptions"]);
    client.expect(kind::OPTION_RES);
    let handle = client.submit("confirm", "u1", "site 12");
    worker.send(kind::PRE_SLEEP, &[]);
    worker.expect(kind::NOOP);
    worker.send(kind::GRAB_JOB_UNIQ, &[]);
    assert_eq!(worker.expect(kind::JOB_ASSIGN_UNIQ), [handle.as_str(), "confirm", "u1", "site 12"]);
    worker.send(kind::WORK_STATUS, &[&handle, "1", "2"]);
    assert_eq!(client.expect(kind::WORK_STATUS), [handle.as_str(), "1", "2"]);
    client.send(kind::GET_STATUS, &[&handle]);
    assert_eq!(client.expect(kind::STATUS_RES), [handle.as_str(), "1", "1", "1", "2"]);
    client.send(kind::GET_STATUS_UNIQUE, &["u1"]);
    assert_eq!(client.expect(kind::STATUS_RES_UNIQUE), ["u1", "1", "1", "1", "2", "1"]);
    worker.send(kind::WORK_DATA, &[&handle, "half"]);
    assert_eq!(client.expect(kind::WORK_DATA), [handle.as_str(), "half"]);
    worker.send(kind::WORK_COMPLETE, &[&handle, "booked"]);
    worker.send(kind::WORK_COMPLETE, &[&handle, "again"]);
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), "booked"]);
    // An exception from the worker fails the job, and the `WORK_FAIL` after it is ignored.
    let handle = client.submit("confirm", "u2", "site 13");
    assert_eq!(worker.fetch().unwrap().0, handle);
    worker.send(kind::WORK_EXCEPTION, &[&handle, "no card"]);
    worker.send(kind::WORK_FAIL, &[&handle]);
    assert_eq!(client.expect(kind::WORK_EXCEPTION), [handle.as_str(), "no card"]);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    client.send(kind::ECHO_REQ, &["end"]);
    client.expect(kind::ECHO_RES);
}

/// Guards against a reload that applies an invalid file, ignores a valid one, or loses the job in flight.
#[test]
fn sighup_applies_a_valid_file_and_keeps_the_job_in_flight() {
    let config = |peers: usize| {
        format!(
            r#"{{"listen": "127.0.0.1:0", "settings": {}, "peers": {peers},
                "functions": {{"confirm": {{"class": "confirm-booking"}}}}}}"#,
            net::SETTINGS
        )
    };
    let mut program = net::Program::start(None, Some(&config(2)));
    let address = program.read_address();
    let (mut worker, mut client) = (Gear::worker(address, &["confirm"]), Gear::connect(address));
    let handle = client.submit("confirm", "u1", "site 12");
    assert_eq!(worker.fetch().unwrap().0, handle);
    let invalid = config(3).replace("\"confirm\":", "\"other\":");
    assert!(program.reload(1, &invalid).starts_with("micabeam: the old settings stay in force: "));
    assert!(Gear::connect(address).read().is_none(), "a third peer was accepted");
    assert_eq!(program.reload(1, &config(3)), "micabeam: the configuration was read again\n");
    let mut third = Gear::connect(address);
    third.send(kind::ECHO_REQ, &["here"]);
    third.expect(kind::ECHO_RES);
    worker.send(kind::WORK_COMPLETE, &[&handle, "booked"]);
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), "booked"]);
}

/// Guards against a second run of an unsafe job by its client's resubmission, after a reload made its class safe: its failure was
/// not recorded.
#[test]
fn failure_of_an_unsafe_job_is_recorded_although_a_reload_made_its_class_safe() {
    let config = |settings: &str| {
        format!(
            r#"{{"listen": "127.0.0.1:0", "settings": {settings},
                "functions": {{"confirm": {{"class": "confirm-booking"}}}}}}"#
        )
    };
    let mut program = net::Program::start(None, Some(&config(net::SETTINGS)));
    let address = program.read_address();
    let (mut worker, mut client) = (Gear::worker(address, &["confirm"]), Gear::connect(address));
    let handle = client.submit("confirm", "u1", "site 12");
    assert_eq!(worker.fetch().unwrap().0, handle);
    let reloaded = config(&net::SETTINGS.replace("fragile", "retryable"));
    assert_eq!(program.reload(1, &reloaded), "micabeam: the configuration was read again\n");
    worker.send(kind::WORK_FAIL, &[&handle]);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    assert_eq!(client.submit("confirm", "u1", "site 12"), handle);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
}

/// Guards against connections that stay open although their peers send nothing or an incomplete packet.
#[test]
fn connection_without_a_complete_first_packet_is_closed() {
    let (_program, address) = gearman("");
    let (mut silent, mut incomplete, mut active) =
        (Gear::connect(address), Gear::connect(address), Gear::connect(address));
    incomplete.0.write_all(b"\0REQ\0\0").unwrap();
    active.send(kind::ECHO_REQ, &["here"]);
    active.expect(kind::ECHO_RES);
    assert!(silent.read().is_none() && incomplete.read().is_none());
    active.send(kind::ECHO_REQ, &["still here"]);
    active.expect(kind::ECHO_RES);
}

/// Guards against an unsupported or malformed request that closes its connection or gets no error. A packet that is
/// too large does close it.
#[test]
fn unsupported_request_gets_an_error_and_the_connection_stays_open() {
    let (_program, address) = gearman("");
    let mut client = Gear::connect(address);
    for (number, arguments, code) in [
        (kind::SUBMIT_JOB, vec!["unheard-of", "", ""], "unknown_function"),
        (kind::SUBMIT_JOB, vec!["confirm"], "bad_arguments"),
        (kind::SUBMIT_JOB_BG, vec!["confirm", "", ""], "no_background"),
        (kind::SUBMIT_JOB_HIGH_BG, vec!["confirm", "", ""], "no_background"),
        (kind::SUBMIT_JOB_LOW_BG, vec!["confirm", "", ""], "no_background"),
        (kind::SUBMIT_JOB_EPOCH, vec!["confirm", "", "9", ""], "no_background"),
        (kind::SUBMIT_REDUCE_JOB, vec!["confirm", "", "r", ""], "no_reduce"),
        (kind::CAN_DO, vec!["unheard-of"], "unknown_function"),
        (kind::WORK_STATUS, vec!["H:1"], "bad_arguments"),
        (kind::OPTION_REQ, vec!["unheard-of"], "unknown_option"),
        (99, vec![""], "unknown_packet"),
    ] {
        client.send(number, &arguments);
        assert_eq!(client.expect(kind::ERROR)[0], code, "packet {number}");
    }
    client.0.write_all(b"\0REQ\0\0\0\x07\xff\xff\xff\xff").unwrap();
    assert_eq!(client.expect(kind::ERROR)[0], "too_large");
    assert_eq!(client.read(), None);
    let mut client = Gear::connect(address);
    client.0.write_all(b"\0BAD\0\0\0\x07\0\0\0\0").unwrap();
    assert_eq!(client.expect(kind::ERROR)[0], "bad_magic");
}

/// Guards against a job that is rejected without a retry interval, or whose rejection prevents a retry under the same key.
#[test]
fn job_without_a_free_worker_is_rejected_with_a_retry_interval() {
    let (_program, address) = gearman("");
    let mut client = Gear::connect(address);
    let handle = client.submit("hold", "v1", "");
    let warning = client.expect(kind::WORK_WARNING);
    assert_eq!(warning, [handle.as_str(), "denied retry-after-ms=2000"]);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    // The job never ran, so a retry with the same key is a new job and runs.
    let mut worker = Gear::worker(address, &["hold"]);
    let handle = client.submit("hold", "v1", "");
    assert_eq!(worker.fetch().unwrap().0, handle);
}

/// Guards against a second run by the client's retry: a worker's warning that reads as a denial was relayed although the job had
/// been assigned and must not run again.
#[test]
fn warning_of_a_worker_denies_no_job_that_must_not_run_twice() {
    const DENIAL: &str = "denied retry-after-ms=0";
    let (_program, address) = gearman("");
    let mut client = Gear::connect(address);
    for (function, is_safe) in [("confirm", false), ("search", true)] {
        let mut worker = Gear::worker(address, &[function]);
        let handle = client.submit(function, "", "site 12");
        assert_eq!(worker.fetch().unwrap().0, handle);
        for text in ["denied by the bank", DENIAL] {
            worker.send(kind::WORK_WARNING, &[&handle, text]);
        }
        assert_eq!(client.expect(kind::WORK_WARNING), [handle.as_str(), "denied by the bank"]);
        if is_safe {
            assert_eq!(client.expect(kind::WORK_WARNING), [handle.as_str(), DENIAL]);
            worker.send(kind::WORK_COMPLETE, &[&handle, ""]);
            client.expect(kind::WORK_COMPLETE);
        } else {
            worker.send(kind::WORK_FAIL, &[&handle]);
            assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
        }
    }
}

/// Guards against a job without an end when its worker is silent, and against a second run after its failure.
#[test]
fn job_at_a_silent_worker_fails_at_its_deadline_and_is_not_repeated() {
    let (_program, address) = gearman("");
    let mut worker = Gear::worker(address, &["hold"]);
    let mut client = Gear::connect(address);
    let handle = client.submit("hold", "w1", "");
    assert_eq!(worker.fetch().unwrap().0, handle);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    // The job may have run, so a repeated request is not run but gets the recorded answer.
    let again = client.submit("hold", "w1", "");
    assert_eq!((again.as_str(), client.expect(kind::WORK_FAIL)), (handle.as_str(), vec![handle.clone()]));
    // A late result from the worker replaces the recorded answer.
    worker.send(kind::WORK_COMPLETE, &[&handle, "held"]);
    worker.send(kind::ECHO_REQ, &["read"]);
    worker.expect(kind::ECHO_RES);
    client.submit("hold", "w1", "");
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), "held"]);
}

/// Guards against a second run of an unsafe job whose worker disconnected after it fetched the job, and against a failure of a
/// job that was not fetched or is safe.
#[test]
fn job_of_a_lost_worker_runs_again_only_if_not_fetched_or_safe() {
    let (_program, address) = gearman("");
    let mut first = Gear::worker(address, &["confirm"]);
    let mut client = Gear::connect(address);
    let handle = client.submit("confirm", "x1", "");
    first.send(kind::PRE_SLEEP, &[]);
    first.expect(kind::NOOP);
    drop(first);
    let mut second = Gear::worker(address, &["confirm"]);
    assert_eq!(second.fetch().unwrap().0, handle);
    drop(second);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    let mut third = Gear::worker(address, &["confirm"]);
    client.submit("confirm", "x1", "");
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    // A safe job in the same situation runs again.
    third.send(kind::RESET_ABILITIES, &[]);
    third.can_do(&["search"]);
    let handle = client.submit("search", "x2", "");
    assert_eq!(third.fetch().unwrap().0, handle);
    drop(third);
    let mut fourth = Gear::worker(address, &["search"]);
    assert_eq!(fourth.fetch().unwrap().0, handle);
    fourth.send(kind::WORK_COMPLETE, &[&handle, "free"]);
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), "free"]);
}

/// Guards against a `WORK_FAIL` that belongs to an exception and ends a later attempt at a worker that runs several jobs at once.
#[test]
fn safe_job_does_not_go_back_to_a_worker_that_may_yet_report_its_failure() {
    let (_program, address) = gearman("");
    let (mut worker, mut client) = (Gear::worker(address, &["search"]), Gear::connect(address));
    // Quick jobs shorten the time for which the worker gets no jobs after a failure.
    for number in 0..200 {
        let handle = client.submit("search", &format!("quick-{number}"), "");
        assert_eq!(worker.fetch().unwrap().0, handle);
        worker.send(kind::WORK_COMPLETE, &[&handle, "free"]);
        client.expect(kind::WORK_COMPLETE);
    }
    let handle = client.submit("search", "y1", "");
    assert_eq!(worker.fetch().unwrap().0, handle);
    worker.send(kind::WORK_EXCEPTION, &[&handle, "no connection"]);
    worker.send(kind::PRE_SLEEP, &[]);
    let warning = client.expect(kind::WORK_WARNING);
    assert_eq!(warning, [handle.as_str(), "denied retry-after-ms=2000"]);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    worker.send(kind::WORK_FAIL, &[&handle]);
    worker.send(kind::ECHO_REQ, &["end"]);
    worker.expect(kind::ECHO_RES);
}

/// Guards against a second run of a job whose client reconnects and submits it again.
#[test]
fn client_that_reconnects_gets_the_same_job_or_its_recorded_answer() {
    let (_program, address) = gearman("");
    let mut worker = Gear::worker(address, &["confirm"]);
    let mut client = Gear::connect(address);
    let handle = client.submit("confirm", "y1", "");
    assert_eq!(worker.fetch().unwrap().0, handle);
    drop(client);
    let mut client = Gear::connect(address);
    assert_eq!(client.submit("confirm", "y1", ""), handle);
    worker.send(kind::WORK_COMPLETE, &[&handle, "booked"]);
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), "booked"]);
    let mut client = Gear::connect(address);
    assert_eq!(client.submit("confirm", "y1", ""), handle);
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), "booked"]);
    worker.send(kind::GRAB_JOB, &[]);
    worker.expect(kind::NO_JOB);
}

/// Guards against a job that is assigned to a worker after its `CANT_DO`, or that is lost with it.
#[test]
fn worker_gets_no_jobs_of_a_function_that_it_withdrew() {
    let (_program, address) = gearman("");
    let mut first = Gear::worker(address, &["confirm"]);
    let mut client = Gear::connect(address);
    let handle = client.submit("confirm", "z1", "");
    first.send(kind::CANT_DO, &["confirm"]);
    first.send(kind::GRAB_JOB, &[]);
    first.expect(kind::NO_JOB);
    let mut second = Gear::worker(address, &["confirm"]);
    assert_eq!(second.fetch().unwrap().0, handle);
}

/// Guards against missing or wrong answers to the text commands for administrators.
#[test]
fn admin_commands_are_answered() {
    let (_program, address) = gearman("");
    let mut worker = Gear::connect(address);
    worker.send(kind::SET_CLIENT_ID, &["desk-7"]);
    worker.can_do(&["confirm"]);
    let mut stream = TcpStream::connect(address).unwrap();
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines().map(Result::unwrap);
    stream.write_all(b"version\nstatus\nworkers\nwhat\n").unwrap();
    assert_eq!(lines.next().unwrap(), format!("OK {}", env!("CARGO_PKG_VERSION")));
    let status: Vec<String> = lines.by_ref().take_while(|line| line != ".").collect();
    assert_eq!(status, ["confirm\t0\t0\t1", "hold\t0\t0\t0", "search\t0\t0\t0"]);
    let workers: Vec<String> = lines.by_ref().take_while(|line| line != ".").collect();
    assert!(workers.iter().any(|line| line.ends_with(" 127.0.0.1 desk-7 : confirm")), "{workers:?}");
    assert!(lines.next().unwrap().starts_with("ERR unknown_command"));
}

/// Runs a worker that counts each job in `runs` when it starts it, and at random disconnects before or after that, then
/// reconnects.
fn crashing_worker(address: SocketAddr, seed: u64, runs: &Mutex<HashMap<String, u32>>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        let mut worker = Gear::worker(address, &["confirm"]);
        loop {
            if rng.u8(..) < 25 {
                worker.send(kind::GRAB_JOB, &[]); // disconnects without reading the answer
                break;
            }
            let Some((handle, data)) = worker.fetch() else { return };
            if data == "stop" {
                worker.send(kind::WORK_COMPLETE, &[&handle, ""]);
                return;
            }
            *runs.lock().unwrap().entry(data.clone()).or_default() += 1;
            if rng.u8(..) < 40 {
                break;
            }
            worker.send(kind::WORK_COMPLETE, &[&handle, &data]);
        }
    }
}

/// Guards against an unsafe job that runs twice or gets two answers when its worker or client disconnects at random.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one sequence: clients, workers, their random faults, and the count at the end"
)]
fn unsafe_job_runs_at_most_once_and_gets_one_answer_when_clients_and_workers_disconnect() {
    // MICABEAM_SEED repeats the run of a seed.
    let requested_seed = std::env::var("MICABEAM_SEED").ok().and_then(|seed| seed.parse().ok());
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let seed: u64 = requested_seed.unwrap_or(since_epoch.as_nanos() as u64);
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let (_program, address) = gearman("");
    let runs = Arc::new(Mutex::new(HashMap::new()));
    let workers: Vec<_> = (0..4)
        .map(|at| {
            let runs = Arc::clone(&runs);
            std::thread::spawn(move || crashing_worker(address, seed ^ (at + 1), &runs))
        })
        .collect();
    for at in 0..120 {
        let name = format!("booking-{at}");
        let (mut answer, mut rejections) = (None, 0);
        while answer.is_none() {
            let mut client = Gear::connect(address);
            client.send(kind::SUBMIT_JOB, &["confirm", &name, &name]);
            if rng.u8(..) < 100 {
                continue; // disconnects before it reads an answer, and reconnects
            }
            client.expect(kind::JOB_CREATED);
            if rng.u8(..) < 80 {
                continue;
            }
            match client.read().unwrap() {
                (kind::WORK_COMPLETE, fields) => answer = Some(fields[1].clone()),
                (kind::WORK_WARNING, _) => {
                    client.expect(kind::WORK_FAIL);
                    rejections += 1;
                    assert!(rejections < 100, "{name} was rejected 100 times");
                    continue;
                }
                (kind::WORK_FAIL, _) => answer = Some(Vec::new()),
                other => panic!("{name}: {other:?}"),
            }
            // There must be no second answer: the next packet is the answer to this `ECHO_REQ`.
            client.send(kind::ECHO_REQ, &["next"]);
            client.expect(kind::ECHO_RES);
        }
        let ran = runs.lock().unwrap().get(&name).copied().unwrap_or(0);
        assert!(ran <= 1, "{name} ran {ran} times");
        let answer = answer.unwrap();
        assert!(answer.is_empty() || ran == 1 && answer == name.as_bytes(), "{name}: {answer:?}");
    }
    for at in 0..4 {
        let mut client = Gear::connect(address);
        client.submit("confirm", &format!("stop-{at}"), "stop");
        client.read();
    }
    drop(_program);
    for worker in workers {
        worker.join().unwrap();
    }
    assert!(runs.lock().unwrap().values().all(|&ran| ran == 1));
}

/// Guards against a connection that is closed, or answers that are lost or repeated, when a client reads more slowly than its
/// answers arrive.
#[test]
fn slow_reading_client_gets_every_answer_once() {
    const JOBS: usize = 250;
    let (_program, address) = gearman("");
    let mut client = Gear::connect(address);
    for job in 0..JOBS {
        client.submit("search", &format!("u{job}"), "lake");
    }
    let mut worker = Gear::worker(address, &["search"]);
    // All results together exceed the socket buffers.
    let result = "x".repeat(60_000);
    for _ in 0..JOBS {
        let (handle, _) = worker.fetch().unwrap();
        worker.send(kind::WORK_COMPLETE, &[&handle, &result]);
    }
    worker.send(kind::ECHO_REQ, &["read"]);
    worker.expect(kind::ECHO_RES);
    // The gateway does not read this request until the client has read its answers.
    client.send(kind::ECHO_REQ, &["end"]);
    let answers = (0..JOBS).map(|_| client.expect(kind::WORK_COMPLETE).remove(0));
    assert_eq!(answers.collect::<std::collections::HashSet<_>>().len(), JOBS);
    client.expect(kind::ECHO_RES);
}

/// Guards against jobs without a client and a worker that outlive their deadlines, and against a shutdown that waits for a peer
/// which reads nothing.
#[test]
fn jobs_of_disconnected_clients_end_by_their_deadlines_and_the_shutdown_completes() {
    let (program, address) = gearman("");
    for client in 0..4 {
        let mut connection = Gear::connect(address);
        for job in 0..300 {
            connection.send(kind::SUBMIT_JOB, &["hold", &format!("u{client}-{job}"), "lake"]);
        }
        connection.expect(kind::JOB_CREATED);
    }
    // This client requests more data than the socket buffers hold, and reads none of it.
    let mut non_reading = TcpStream::connect(address).unwrap();
    let echo = request(kind::ECHO_REQ, &["x".repeat(60_000).as_bytes()]);
    let (sent_tx, sent_rx) = std::sync::mpsc::channel();
    let writer = std::thread::spawn(move || {
        for _ in 0..300 {
            let _ = non_reading.write_all(&echo);
            let _ = sent_tx.send(());
        }
    });
    // After this many requests the first ones have been answered.
    sent_rx.iter().take(50).count();
    program.signal("TERM");
    let signalled_at = std::time::Instant::now();
    let (succeeded, log) = program.wait();
    assert!(
        succeeded && signalled_at.elapsed() < std::time::Duration::from_secs(8),
        "{:?}",
        signalled_at.elapsed()
    );
    net::assert_all_ended(&log);
    writer.join().unwrap();
}
