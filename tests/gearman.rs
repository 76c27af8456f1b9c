//! Stories of Gearman's front: the program over loopback among stand-in clients and workers.

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

#[test]
fn a_job_goes_all_the_way_with_what_its_worker_tells() {
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
    // A worker's exception ends the job as failed, and the WORK_FAIL behind it changes nothing.
    let handle = client.submit("confirm", "u2", "site 13");
    assert_eq!(worker.fetch().unwrap().0, handle);
    worker.send(kind::WORK_EXCEPTION, &[&handle, "no card"]);
    worker.send(kind::WORK_FAIL, &[&handle]);
    assert_eq!(client.expect(kind::WORK_EXCEPTION), [handle.as_str(), "no card"]);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    client.send(kind::ECHO_REQ, &["end"]);
    client.expect(kind::ECHO_RES);
}

#[test]
fn sighup_takes_a_file_over_and_keeps_the_job_in_flight() {
    let text = |peers: usize| {
        format!(
            r#"{{"listen": "127.0.0.1:0", "settings": {}, "peers": {peers},
                "functions": {{"confirm": {{"class": "confirm-booking"}}}}}}"#,
            net::SETTINGS
        )
    };
    let mut program = net::Program::start(None, Some(&text(2)));
    let address = program.read_address();
    let (mut worker, mut client) = (Gear::worker(address, &["confirm"]), Gear::connect(address));
    let handle = client.submit("confirm", "u1", "site 12");
    assert_eq!(worker.fetch().unwrap().0, handle);
    let bad = text(3).replace("\"confirm\":", "\"other\":");
    assert!(program.reload(1, &bad).starts_with("micabeam: the old settings stay in force: "));
    assert!(Gear::connect(address).read().is_none(), "a third peer was taken");
    assert_eq!(program.reload(1, &text(3)), "micabeam: the configuration was read again\n");
    let mut third = Gear::connect(address);
    third.send(kind::ECHO_REQ, &["here"]);
    third.expect(kind::ECHO_RES);
    worker.send(kind::WORK_COMPLETE, &[&handle, "booked"]);
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), "booked"]);
}

#[test]
fn a_peer_that_sends_nothing_or_half_a_packet_is_ended() {
    let (_program, address) = gearman("");
    let (mut silent, mut half, mut kept) =
        (Gear::connect(address), Gear::connect(address), Gear::connect(address));
    half.0.write_all(b"\0REQ\0\0").unwrap();
    kept.send(kind::ECHO_REQ, &["here"]);
    kept.expect(kind::ECHO_RES);
    assert!(silent.read().is_none() && half.read().is_none());
    kept.send(kind::ECHO_REQ, &["still here"]);
    kept.expect(kind::ECHO_RES);
}

#[test]
fn what_could_not_be_answered_gets_an_error_and_the_connection_goes_on() {
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

#[test]
fn without_a_free_worker_a_job_is_denied_with_when_to_come_back() {
    let (_program, address) = gearman("");
    let mut client = Gear::connect(address);
    let handle = client.submit("hold", "v1", "");
    let warning = client.expect(kind::WORK_WARNING);
    assert_eq!(warning, [handle.as_str(), "denied retry-after-ms=2000"]);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    // It never ran, so that the same job may be tried again, and then runs.
    let mut worker = Gear::worker(address, &["hold"]);
    let handle = client.submit("hold", "v1", "");
    assert_eq!(worker.fetch().unwrap().0, handle);
}

#[test]
fn a_job_at_a_silent_worker_fails_at_its_class_s_deadline() {
    let (_program, address) = gearman("");
    let mut worker = Gear::worker(address, &["hold"]);
    let mut client = Gear::connect(address);
    let handle = client.submit("hold", "w1", "");
    assert_eq!(worker.fetch().unwrap().0, handle);
    assert_eq!(client.expect(kind::WORK_FAIL), [handle.as_str()]);
    // It may have run: asked for again it is not run again, and the answer is the one on record.
    let again = client.submit("hold", "w1", "");
    assert_eq!((again.as_str(), client.expect(kind::WORK_FAIL)), (handle.as_str(), vec![handle.clone()]));
    // Its worker ends it late: that goes on record.
    worker.send(kind::WORK_COMPLETE, &[&handle, "held"]);
    worker.send(kind::ECHO_REQ, &["read"]);
    worker.expect(kind::ECHO_RES);
    client.submit("hold", "w1", "");
    assert_eq!(client.expect(kind::WORK_COMPLETE), [handle.as_str(), "held"]);
}

#[test]
fn a_worker_that_dies_before_it_fetches_never_ran_the_job_and_after_it_may_have() {
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
    // A safe job in the same place is run again.
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

#[test]
fn a_client_that_comes_back_joins_its_job_or_gets_its_answer() {
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

#[test]
fn a_worker_that_takes_its_ability_back_gets_nothing_more() {
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

#[test]
fn the_lines_of_the_administrator_read() {
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

/// Takes jobs, counts each in `runs` as its work begins, and dies now and then before or after.
fn mortal_worker(address: SocketAddr, seed: u64, runs: &Mutex<HashMap<String, u32>>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        let mut worker = Gear::worker(address, &["confirm"]);
        loop {
            if rng.u8(..) < 25 {
                worker.send(kind::GRAB_JOB, &[]); // dies with what comes of this
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

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one story: three processes, their faults, and the count at the end"
)]
fn whoever_dies_each_confirmation_runs_at_most_once_and_has_one_answer() {
    // MICABEAM_SEED plays a seed again.
    let given = std::env::var("MICABEAM_SEED").ok().and_then(|seed| seed.parse().ok());
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let seed: u64 = given.unwrap_or(clock.as_nanos() as u64);
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let (_program, address) = gearman("");
    let runs = Arc::new(Mutex::new(HashMap::new()));
    let workers: Vec<_> = (0..4)
        .map(|at| {
            let runs = Arc::clone(&runs);
            std::thread::spawn(move || mortal_worker(address, seed ^ (at + 1), &runs))
        })
        .collect();
    for at in 0..120 {
        let name = format!("booking-{at}");
        let (mut answered, mut denials) = (None, 0);
        while answered.is_none() {
            let mut client = Gear::connect(address);
            client.send(kind::SUBMIT_JOB, &["confirm", &name, &name]);
            if rng.u8(..) < 100 {
                continue; // leaves before it hears anything, and comes back
            }
            client.expect(kind::JOB_CREATED);
            if rng.u8(..) < 80 {
                continue;
            }
            match client.read().unwrap() {
                (kind::WORK_COMPLETE, fields) => answered = Some(fields[1].clone()),
                (kind::WORK_WARNING, _) => {
                    client.expect(kind::WORK_FAIL);
                    denials += 1;
                    assert!(denials < 100, "{name} is denied for ever");
                    continue;
                }
                (kind::WORK_FAIL, _) => answered = Some(Vec::new()),
                other => panic!("{name}: {other:?}"),
            }
            // One answer and no second: what comes next is the answer to this.
            client.send(kind::ECHO_REQ, &["next"]);
            client.expect(kind::ECHO_RES);
        }
        let ran = runs.lock().unwrap().get(&name).copied().unwrap_or(0);
        assert!(ran <= 1, "{name} ran {ran} times");
        let answered = answered.unwrap();
        assert!(answered.is_empty() || ran == 1 && answered == name.as_bytes(), "{name}: {answered:?}");
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

/// Guards against a cut for a client that reads more slowly than its answers come: it gets all of them, once each.
#[test]
fn a_client_that_reads_late_gets_every_answer() {
    const JOBS: usize = 250;
    let (_program, address) = gearman("");
    let mut client = Gear::connect(address);
    for job in 0..JOBS {
        client.submit("search", &format!("u{job}"), "lake");
    }
    let mut worker = Gear::worker(address, &["search"]);
    // More in all than the sockets' buffers take.
    let result = "x".repeat(60_000);
    for _ in 0..JOBS {
        let (handle, _) = worker.fetch().unwrap();
        worker.send(kind::WORK_COMPLETE, &[&handle, &result]);
    }
    worker.send(kind::ECHO_REQ, &["read"]);
    worker.expect(kind::ECHO_RES);
    // What it submits now is left unread until it has read.
    client.send(kind::ECHO_REQ, &["end"]);
    let answers = (0..JOBS).map(|_| client.expect(kind::WORK_COMPLETE).remove(0));
    assert_eq!(answers.collect::<std::collections::HashSet<_>>().len(), JOBS);
    client.expect(kind::ECHO_RES);
}

/// Guards the end of sessions that have no client and no worker, and of a program whose peers read nothing.
#[test]
fn a_burst_whose_clients_left_ends_by_its_deadlines_and_so_does_the_program() {
    let (program, address) = gearman("");
    for client in 0..4 {
        let mut client_of = Gear::connect(address);
        for job in 0..300 {
            client_of.send(kind::SUBMIT_JOB, &["hold", &format!("u{client}-{job}"), "lake"]);
        }
        client_of.expect(kind::JOB_CREATED);
    }
    // It asks for more than the sockets' buffers take and reads nothing of it.
    let mut deaf = TcpStream::connect(address).unwrap();
    let echo = request(kind::ECHO_REQ, &["x".repeat(60_000).as_bytes()]);
    let (begins, begun) = std::sync::mpsc::channel();
    let writer = std::thread::spawn(move || {
        for _ in 0..300 {
            let _ = deaf.write_all(&echo);
            let _ = begins.send(());
        }
    });
    // Once so many are sent the first are answered.
    begun.iter().take(50).count();
    program.signal("TERM");
    let begun = std::time::Instant::now();
    let (well, text) = program.wait();
    assert!(well && begun.elapsed() < std::time::Duration::from_secs(8), "{:?}", begun.elapsed());
    net::assert_all_ended(&text);
    writer.join().unwrap();
}
