//! The fault layer between processes that speak by datagrams: each pair has two sockets here, and what goes through is
//! delayed, lost, doubled, put out of order or cut, by seed.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, poll};

use crate::http::held;
use crate::{RigError, tried};

/// Longest datagram.
const LONGEST: usize = 65_000;
/// Datagrams that may be under way at once.
const UNDER_WAY: usize = 100_000;

/// Addresses for processes: where clients find them, and where the others do.
pub struct Addresses {
    /// For clients.
    pub clients: Vec<SocketAddr>,
    /// For datagrams.
    pub datagrams: Vec<SocketAddr>,
}

impl Addresses {
    /// Some that were free a moment ago, for the processes to take: on a host address of this run's own, lest others
    /// take them meanwhile.
    ///
    /// # Errors
    /// Where a socket, a thread or a process cannot be had.
    pub fn free(count: usize, seed: u64) -> Result<Addresses, RigError> {
        let pid = std::process::id();
        let own = SocketAddr::from(([127, 100 + (pid >> 8) as u8 % 100, pid as u8, seed as u8], 0));
        let doors = (0..count).map(|_| tried("a stand-in", TcpListener::bind(own)));
        let doors: Vec<TcpListener> = doors.collect::<Result<_, _>>()?;
        let sockets = (0..count).map(|_| tried("a stand-in", UdpSocket::bind(own)));
        let sockets: Vec<UdpSocket> = sockets.collect::<Result<_, _>>()?;
        let clients = doors.iter().map(|door| tried("a stand-in", door.local_addr()));
        let datagrams = sockets.iter().map(|socket| tried("a stand-in", socket.local_addr()));
        Ok(Addresses {
            clients: clients.collect::<Result<_, _>>()?,
            datagrams: datagrams.collect::<Result<_, _>>()?,
        })
    }
}

/// What goes wrong between the processes.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// Links that carry nothing, from one to the other.
    pub cut: BTreeSet<(usize, usize)>,
    /// Datagrams of a thousand that are lost.
    pub lost: u64,
    /// Datagrams of a thousand that come twice.
    pub doubled: u64,
    /// Longest delay, in milliseconds; each datagram has its own, so that some overtake others.
    pub delay_ms: u64,
}

/// A datagram under way: when it is due, its number, its link.
type UnderWay = (std::cmp::Reverse<(Instant, u64)>, usize, usize, Vec<u8>);

/// The layer.
pub struct Datagrams {
    weather: Arc<Mutex<Weather>>,
    over: Arc<AtomicBool>,
    passed: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
    /// Where a process finds another: by its own number and the other's.
    doors: BTreeMap<(usize, usize), SocketAddr>,
}

impl Datagrams {
    /// A layer between processes at these addresses.
    ///
    /// # Errors
    /// Where a socket, a thread or a process cannot be had.
    pub fn start(addresses: &[SocketAddr], seed: u64) -> Result<Datagrams, RigError> {
        let mut sockets = Vec::new();
        let mut doors = BTreeMap::new();
        for from in 0..addresses.len() {
            for to in (0..addresses.len()).filter(|to| *to != from) {
                let socket = tried("a door", UdpSocket::bind("127.0.0.1:0"))?;
                tried("a door", socket.set_nonblocking(true))?;
                doors.insert((from, to), tried("a door", socket.local_addr())?);
                sockets.push((from, to, socket));
            }
        }
        let weather: Arc<Mutex<Weather>> = Arc::default();
        let (over, passed, bytes) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default(), Arc::default());
        let layer = Layer {
            sockets,
            addresses: addresses.to_vec(),
            weather: Arc::clone(&weather),
            over: Arc::clone(&over),
            passed: Arc::clone(&passed),
            bytes: Arc::clone(&bytes),
            draws: fastrand::Rng::with_seed(seed),
        };
        let thread = Some(thread::spawn(move || layer.run()));
        Ok(Datagrams { weather, over, passed, bytes, thread, doors })
    }

    /// Where one process finds another.
    pub fn door(&self, from: usize, to: usize) -> SocketAddr {
        self.doors[&(from, to)]
    }

    /// Changes what goes wrong.
    pub fn change(&self, with: impl FnOnce(&mut Weather)) {
        with(&mut held(&self.weather));
    }

    /// Datagrams that came, and their bytes.
    pub fn passed(&self) -> (u64, u64) {
        (self.passed.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Layer {
    sockets: Vec<(usize, usize, UdpSocket)>,
    addresses: Vec<SocketAddr>,
    weather: Arc<Mutex<Weather>>,
    over: Arc<AtomicBool>,
    passed: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    draws: fastrand::Rng,
}

impl Layer {
    fn run(mut self) {
        let places: BTreeMap<(usize, usize), usize> =
            self.sockets.iter().enumerate().map(|(at, (from, to, _))| ((*from, *to), at)).collect();
        let mut under_way: BinaryHeap<UnderWay> = BinaryHeap::new();
        let mut buffer = vec![0; LONGEST];
        let mut number = 0;
        while !self.over.load(Ordering::Relaxed) {
            let now = Instant::now();
            while under_way.peek().is_some_and(|(due, ..)| due.0.0 <= now) {
                let Some((_, from, to, bytes)) = under_way.pop() else { break };
                // It comes from the door that the receiver knows the sender by.
                if let Some(&at) = places.get(&(to, from)) {
                    let _ = self.sockets[at].2.send_to(&bytes, self.addresses[to]);
                }
            }
            let next =
                under_way.peek().map_or(20, |(due, ..)| due.0.0.duration_since(now).as_millis().min(20));
            let ready: Vec<usize> = {
                let mut polled: Vec<PollFd<'_>> =
                    self.sockets.iter().map(|s| PollFd::new(&s.2, PollFlags::IN)).collect();
                let wait = rustix::time::Timespec { tv_sec: 0, tv_nsec: next as i64 * 1_000_000 + 200_000 };
                let _ = poll(&mut polled, Some(&wait));
                polled
                    .iter()
                    .enumerate()
                    .filter(|(_, fd)| !fd.revents().is_empty())
                    .map(|(at, _)| at)
                    .collect()
            };
            let weather = held(&self.weather).clone();
            for at in ready {
                let (from, to) = (self.sockets[at].0, self.sockets[at].1);
                while let Ok((length, _)) = self.sockets[at].2.recv_from(&mut buffer) {
                    self.passed.fetch_add(1, Ordering::Relaxed);
                    self.bytes.fetch_add(length as u64, Ordering::Relaxed);
                    let lost = weather.cut.contains(&(from, to)) || self.draws.u64(..1000) < weather.lost;
                    let copies = 1 + u64::from(self.draws.u64(..1000) < weather.doubled);
                    for _ in 0..if lost { 0 } else { copies } {
                        number += 1;
                        let delay = Duration::from_millis(self.draws.u64(..weather.delay_ms + 1));
                        if under_way.len() < UNDER_WAY {
                            let due = std::cmp::Reverse((Instant::now() + delay, number));
                            under_way.push((due, from, to, buffer[..length].to_vec()));
                        }
                    }
                }
            }
        }
    }
}
