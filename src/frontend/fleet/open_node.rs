//! A member whose process holds the fleet's address: the socket, the control plane that is driven by its
//! datagrams, and the vote file. It carries out the sends and writes of the control plane, and returns the
//! effects that concern the frontends.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use calloop::channel;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use socket2::{Domain, Socket, Type};
use thiserror::Error;

use super::config::Config;
use super::fleet_loop::FleetLoop;
use super::policy_store;
use super::vote_log::{self, VoteLog, VoteLogError, WriteResult};
use crate::consensus::{ConsensusError, Write};
use crate::control_plane::{ControlPlane, ControlPlaneConfig, Effect};
use crate::fleet::{self, MAX_FRAME_BYTES, MemberId};
use crate::rollout;
use crate::zones;

/// Maximum number of datagrams read before other events of the loop are processed.
const MAX_DATAGRAMS_PER_TURN: usize = 512;
/// Maximum number of writes queued for the writer thread. A disk that falls further behind counts as failed.
const MAX_QUEUED_WRITES: usize = 1024;

/// The reason a member cannot open although its address is free.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    /// The vote file cannot be read.
    #[error(transparent)]
    VoteLog(#[from] VoteLogError),
    /// The consensus configuration is invalid.
    #[error(transparent)]
    Consensus(#[from] ConsensusError),
    /// The stored policies cannot be read.
    #[error("{dir}: {cause}")]
    PolicyStore {
        /// The directory of the stored policies.
        dir: String,
        /// The cause.
        cause: io::Error,
    },
    /// An event source could not be added to the event loop.
    #[error("{0}")]
    EventLoop(calloop::Error),
    /// The thread that writes the vote file could not be started.
    #[error("fleet: cannot start the vote file's writer thread: {0}")]
    Thread(io::Error),
}

/// Counts of datagrams that were not received or not sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DatagramDrops {
    /// Datagrams received from addresses that belong to no member.
    pub unknown_senders: u64,
    /// Datagrams that the system failed to send.
    pub send_errors: u64,
}

/// An effect that concerns the frontends or operators.
pub(super) enum NodeOutput {
    /// The traffic shares of the zones have changed.
    View(zones::ZoneView),
    /// A decision on zones was applied.
    ZonesDecided(zones::TableChange),
    /// An effect of the rollout participant.
    Rollout(rollout::Effect),
}

/// A member that holds its address.
pub(super) struct OpenNode {
    socket: Rc<UdpSocket>,
    pub(super) control_plane: ControlPlane,
    vote_log: Option<VoteLog>,
    /// Writes that the writer thread's full queue has not accepted yet.
    queued_writes: VecDeque<Write>,
    /// Receive buffer: one byte longer than the longest frame, so that a longer datagram is detected.
    buffer: Vec<u8>,
}

/// Binds the fleet's address.
///
/// # Errors
/// If another process holds the address, or the system refuses to bind it.
pub(super) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
    socket.bind(&address.into())?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

impl OpenNode {
    /// Opens a member on its socket. The vote file is read only now, since the process that held the address
    /// before may have voted until then.
    pub(super) fn open(
        config: &Config,
        handle: &LoopHandle<'static, FleetLoop>,
        socket: UdpSocket,
        now_ms: f64,
    ) -> Result<OpenNode, OpenError> {
        let persisted = match &config.state {
            Some(path) => vote_log::read(path, config.generation)?,
            None => None,
        };
        let mut control_plane = ControlPlane::new(control_plane_config(config, now_ms), persisted, now_ms)?;
        restore_policies(config, &mut control_plane, now_ms)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let added = handle.insert_source(source, |_, _, fleet_loop: &mut FleetLoop| {
            fleet_loop.on_datagrams();
            Ok(PostAction::Continue)
        });
        added.map_err(|e| OpenError::EventLoop(e.error))?;
        let vote_log = match config.state.clone().filter(|_| config.members[config.own].is_voter) {
            Some(path) => Some(start_vote_log(path, handle)?),
            None => None,
        };
        let buffer = vec![0; MAX_FRAME_BYTES + 1];
        Ok(OpenNode { socket, control_plane, vote_log, queued_writes: VecDeque::new(), buffer })
    }

    /// Reads pending datagrams and passes them to the control plane. `member` maps a sender's address to its
    /// member.
    pub(super) fn read_datagrams(
        &mut self,
        now_ms: impl Fn() -> f64,
        member: impl Fn(&SocketAddr) -> Option<MemberId>,
        drops: &mut DatagramDrops,
    ) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((length, from)) => {
                    let now_ms = now_ms();
                    let Some(member) = member(&from) else {
                        drops.unknown_senders += 1;
                        continue;
                    };
                    // The node counts frames that it rejects.
                    let _ = self.control_plane.receive(now_ms, member, &self.buffer[..length]);
                }
                // The socket reports an earlier datagram that nobody received as an error.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => {}
                Err(_) => return,
            }
        }
    }

    /// Handles the result of a write. After a failure this member no longer votes.
    pub(super) fn on_written(&mut self, now_ms: f64, result: WriteResult) {
        self.control_plane.on_written(now_ms, result == WriteResult::Done);
        if result == WriteResult::Failed {
            self.queued_writes.clear();
            self.vote_log = None;
        }
    }

    /// Carries out the sends and writes of the control plane, and returns its other effects.
    pub(super) fn carry_out(
        &mut self,
        now_ms: impl Fn() -> f64,
        addresses: &[SocketAddr],
        drops: &mut DatagramDrops,
    ) -> Vec<NodeOutput> {
        let mut outputs = Vec::new();
        for effect in self.control_plane.take_effects() {
            match effect {
                Effect::Node(fleet::Effect::Send { to, bytes }) => {
                    let address = addresses[usize::from(to)];
                    drops.send_errors += u64::from(self.socket.send_to(&bytes, address).is_err());
                }
                Effect::Node(fleet::Effect::Write(write)) => {
                    if self.queued_writes.len() < MAX_QUEUED_WRITES {
                        self.queued_writes.push_back(write);
                    } else {
                        self.control_plane.on_written(now_ms(), false);
                    }
                }
                Effect::Zones(zones::Effect::View(view)) => outputs.push(NodeOutput::View(view)),
                Effect::Zones(zones::Effect::Decided(change)) => {
                    outputs.push(NodeOutput::ZonesDecided(change));
                }
                Effect::Rollout(effect) => outputs.push(NodeOutput::Rollout(effect)),
            }
        }
        outputs
    }

    /// Passes queued writes to the writer thread until its queue is full.
    pub(super) fn flush_writes(&mut self) {
        while let (Some(vote_log), Some(write)) = (&self.vote_log, self.queued_writes.pop_front()) {
            if !vote_log.write(write.clone()) {
                self.queued_writes.push_front(write);
                break;
            }
        }
    }
}

fn control_plane_config(config: &Config, now_ms: f64) -> ControlPlaneConfig {
    let fleet = fleet::NodeConfig {
        cluster: config.cluster.clone(),
        generation: config.generation,
        members: config.members.clone(),
        member_id: config.own as MemberId,
        incarnation: now_ms as u64,
        seed: now_ms as u64 ^ (config.own as u64) << 48,
    };
    let agreed = config.rollout.as_ref().filter(|rollout| rollout.agreed);
    ControlPlaneConfig {
        fleet,
        zones: config.zones.len(),
        failover: config.failover,
        rollout: agreed.map(|rollout| rollout.settings),
    }
}

/// Passes the policies stored on disk to the node, so that other members can request them.
fn restore_policies(config: &Config, control_plane: &mut ControlPlane, now_ms: f64) -> Result<(), OpenError> {
    let Some(rollout) = config.rollout.as_ref().filter(|rollout| rollout.agreed) else { return Ok(()) };
    let stored = policy_store::read(&rollout.keep).map_err(|cause| {
        let dir = rollout.keep.display().to_string();
        OpenError::PolicyStore { dir, cause }
    })?;
    for document in stored {
        control_plane.with_participant(now_ms, |_, node| node.store_document(&document));
    }
    Ok(())
}

fn start_vote_log(
    path: std::path::PathBuf,
    handle: &LoopHandle<'static, FleetLoop>,
) -> Result<VoteLog, OpenError> {
    let (vote_log, results) = VoteLog::start(path).map_err(OpenError::Thread)?;
    let added = handle.insert_source(results, |event, (), fleet_loop: &mut FleetLoop| {
        if let channel::Event::Msg(result) = event {
            fleet_loop.on_written(result);
        }
    });
    added.map_err(|e| OpenError::EventLoop(e.error))?;
    Ok(vote_log)
}
