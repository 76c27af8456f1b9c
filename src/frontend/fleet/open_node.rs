//! A member while its process holds the fleet's address: the socket, the control plane that is driven by its datagrams, and
//! the voter's file. It carries out what the control plane wants sent and written; what concerns the frontends it gives back.

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

/// Datagrams read before other events of the loop have their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 512;
/// Writes that may wait for the thread that writes; a disk that is further behind has failed.
const MAX_WAITING_WRITES: usize = 1024;

/// Why a member cannot open although its address is free.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    /// The voter's file does not read.
    #[error(transparent)]
    VoteLog(#[from] VoteLogError),
    /// The consensus refuses its settings.
    #[error(transparent)]
    Consensus(#[from] ConsensusError),
    /// The stored policies do not read.
    #[error("{dir}: {cause}")]
    PolicyStore {
        /// Their directory.
        dir: String,
        /// Why.
        cause: io::Error,
    },
    /// A source could not be added to the event loop.
    #[error("{0}")]
    EventLoop(calloop::Error),
    /// The thread that writes the voter's file could not be started.
    #[error("fleet: {0}")]
    Thread(io::Error),
}

/// Datagrams that came to nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DatagramDrops {
    /// From addresses that no member has.
    pub strangers: u64,
    /// That the system did not send.
    pub unsent: u64,
}

/// An effect that the frontends or operators are to see.
pub(super) enum NodeOutput {
    /// What each zone may get has changed.
    View(zones::ZoneView),
    /// A decision on zones was read.
    ZonesDecided(zones::TableChange),
    /// Something is to be done with the policy.
    Rollout(rollout::Effect),
}

/// A member that holds its address.
pub(super) struct OpenNode {
    socket: Rc<UdpSocket>,
    pub(super) control_plane: ControlPlane,
    vote_log: Option<VoteLog>,
    /// Writes that the writing thread had no room for yet.
    waiting_writes: VecDeque<Write>,
    /// Room for a datagram; a byte more than the longest, so that a longer one is seen.
    buffer: Vec<u8>,
}

/// Binds the fleet's address.
///
/// # Errors
/// Where another process holds it, or the system refuses it.
pub(super) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
    socket.bind(&address.into())?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

impl OpenNode {
    /// Opens a member on its socket. The voter's file is read only now: the process that held the address may have voted
    /// until then.
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
        Ok(OpenNode { socket, control_plane, vote_log, waiting_writes: VecDeque::new(), buffer })
    }

    /// Reads datagrams that have come, and hands them to the control plane; `member` names the sender by its address.
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
                        drops.strangers += 1;
                        continue;
                    };
                    // What cannot be taken is counted by the node.
                    let _ = self.control_plane.receive(now_ms, member, &self.buffer[..length]);
                }
                // A datagram that found nobody comes back as an error of the socket.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => {}
                Err(_) => return,
            }
        }
    }

    /// A write has been done, or cannot be done any more: then the voter votes no more.
    pub(super) fn on_written(&mut self, now_ms: f64, result: WriteResult) {
        self.control_plane.on_written(now_ms, result == WriteResult::Done);
        if result == WriteResult::Failed {
            self.waiting_writes.clear();
            self.vote_log = None;
        }
    }

    /// Sends and writes what the control plane wants sent and written, and gives what else it wants.
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
                    drops.unsent += u64::from(self.socket.send_to(&bytes, address).is_err());
                }
                Effect::Node(fleet::Effect::Write(write)) => {
                    if self.waiting_writes.len() < MAX_WAITING_WRITES {
                        self.waiting_writes.push_back(write);
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

    /// Hands waiting writes to the thread that writes, as far as it has room for them.
    pub(super) fn flush_writes(&mut self) {
        while let (Some(vote_log), Some(write)) = (&self.vote_log, self.waiting_writes.pop_front()) {
            if !vote_log.write(write.clone()) {
                self.waiting_writes.push_front(write);
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

/// Hands the policies that are stored here to the node, which other members may ask for them.
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
