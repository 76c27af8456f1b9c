//! State handed over by the previous process may be damaged and still pass its checksum. Whatever values it
//! contains, the router must reject them or keep working with them.

mod common;

use common::{MS, World, member, probing, sent};
use micabeam::routing::*;
use proptest::prelude::*;

/// Values that no dispatcher can have learned, and some that it can.
const VALUES: [f64; 10] =
    [f64::MAX, 1e300, 1e20, 1e15, f64::INFINITY, f64::NAN, -1.0, 0.0, 1.0, f64::MIN_POSITIVE];

/// Returns a dispatcher that has learned state about three endpoints.
fn learned_world() -> World {
    let mut world = World::new(probing(), &[member(1, 1.0), member(2, 1.0), member(3, 2.0)]);
    for _ in 0..6 {
        let (job, actions) = world.job(0);
        for id in 1..=3 {
            world.probed(EndpointId(id), 2.0);
        }
        let endpoint = sent(&actions).unwrap_or(EndpointId(1));
        world.now += 40 * MS;
        world.ended(job, 0, endpoint, Outcome::Served);
    }
    world
}

/// Lets a restored dispatcher route jobs, with failures and unanswered probes in between.
fn run_jobs(mut world: World) {
    for round in 0..20 {
        let (job, actions) = world.job(round % 3);
        for id in 1..=3 {
            let event = Event::Probed {
                endpoint: EndpointId(id),
                answered: round % 4 > 0,
                latency: 5 * MS,
                report: LoadReport { free_slots: Some(1.0), ..LoadReport::default() },
            };
            world.handle(event);
        }
        if let Some(endpoint) = sent(&actions) {
            let outcome = if round % 2 == 0 { Outcome::Served } else { Outcome::Error };
            world.ended(job, 0, endpoint, outcome);
        }
        world.wait(300 * MS);
    }
}

proptest! {
    #[test]
    fn damaged_state_is_rejected_or_harmless(
        changes in prop::collection::vec((0.0..1.0_f64, 0..VALUES.len() + 1), 1..4)
    ) {
        let mut bytes = postcard::to_stdvec(&learned_world().dispatcher.warm_state()).unwrap();
        for (position, value) in changes {
            let at = (position * (bytes.len() - 8) as f64) as usize;
            let value = VALUES.get(value).map_or([0xff; 8], |value| value.to_le_bytes());
            bytes[at..at + 8].copy_from_slice(&value);
        }
        let Ok(state) = postcard::from_bytes::<WarmState>(&bytes) else { return Ok(()) };
        let mut world = learned_world();
        let now = world.now;
        world.dispatcher.restore(now, state);
        run_jobs(world);
    }
}
