//! Runs dispatchers for the simulator over its binary protocol on standard input and output. Makes no
//! decisions: it turns frames and settings into the library's events, and the resulting actions into frames.
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

/// Number of lists; they are numbered from 0.
const LIST_COUNT: usize = 16;

/// A dispatcher and the settings that are needed to decode its events.
struct Instance {
    dispatcher: Router,
    site: Site,
}

/// State of the process: the dispatchers, which share nothing, and the lists that events refer to.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: [Option<Vec<Endpoint>>; LIST_COUNT],
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

/// Answers batches until the input ends between frames.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut batch = Vec::new();
    let mut reply = Writer::default();
    let mut number = 0u64;
    while let Some(now) = frame::read_batch(input, &mut batch).map_err(|e| format!("batch {number}: {e}"))? {
        reply.clear();
        host.handle_batch(now, &batch, &mut reply).map_err(|e| format!("batch {number}: {e}"))?;
        output
            .write_all(reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| format!("batch {number}: cannot write the reply: {e}"))?;
        number += 1;
    }
    Ok(())
}

impl Host {
    /// Handles all events of a batch in order and writes the dispatchers' actions to the reply.
    fn handle_batch(&mut self, now: Micros, batch: &[u8], reply: &mut Writer) -> Result<(), String> {
        let mut records = Reader::new(batch);
        while !records.is_empty() {
            let at = records.position();
            let code = records.u8()?;
            let handled = records
                .length_prefixed()
                .and_then(|mut fields| self.handle_event(now, code, &mut fields, reply));
            handled.map_err(|e| format!("record at byte {at} (code {code}): {e}"))?;
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Micros,
        code: u8,
        r: &mut Reader,
        reply: &mut Writer,
    ) -> Result<(), String> {
        if code == 11 {
            return self.store_list(r);
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
            return Ok(()); // the dispatcher is not running, so it has no open job
        };
        let event = match code {
            2 => read_list_event(r, &self.lists)?,
            3 => Event::Job(read_job(r)?),
            4 => Event::Streaming(JobId(r.u64()?)),
            5 => Event::Ended(read_attempt_end(r, &instance.site)?),
            6 => Event::ClientLeft(JobId(r.u64()?)),
            7 => Event::Wake,
            8 => Event::Probed {
                endpoint: read_worker(r)?,
                answered: r.u16()? == 0,
                latency: r.u32()?.into(),
                report: read_report(r, &instance.site)?,
            },
            12 => {
                let job = JobId(r.u64()?);
                let attempt = usize::from(r.u16()?);
                let _worker = read_worker(r)?;
                match r.u8()? {
                    1 => Event::Started { job, attempt },
                    _ => return Ok(()), // other progress notes do not influence decisions
                }
            }
            _ => return Ok(()), // 9, a message of a peer, which is not used, and codes of later versions
        };
        instance.dispatcher.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(reply, id, now, &action);
        }
        Ok(())
    }

    /// Starts a dispatcher and replaces one with the same number.
    fn start(&mut self, id: u32, r: &mut Reader) -> Result<(), String> {
        let seed = r.u64()?;
        let length = r.u32()? as usize;
        let site = Site::parse(r.bytes(length)?).map_err(|e| e.to_string())?;
        let dispatcher = Router::new(site.settings.clone(), seed);
        self.instances.insert(id, Instance { dispatcher, site });
        Ok(())
    }

    fn store_list(&mut self, r: &mut Reader) -> Result<(), String> {
        let number = usize::from(r.u16()?);
        let count = r.u32()?;
        // Entries are read one by one, so that a count beyond the record does not allocate more than the
        // record contains.
        let mut endpoints = Vec::new();
        for line in 0..count {
            endpoints.push(read_endpoint(r).map_err(|e| format!("line {line} of {count}: {e}"))?);
        }
        let slot = self.lists.get_mut(number).ok_or_else(|| format!("list number {number} is past 15"))?;
        *slot = Some(endpoints);
        Ok(())
    }
}

/// Reads a list view: which of the lists sent before a dispatcher sees, and whether it is an update, a
/// complete list, a cached list or a failure.
fn read_list_event<'a>(
    r: &mut Reader,
    lists: &'a [Option<Vec<Endpoint>>; LIST_COUNT],
) -> Result<Event<'a>, String> {
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

/// Reads the end of an attempt.
fn read_attempt_end(r: &mut Reader, site: &Site) -> Result<AttemptEnd, String> {
    let job = JobId(r.u64()?);
    let attempt = usize::from(r.u16()?);
    let endpoint = read_worker(r)?;
    let outcome = outcome_from_code(r.u16()?);
    let latency = r.u32()?.into();
    let finished = r.u8()? != 0;
    let _remark = r.u32()?;
    let report = read_report(r, site)?;
    // On this wire each event names its attempt.
    let may_report_late = false;
    Ok(AttemptEnd { job, attempt, endpoint, outcome, latency, finished, may_report_late, report })
}

fn read_worker(r: &mut Reader) -> Result<EndpointId, String> {
    Ok(EndpointId(u64::from(r.u32()?) << 16 | u64::from(r.u16()?)))
}

fn read_endpoint(r: &mut Reader) -> Result<Endpoint, String> {
    Ok(Endpoint {
        kind: r.u8()?.into(),
        started_at: r.u64()?,
        cell: r.u16()?.into(),
        size: r.f32()?,
        id: read_worker(r)?,
        zone: r.u8()?.into(),
        status: match r.u8()? {
            0 => EndpointStatus::Ready,
            3 => EndpointStatus::Gone,
            _ => EndpointStatus::Draining,
        },
    })
}

fn read_job(r: &mut Reader) -> Result<Job, String> {
    let (id, class) = (JobId(r.u64()?), r.u16()?.into());
    let (_tenant, _key, deadline_us, hint) = (r.u32()?, r.u64()?, r.u64()?, r.u32()?);
    let (slots, _memory, flags) = (r.f32()?, r.f32()?, r.u8()?);
    let work = (flags & 1 != 0 && hint > 0).then_some(hint.into());
    Ok(Job { id, class, deadline: deadline_us, slots, work })
}

fn outcome_from_code(code: u16) -> Outcome {
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

fn read_report(r: &mut Reader, site: &Site) -> Result<LoadReport, String> {
    let count = usize::from(r.u8()?);
    let values: Vec<f64> = (0..count).map(|_| r.f32()).collect::<Result<_, _>>()?;
    Ok(site.report(values))
}

/// Converts a duration to the width of the protocol. A longer one is cut to the maximum.
fn to_u32(micros: Micros) -> u32 {
    micros.try_into().unwrap_or(u32::MAX)
}

fn write_action(reply: &mut Writer, instance: u32, now: Micros, action: &Action) {
    match action {
        Action::WakeAt(at) => reply.record(1, |w| w.u32(instance).u32(to_u32(at.saturating_sub(now))).u32(0)),
        Action::Subscribe => reply.record(2, |w| w.u32(instance).u8(1)),
        Action::Reject { job, retry_after } => {
            reply.record(5, |w| w.u32(instance).u64(job.0).u32(to_u32(*retry_after)));
        }
        Action::Cancel { job, attempt } => {
            reply.record(7, |w| w.u32(instance).u64(job.0).u16(*attempt as u16));
        }
        // A timeout of 0: the attempt has none of its own and may last until the client gives up.
        Action::Send { job, endpoint: worker } => {
            reply.record(8, |w| w.u32(instance).u64(job.0).worker(worker.0).u32(0));
        }
        Action::Fail { job } => reply.record(10, |w| w.u32(instance).u64(job.0)),
        // The simulator's protocol has no such action.
        Action::Hold { .. } => {}
        Action::Probe { endpoint: worker } => reply.record(11, |w| w.u32(instance).worker(worker.0)),
    }
}
