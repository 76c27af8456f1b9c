//! Tests of voters over a simulated network that delays, drops and partitions by a seeded random generator,
//! with disks that lose unsynced writes.

mod agreement;
mod heartbeat;
mod stored_votes;

use std::collections::{BTreeMap, BTreeSet};

use super::vote_file;
use super::{Consensus, ConsensusConfig, DecisionRef, OutgoingMessage, VoterId, Write};

const TOPIC: u8 = 1;
/// Length of a tick in milliseconds.
const TICK_MS: f64 = 50.0;

/// Simulated voters, their disks, and the messages between them.
struct SimulatedNetwork {
    voters: u64,
    replicas: BTreeMap<VoterId, Consensus>,
    disks: BTreeMap<VoterId, Vec<u8>>,
    /// Messages with the tick of their arrival, in order on each link: (arrival tick, sender, receiver,
    /// bytes).
    in_transit: Vec<(u64, VoterId, VoterId, Vec<u8>)>,
    last_arrival: BTreeMap<(VoterId, VoterId), u64>,
    cut_links: BTreeSet<(VoterId, VoterId)>,
    random: fastrand::Rng,
    loss: f64,
    /// Flips a bit in one message of ten. Agreement is not checked then.
    corrupts_messages: bool,
    tick: u64,
    starts: u64,
    /// The decision of each epoch, as first read at any voter.
    decided: BTreeMap<u64, Vec<u8>>,
    /// The newest epoch that each voter has known.
    known: BTreeMap<VoterId, u64>,
}

impl SimulatedNetwork {
    fn new(voters: u64, seed: u64) -> SimulatedNetwork {
        let mut net = SimulatedNetwork {
            voters,
            replicas: BTreeMap::new(),
            disks: BTreeMap::new(),
            in_transit: Vec::new(),
            last_arrival: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            random: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            corrupts_messages: false,
            tick: 0,
            starts: 0,
            decided: BTreeMap::new(),
            known: BTreeMap::new(),
        };
        (1..=voters).for_each(|voter| net.start(voter));
        net
    }

    fn start(&mut self, own: VoterId) {
        self.starts += 1;
        let config =
            ConsensusConfig { voter_id: own, voter_count: self.voters, generation: 1, nonce: self.starts };
        let persisted = self
            .disks
            .get(&own)
            .map(|bytes| vote_file::read(bytes, 1).unwrap().persisted)
            .unwrap_or_default();
        self.replicas.insert(own, Consensus::new(config, persisted, self.tick as f64 * TICK_MS).unwrap());
        // A restarted process knows at least what is on its disk.
        self.known.remove(&own);
    }

    fn kill(&mut self, voter: VoterId) {
        self.replicas.remove(&voter);
        self.in_transit.retain(|m| m.1 != voter && m.2 != voter);
    }

    /// Cuts all links between different groups in both directions.
    fn split(&mut self, groups: &[&[VoterId]]) {
        self.cut_links.clear();
        for (at, one) in groups.iter().enumerate() {
            for other in groups.iter().enumerate().filter(|g| g.0 != at).flat_map(|g| g.1.iter()) {
                self.cut_links.extend(one.iter().map(|voter| (*voter, *other)));
            }
        }
    }

    fn step(&mut self) {
        self.tick += 1;
        let ids: Vec<VoterId> = self.replicas.keys().copied().collect();
        let clock = self.tick as f64 * TICK_MS;
        ids.iter().for_each(|id| self.replicas.get_mut(id).unwrap().tick(clock));
        let now = self.tick;
        let mut due: Vec<_> = self.in_transit.extract_if(.., |m| m.0 <= now).collect();
        due.sort_by_key(|m| m.0);
        for (_, from, to, mut bytes) in due {
            if let Some(consensus) = self.replicas.get_mut(&to) {
                if self.corrupts_messages {
                    if self.random.u8(..10) == 0 && !bytes.is_empty() {
                        let at = self.random.usize(..bytes.len());
                        bytes[at] ^= 1 << self.random.u8(..8);
                    }
                    let _ = consensus.receive(clock, from, &bytes);
                    continue;
                }
                assert_eq!(
                    consensus.receive(clock, from, &bytes),
                    Ok(()),
                    "voters accept each other's messages"
                );
            }
        }
        ids.iter().for_each(|id| self.flush(*id));
        for (id, consensus) in self.replicas.iter().filter(|_| !self.corrupts_messages) {
            let DecisionRef { epoch, body, .. } = consensus.decided().newest(TOPIC);
            let known = self.known.entry(*id).or_default();
            assert!(epoch >= *known, "voter {id} went back from epoch {known} to {epoch}");
            *known = epoch;
            if epoch > 0 {
                let first = self.decided.entry(epoch).or_insert_with(|| body.to_vec());
                assert_eq!(first, body, "two decisions of epoch {epoch}");
            }
        }
    }

    /// Carries out a voter's next batch: writes it to the disk and puts its messages in transit.
    fn flush(&mut self, id: VoterId) {
        let Some(batch) = self.replicas.get_mut(&id).and_then(Consensus::take_batch) else { return };
        match batch.write {
            Write::Nothing => {}
            Write::Append(bytes) => self.disks.entry(id).or_default().extend(bytes),
            Write::Replace(bytes) => drop(self.disks.insert(id, bytes)),
        }
        for OutgoingMessage { to, bytes } in batch.messages {
            if self.cut_links.contains(&(id, to)) || self.random.f64() < self.loss {
                continue;
            }
            let last = self.last_arrival.entry((id, to)).or_default();
            // One message in ten is delayed by more than one tick.
            let delay = if self.random.u8(..10) == 0 { self.random.u64(2..6) } else { 1 };
            *last = (*last).max(self.tick + delay);
            self.in_transit.push((*last, id, to, bytes));
        }
    }

    /// Lets every voter propose; only a leader's proposal is accepted.
    fn propose(&mut self) {
        for consensus in self.replicas.values_mut() {
            let based = consensus.decided().newest(TOPIC).epoch;
            let body = vec![self.random.u8(..), consensus.config.voter_id as u8];
            consensus.propose(TOPIC, based, body);
        }
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.step();
            if self.tick.is_multiple_of(5) {
                self.propose();
            }
        }
    }

    fn epoch(&self) -> u64 {
        self.decided.keys().max().copied().unwrap_or(0)
    }

    fn newest_epoch_of(&self, voter: VoterId) -> u64 {
        self.replicas[&voter].decided().newest(TOPIC).epoch
    }

    /// Runs the network for `ticks` ticks and returns the number of epochs decided in them.
    fn epochs_decided_in(&mut self, ticks: u64) -> u64 {
        let before = self.epoch();
        self.run(ticks);
        self.epoch() - before
    }
}

/// Runs a random sequence of faults chosen by `seed`, and checks that the fleet decides again once healed.
fn run_with_faults(voters: u64, seed: u64) {
    let mut net = SimulatedNetwork::new(voters, seed);
    net.run(60);
    for _ in 0..12 {
        let voter = net.random.u64(1..=voters);
        match net.random.u8(..8) {
            0 => net.kill(voter),
            1 if !net.replicas.contains_key(&voter) => net.start(voter),
            2 if net.replicas.values().all(Consensus::is_voting)
                && (1..=voters).all(|v| net.disks.contains_key(&v)) =>
            {
                // A voter loses its vote file while all other voters have theirs.
                net.kill(voter);
                net.disks.remove(&voter);
                net.start(voter);
            }
            3 => {
                // An incomplete write at the end: a batch that was written but not synced has had no messages
                // sent for it.
                net.kill(voter);
                if let Some(disk) = net.disks.get_mut(&voter) {
                    disk.extend([1, 2, 3]);
                }
                net.start(voter);
            }
            4 => {
                let cut: Vec<_> = (0..net.random.usize(1..8))
                    .map(|_| (net.random.u64(1..=voters), net.random.u64(1..=voters)))
                    .collect();
                net.cut_links.extend(cut);
            }
            5 => net.cut_links.clear(),
            6 => net.loss = 0.3,
            _ => net.loss = 0.0,
        }
        let ticks = net.random.u64(1..60);
        net.run(ticks);
    }
    net.cut_links.clear();
    net.loss = 0.0;
    for voter in 1..=voters {
        if !net.replicas.contains_key(&voter) {
            net.start(voter);
        }
    }
    net.run(100);
    let known = net.epoch();
    net.run(200);
    assert!(net.epoch() > known, "no decision after the network healed");
}
