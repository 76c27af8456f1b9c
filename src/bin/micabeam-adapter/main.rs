//! Hosts dispatchers on the simulator's wire, over standard input and output. It decides nothing: frames and
//! settings are turned into the library's events, and its actions back into frames.
#![forbid(unsafe_code)]

mod frame;

use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

use frame::{Reader, Writer};
use micabeam::routing::Router;
use micabeam::routing::{
    Action, AttemptEnd, Endpoint, EndpointId, EndpointStatus, Event, Job, JobId, LoadReport, Micros, Outcome,
};
use micabeam::settings::Site;

/// Lists are numbered from 0 to one less than this.
const LISTS: usize = 16;

/// One dispatcher and what the adapter needs to read its events.
struct Instance {
    dispatcher: Router,
    site: Site,
}

/// All that one process holds: dispatchers, which share nothing, and the lists that events refer to.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: [Option<Vec<Endpoint>>; LISTS],
    actions: Vec<Action>,
}

fn main() -> ExitCode {
    match run(&mut BufReader::with_capacity(1 << 16, io::stdin().lock()), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("micabeam-adapter: {message}");
            ExitCode::from(2)
        }
    }
}

/// Answers batches until the input ends cleanly.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut batch = Vec::new();
    let mut reply = Writer::default();
    let mut number = 0u64;
    while let Some(now) = frame::read_batch(input, &mut batch).map_err(|e| format!("batch {number}: {e}"))? {
        reply.clear();
        host.batch(now, &batch, &mut reply).map_err(|e| format!("batch {number}: {e}"))?;
        output
            .write_all(reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| format!("batch {number}: cannot write the reply: {e}"))?;
        number += 1;
    }
    Ok(())
}

impl Host {
    /// Plays all events of a batch in order and writes what the dispatchers answer.
    fn batch(&mut self, now: Micros, batch: &[u8], reply: &mut Writer) -> Result<(), String> {
        let mut records = Reader::new(batch);
        while !records.is_empty() {
            let at = records.position();
            let code = records.u8()?;
            let played = records.counted32().and_then(|mut fields| self.event(now, code, &mut fields, reply));
            played.map_err(|e| format!("record at byte {at} (code {code}): {e}"))?;
        }
        Ok(())
    }

    fn event(&mut self, now: Micros, code: u8, r: &mut Reader, reply: &mut Writer) -> Result<(), String> {
        if code == 11 {
            return self.list(r);
        }
        let id = r.u32()?;
        match code {
            1 => return self.start(id, r),
            10 => {
                self.instances.remove(&id);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&id) else {
            return Ok(()); // not running: nothing can be owed for it
        };
        let event = match code {
            2 => list_event(r, &self.lists)?,
            3 => Event::Job(job(r)?),
            4 => Event::Streaming(JobId(r.u64()?)),
            5 => Event::Ended(attempt_end(r, &instance.site)?),
            6 => Event::ClientLeft(JobId(r.u64()?)),
            7 => Event::Wake,
            8 => Event::Probed {
                endpoint: worker(r)?,
                answered: r.u16()? == 0,
                latency: r.u32()?.into(),
                report: report(r, &instance.site)?,
            },
            12 => {
                let job = JobId(r.u64()?);
                let attempt = usize::from(r.u16()?);
                let _worker = worker(r)?;
                match r.u8()? {
                    1 => Event::Started { job, attempt },
                    _ => return Ok(()), // how far a job has got decides nothing
                }
            }
            _ => return Ok(()), // 9, a peer's message, which this design has no use for, and later additions
        };
        instance.dispatcher.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write(reply, id, now, &action);
        }
        Ok(())
    }

    /// Starts a dispatcher; one of the same number is replaced.
    fn start(&mut self, id: u32, r: &mut Reader) -> Result<(), String> {
        let seed = r.u64()?;
        let length = r.u32()? as usize;
        let site = Site::parse(r.bytes(length)?).map_err(|e| e.to_string())?;
        let dispatcher = Router::new(site.settings.clone(), seed);
        self.instances.insert(id, Instance { dispatcher, site });
        Ok(())
    }

    fn list(&mut self, r: &mut Reader) -> Result<(), String> {
        let number = usize::from(r.u16()?);
        let count = r.u32()?;
        // Lines are read one by one, so that a count past the record cannot make room for more than it holds.
        let mut members = Vec::new();
        for line in 0..count {
            members.push(member(r).map_err(|e| format!("line {line} of {count}: {e}"))?);
        }
        let slot = self.lists.get_mut(number).ok_or_else(|| format!("list number {number} is past 15"))?;
        *slot = Some(members);
        Ok(())
    }
}

/// A dispatcher's view of the list of endpoints: which of the lists sent before, and how it is to be taken.
fn list_event<'a>(r: &mut Reader, lists: &'a [Option<Vec<Endpoint>>; LISTS]) -> Result<Event<'a>, String> {
    let kind = r.u8()?;
    let _revision = r.u64()?;
    let number = usize::from(r.u16()?);
    if kind == 3 {
        return Ok(Event::ListFailed { is_cheap: false });
    }
    let list = lists.get(number).and_then(Option::as_deref);
    let list = list.ok_or_else(|| format!("refers to list {number}, which was not sent"))?;
    match kind {
        0 => Ok(Event::Changes(list)),
        1 => Ok(Event::List(list)),
        2 => Ok(Event::Cached(list)),
        _ => Err(format!("unknown kind of view {kind}")),
    }
}

/// The end of an attempt.
fn attempt_end(r: &mut Reader, site: &Site) -> Result<AttemptEnd, String> {
    let job = JobId(r.u64()?);
    let attempt = usize::from(r.u16()?);
    let endpoint = worker(r)?;
    let outcome = outcome(r.u16()?);
    let latency = r.u32()?.into();
    let finished = r.u8()? != 0;
    let _remark = r.u32()?;
    let report = report(r, site)?;
    Ok(AttemptEnd { job, attempt, endpoint, outcome, latency, finished, report })
}

fn worker(r: &mut Reader) -> Result<EndpointId, String> {
    Ok(EndpointId(u64::from(r.u32()?) << 16 | u64::from(r.u16()?)))
}

fn member(r: &mut Reader) -> Result<Endpoint, String> {
    Ok(Endpoint {
        kind: r.u8()?.into(),
        started_at: r.u64()?,
        cell: r.u16()?.into(),
        size: r.f32()?,
        id: worker(r)?,
        zone: r.u8()?.into(),
        status: match r.u8()? {
            0 => EndpointStatus::Ready,
            3 => EndpointStatus::Gone,
            _ => EndpointStatus::Draining,
        },
    })
}

fn job(r: &mut Reader) -> Result<Job, String> {
    let (id, class) = (JobId(r.u64()?), r.u16()?.into());
    let (_tenant, _key, due, hint) = (r.u32()?, r.u64()?, r.u64()?, r.u32()?);
    let (slots, _memory, bits) = (r.f32()?, r.f32()?, r.u8()?);
    let work = (bits & 1 != 0 && hint > 0).then_some(hint.into());
    Ok(Job { id, class, deadline: due, slots, work })
}

fn outcome(code: u16) -> Outcome {
    match code {
        0 => Outcome::Served,
        255 => Outcome::Error,
        254 => Outcome::Full,
        253 => Outcome::TimedOut,
        252 => Outcome::Unreachable,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => Outcome::Unknown,
    }
}

fn report(r: &mut Reader, site: &Site) -> Result<LoadReport, String> {
    let count = usize::from(r.u8()?);
    let values: Vec<f64> = (0..count).map(|_| r.f32()).collect::<Result<_, _>>()?;
    Ok(site.report(values))
}

/// A span as the wire holds it: what is longer than it can say is cut.
fn span(micros: Micros) -> u32 {
    micros.try_into().unwrap_or(u32::MAX)
}

fn write(reply: &mut Writer, instance: u32, now: Micros, action: &Action) {
    match action {
        Action::WakeAt(at) => reply.record(1, |w| w.u32(instance).u32(span(at.saturating_sub(now))).u32(0)),
        Action::Subscribe => reply.record(2, |w| w.u32(instance).u8(1)),
        Action::Reject { job, retry_after } => {
            reply.record(5, |w| w.u32(instance).u64(job.0).u32(span(*retry_after)));
        }
        Action::Cancel { job, attempt } => {
            reply.record(7, |w| w.u32(instance).u64(job.0).u16(*attempt as u16));
        }
        // No time-out of its own: the attempt may take until the client quits.
        Action::Send { job, endpoint: worker } => {
            reply.record(8, |w| w.u32(instance).u64(job.0).worker(worker.0).u32(0));
        }
        Action::Fail { job } => reply.record(10, |w| w.u32(instance).u64(job.0)),
        // The simulator has no word for it.
        Action::Hold { .. } => {}
        Action::Probe { endpoint: worker } => reply.record(11, |w| w.u32(instance).worker(worker.0)),
    }
}
