//! Lines for operators: where the policy stands, and what was decided of zones.

use super::config::Config;
use crate::fleet::MemberId;
use crate::rollout;
use crate::zones::{self, ZoneState, ZoneSummary, ZoneTable};

/// Where the policy stands, in a line.
pub(super) fn standing_line(standing: &rollout::ParticipantStatus, now: f64) -> String {
    let rollout::ParticipantStatus {
        version,
        decision,
        epoch,
        is_paused: holds,
        lease_until_ms: until,
        wanted: wants,
    } = standing;
    let number = |version: Option<u64>| version.map_or("none".to_string(), |version| version.to_string());
    let last = decision.last.as_ref().map_or("none".to_string(), |last| match last.in_force {
        true => format!("{} in force", last.version),
        false => format!("{} given up: {}", last.version, last.reason.replace('\n', " ")),
    });
    format!(
        "runs {version} decided {} staged {} wanted {} epoch {epoch} serves {} holds {} last {last}",
        decision.policy.version,
        number(decision.staged.map(|staged| staged.version)),
        number(*wants),
        if *until > now { "yes" } else { "no" },
        if *holds { "yes" } else { "no" },
    )
}

/// Tells of a decision of zones in the log.
pub(super) fn log(config: &Config, decided: &zones::TableChange) {
    let zones::TableChange { epoch, table, leader, is_own: own, voters, summaries: sights } = decided;
    let name = |at: &MemberId| config.names.get(usize::from(*at)).map_or("", String::as_str);
    let (leader, states) = (leader.as_ref().map_or("", name), states(&config.zones, table));
    let voters = voters.iter().map(name).collect::<Vec<_>>().join(",");
    let evidence = evidence(&config.zones, sights);
    tracing::info!(epoch, leader, own, states, voters, evidence, "zones decided");
}

/// What was seen of the zones in a line, as `a=answered/refused/silent/sources`.
fn evidence(names: &[String], sights: &[ZoneSummary]) -> String {
    let each = names.iter().zip(sights);
    let each =
        each.map(|(name, s)| format!("{name}={}/{}/{}/{}", s.answered, s.refused, s.silent, s.reporters));
    each.collect::<Vec<_>>().join(" ")
}

/// The zones' states in a line, as `a=open b=closed`.
fn states(names: &[String], table: &ZoneTable) -> String {
    let word = |state: ZoneState| match state {
        ZoneState::Open => "open",
        ZoneState::Degraded => "careful",
        ZoneState::Closed => "closed",
        ZoneState::Recovering => "returning",
    };
    let each = names.iter().zip(&table.zones);
    let each = each.map(|(name, zone)| format!("{name}={}/{}", word(zone.state), zone.share));
    each.collect::<Vec<_>>().join(" ")
}
