//! A held job reports its reason by name, once for each reason. Otherwise jobs may not be sent to a healthy
//! endpoint while neither a metric nor an event shows why.

mod common;

use common::{MS, SECOND, World, member, probing, settings};
use micabeam::routing::*;

/// Returns the reasons for which the actions hold jobs.
fn hold_reasons(actions: &[Action]) -> Vec<HoldReason> {
    let reason = |action: &Action| match action {
        Action::Hold { reason, .. } => Some(*reason),
        _ => None,
    };
    actions.iter().filter_map(reason).collect()
}

#[test]
fn a_job_without_an_endpoint_is_held_and_reported_once() {
    let mut world = World::new(settings(), &[]);
    let (_, actions) = world.job(2);
    assert_eq!(hold_reasons(&actions), [HoldReason::NoEndpoint]);
    assert_eq!(hold_reasons(&world.wait(100 * MS)), [], "the reason has not changed");
    world.handle(Event::AttemptsAllowed(false));
    assert_eq!(hold_reasons(&world.wait(200 * MS)), [HoldReason::ListUnusable], "the reason has changed");
}

#[test]
fn a_job_is_held_for_an_ejected_endpoint() {
    let mut world = World::new(settings(), &[member(1, 1.0)]);
    let (job, _) = world.job(0);
    let actions = world.ended(job, 0, EndpointId(1), Outcome::Error);
    assert_eq!(hold_reasons(&actions), [HoldReason::Ejected]);
}

#[test]
fn a_job_is_held_until_a_cold_endpoint_has_a_slow_start_token() {
    let started_at = 100 * SECOND;
    let mut world = World::new(settings(), &[Endpoint { started_at, ..member(1, 1.0) }]);
    let reasons: Vec<_> = (0..3).flat_map(|_| hold_reasons(&world.job(0).1)).collect();
    assert!(reasons.contains(&HoldReason::SlowStart), "{reasons:?}");
}

#[test]
fn a_job_is_held_if_it_would_be_late_in_the_queue() {
    let mut world = World::new(settings(), &[member(1, 1.0)]);
    let reasons: Vec<_> = (0..12).flat_map(|_| hold_reasons(&world.job(2).1)).collect();
    assert!(reasons.iter().all(|&reason| reason == HoldReason::QueueFull) && !reasons.is_empty());
}

#[test]
fn a_job_is_held_while_its_endpoint_is_probed_for_another_job() {
    let mut world = World::new(probing(), &[member(1, 1.0)]);
    world.job(2);
    assert_eq!(hold_reasons(&world.job(2).1), [HoldReason::Probed]);
}

#[test]
fn a_job_that_may_have_run_is_held_if_it_may_not_be_retried() {
    let cells = [Endpoint { cell: 0, ..member(1, 1.0) }, Endpoint { cell: 1, ..member(2, 1.0) }];
    let mut world = World::new(settings(), &cells);
    let (job, actions) = world.job(1);
    let first = common::sent(&actions).unwrap();
    let gone = Endpoint { status: EndpointStatus::Gone, ..cells[usize::from(first == EndpointId(2))] };
    world.handle(Event::Changes(&[gone]));
    let actions = world.ended(job, 0, first, Outcome::Reset);
    assert_eq!(hold_reasons(&actions), [HoldReason::RetryForbidden]);
}
