//! Why a job waits in the dispatcher is told by name, once for each reason. Guards against jobs that are not sent to a server
//! that is well while neither a figure nor an event says why.

mod common;

use common::{MS, SECOND, World, member, probing, settings};
use micabeam::routing::*;

/// Why the actions hold a job.
fn held(actions: &[Action]) -> Vec<HoldReason> {
    let reason = |action: &Action| match action {
        Action::Hold { reason, .. } => Some(*reason),
        _ => None,
    };
    actions.iter().filter_map(reason).collect()
}

#[test]
fn a_job_with_no_endpoint_waits_for_one_and_is_told_of_once() {
    let mut world = World::new(settings(), &[]);
    let (_, actions) = world.job(2);
    assert_eq!(held(&actions), [HoldReason::NoEndpoint]);
    assert_eq!(held(&world.wait(100 * MS)), [], "the reason is the same");
    world.handle(Event::AttemptsAllowed(false));
    assert_eq!(held(&world.wait(200 * MS)), [HoldReason::ListUnusable], "it is another one now");
}

#[test]
fn a_job_waits_for_an_endpoint_that_was_ejected() {
    let mut world = World::new(settings(), &[member(1, 1.0)]);
    let (job, _) = world.job(0);
    let actions = world.ended(job, 0, EndpointId(1), Outcome::Error);
    assert_eq!(held(&actions), [HoldReason::Ejected]);
}

#[test]
fn a_job_waits_for_the_part_of_a_cold_endpoint() {
    let started_at = 100 * SECOND;
    let mut world = World::new(settings(), &[Endpoint { started_at, ..member(1, 1.0) }]);
    let reasons: Vec<_> = (0..3).flat_map(|_| held(&world.job(0).1)).collect();
    assert!(reasons.contains(&HoldReason::SlowStart), "{reasons:?}");
}

#[test]
fn a_job_waits_where_it_would_be_late_in_the_queue() {
    let mut world = World::new(settings(), &[member(1, 1.0)]);
    let reasons: Vec<_> = (0..12).flat_map(|_| held(&world.job(2).1)).collect();
    assert!(reasons.iter().all(|&reason| reason == HoldReason::QueueFull) && !reasons.is_empty());
}

#[test]
fn a_job_waits_while_its_endpoint_is_probed_for_another() {
    let mut world = World::new(probing(), &[member(1, 1.0)]);
    world.job(2);
    assert_eq!(held(&world.job(2).1), [HoldReason::Probed]);
}

#[test]
fn a_job_that_may_have_run_waits_where_it_may_not_run_again() {
    let cells = [Endpoint { cell: 0, ..member(1, 1.0) }, Endpoint { cell: 1, ..member(2, 1.0) }];
    let mut world = World::new(settings(), &cells);
    let (job, actions) = world.job(1);
    let first = common::sent(&actions).unwrap();
    let gone = Endpoint { status: EndpointStatus::Gone, ..cells[usize::from(first == EndpointId(2))] };
    world.handle(Event::Changes(&[gone]));
    let actions = world.ended(job, 0, first, Outcome::Reset);
    assert_eq!(held(&actions), [HoldReason::RetryForbidden]);
}
