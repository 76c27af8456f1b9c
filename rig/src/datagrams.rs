//! A proxy between processes that exchange datagrams, which delays, loses, duplicates and reorders them or
//! cuts links.
//!
//! Each process sends to another through a proxy socket of that link, so each pair has two sockets here. A
//! seed decides which datagrams are affected.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, poll};

use crate::http::lock;
use crate::{RigError, io_context};

/// Longest datagram that is passed on whole, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_000;
/// Most datagrams that may be delayed at once; further ones are dropped.
const MAX_IN_FLIGHT: usize = 100_000;

/// Listening addresses of the processes of a run, by process.
pub struct Addresses {
    /// Addresses for clients (TCP).
    pub clients: Vec<SocketAddr>,
    /// Addresses for datagrams of the other processes (UDP).
    pub datagrams: Vec<SocketAddr>,
}

impl Addresses {
    /// Finds free ports for the processes by binding and closing them. The loopback IP address comes from
    /// this process's id and the seed, so that other runs on this machine don't take the ports before the
    /// processes bind them.
    ///
    /// # Errors
    /// Returns an error if a socket cannot be bound.
    pub fn find_free(count: usize, seed: u64) -> Result<Addresses, RigError> {
        let pid = std::process::id();
        let host = SocketAddr::from(([127, 100 + (pid >> 8) as u8 % 100, pid as u8, seed as u8], 0));
        let listeners = (0..count).map(|_| io_context("find a free address", TcpListener::bind(host)));
        let listeners: Vec<TcpListener> = listeners.collect::<Result<_, _>>()?;
        let sockets = (0..count).map(|_| io_context("find a free address", UdpSocket::bind(host)));
        let sockets: Vec<UdpSocket> = sockets.collect::<Result<_, _>>()?;
        let clients =
            listeners.iter().map(|listener| io_context("find a free address", listener.local_addr()));
        let datagrams = sockets.iter().map(|socket| io_context("find a free address", socket.local_addr()));
        Ok(Addresses {
            clients: clients.collect::<Result<_, _>>()?,
            datagrams: datagrams.collect::<Result<_, _>>()?,
        })
    }
}

/// Faults of the links between the processes.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    /// Links on which nothing passes, as (sender, receiver).
    pub cut: BTreeSet<(usize, usize)>,
    /// Number of datagrams in a thousand that are lost.
    pub lost_per_1000: u64,
    /// Number of datagrams in a thousand that are delivered twice.
    pub duplicated_per_1000: u64,
    /// Longest delay in milliseconds. Each datagram is delayed by a random time up to it, so that some
    /// overtake others.
    pub max_delay_ms: u64,
}

/// A delayed datagram: its due time and number (reversed, for a min-heap), sender, receiver and bytes.
type InFlight = (std::cmp::Reverse<(Instant, u64)>, usize, usize, Vec<u8>);

/// A running proxy, stopped on drop.
pub struct DatagramProxy {
    faults: Arc<Mutex<LinkFaults>>,
    stopping: Arc<AtomicBool>,
    received: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
    /// Addresses of the proxy sockets, by (sender, receiver).
    proxy_addresses: BTreeMap<(usize, usize), SocketAddr>,
}

impl DatagramProxy {
    /// Starts a proxy between the processes at these addresses, without faults.
    ///
    /// # Errors
    /// Returns an error if a proxy socket cannot be opened.
    pub fn start(addresses: &[SocketAddr], seed: u64) -> Result<DatagramProxy, RigError> {
        let mut sockets = Vec::new();
        let mut proxy_addresses = BTreeMap::new();
        for from in 0..addresses.len() {
            for to in (0..addresses.len()).filter(|to| *to != from) {
                let socket = io_context("proxy socket", UdpSocket::bind("127.0.0.1:0"))?;
                io_context("proxy socket", socket.set_nonblocking(true))?;
                proxy_addresses.insert((from, to), io_context("proxy socket", socket.local_addr())?);
                sockets.push((from, to, socket));
            }
        }
        let faults: Arc<Mutex<LinkFaults>> = Arc::default();
        let (stopping, received, bytes) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default(), Arc::default());
        let proxy = ProxyLoop {
            sockets,
            addresses: addresses.to_vec(),
            faults: Arc::clone(&faults),
            stopping: Arc::clone(&stopping),
            received: Arc::clone(&received),
            bytes: Arc::clone(&bytes),
            rng: fastrand::Rng::with_seed(seed),
        };
        let thread = Some(thread::spawn(move || proxy.run()));
        Ok(DatagramProxy { faults, stopping, received, bytes, thread, proxy_addresses })
    }

    /// Returns the address at which the process `from` reaches the process `to`.
    pub fn proxy_address(&self, from: usize, to: usize) -> SocketAddr {
        self.proxy_addresses[&(from, to)]
    }

    /// Changes the faults of the links.
    pub fn set_faults(&self, update: impl FnOnce(&mut LinkFaults)) {
        update(&mut lock(&self.faults));
    }

    /// Returns the number of datagrams that processes have sent, and of their bytes, those that were lost
    /// included.
    pub fn received(&self) -> (u64, u64) {
        (self.received.load(Ordering::Relaxed), self.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for DatagramProxy {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The state of the proxy's thread.
struct ProxyLoop {
    sockets: Vec<(usize, usize, UdpSocket)>,
    addresses: Vec<SocketAddr>,
    faults: Arc<Mutex<LinkFaults>>,
    stopping: Arc<AtomicBool>,
    received: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    rng: fastrand::Rng,
}

impl ProxyLoop {
    fn run(mut self) {
        let socket_of_link: BTreeMap<(usize, usize), usize> =
            self.sockets.iter().enumerate().map(|(at, (from, to, _))| ((*from, *to), at)).collect();
        let mut in_flight: BinaryHeap<InFlight> = BinaryHeap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut number = 0;
        while !self.stopping.load(Ordering::Relaxed) {
            let now = Instant::now();
            while in_flight.peek().is_some_and(|(due, ..)| due.0.0 <= now) {
                let Some((_, from, to, bytes)) = in_flight.pop() else { break };
                // Sent from the socket at whose address the receiver expects the sender.
                if let Some(&at) = socket_of_link.get(&(to, from)) {
                    let _ = self.sockets[at].2.send_to(&bytes, self.addresses[to]);
                }
            }
            let next =
                in_flight.peek().map_or(20, |(due, ..)| due.0.0.duration_since(now).as_millis().min(20));
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
            let faults = lock(&self.faults).clone();
            for at in ready {
                let (from, to) = (self.sockets[at].0, self.sockets[at].1);
                while let Ok((length, _)) = self.sockets[at].2.recv_from(&mut buffer) {
                    self.received.fetch_add(1, Ordering::Relaxed);
                    self.bytes.fetch_add(length as u64, Ordering::Relaxed);
                    let lost =
                        faults.cut.contains(&(from, to)) || self.rng.u64(..1000) < faults.lost_per_1000;
                    let copies = 1 + u64::from(self.rng.u64(..1000) < faults.duplicated_per_1000);
                    for _ in 0..if lost { 0 } else { copies } {
                        number += 1;
                        let delay = Duration::from_millis(self.rng.u64(..faults.max_delay_ms + 1));
                        if in_flight.len() < MAX_IN_FLIGHT {
                            let due = std::cmp::Reverse((Instant::now() + delay, number));
                            in_flight.push((due, from, to, buffer[..length].to_vec()));
                        }
                    }
                }
            }
        }
    }
}
