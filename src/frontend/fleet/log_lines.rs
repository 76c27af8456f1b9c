//! Texts for operators: the status line of the policy on the console, and the log events for decisions.

use super::config::Config;
use crate::fleet::{self, MemberId};
use crate::rollout::{ChangeOutcome, ParticipantStatus, PolicyDecision};
use crate::zones::{TableChange, ZoneState, ZoneSummary, ZoneTable};

/// Returns the status line of the policy.
pub(super) fn policy_status(status: &ParticipantStatus, now_ms: f64) -> String {
    let ParticipantStatus { version, decision, epoch, is_paused, lease_until_ms, wanted } = status;
    let number = |version: Option<u64>| version.map_or("none".to_string(), |version| version.to_string());
    let yes_or_no = |on: bool| if on { "yes" } else { "no" };
    format!(
        "runs {version} decided {} staged {} wanted {} epoch {epoch} serves {} holds {} last {}",
        decision.policy.version,
        number(decision.staged.map(|staged| staged.version)),
        number(*wanted),
        yes_or_no(*lease_until_ms > now_ms),
        yes_or_no(*is_paused),
        last_change(decision.last.as_ref()),
    )
}

/// Returns the outcome of the last version that was staged.
fn last_change(last: Option<&ChangeOutcome>) -> String {
    match last {
        None => "none".to_string(),
        Some(last) if last.in_force => format!("{} in force", last.version),
        Some(last) => format!("{} given up: {}", last.version, last.reason.replace('\n', " ")),
    }
}

/// Returns the status line of a member that applies its own policy without agreement.
pub(super) fn own_policy_status(version: u64) -> String {
    format!(
        "runs {version} decided {version} staged none wanted none epoch 0 serves yes holds no last {version} in force, alone"
    )
}

/// Logs that this member has applied its own policy without agreement.
pub(super) fn own_policy_in_force(version: u64) {
    tracing::info!(in_force = version, version, outcome = "in force", reason = "", "policy decided");
}

/// Logs a decision on the policy.
pub(super) fn policy_decided(decision: &PolicyDecision) {
    let none = ChangeOutcome { version: 0, in_force: false, reason: String::new() };
    let last = decision.last.as_ref().unwrap_or(&none);
    let hash = fleet::short_hex(&decision.policy.hash);
    tracing::info!(
        in_force = decision.policy.version,
        hash,
        staged = decision.staged.map_or(0, |staged| staged.version),
        version = last.version,
        outcome = if last.in_force { "in force" } else { "given up" },
        reason = last.reason,
        "policy decided"
    );
}

/// Logs a decision on zones.
pub(super) fn zones_decided(config: &Config, change: &TableChange) {
    let name = |member: &MemberId| config.names.get(usize::from(*member)).map_or("", String::as_str);
    tracing::info!(
        epoch = change.epoch,
        leader = change.leader.as_ref().map_or("", name),
        own = change.is_own,
        states = zone_states(&config.zones, &change.table),
        voters = change.voters.iter().map(name).collect::<Vec<_>>().join(","),
        evidence = zone_summaries(&config.zones, &change.summaries),
        "zones decided"
    );
}

/// Formats the zone summaries on one line, as `a=answered/refused/silent/reporters`.
fn zone_summaries(names: &[String], summaries: &[ZoneSummary]) -> String {
    let text = |(name, summary): (&String, &ZoneSummary)| {
        let ZoneSummary { answered, refused, silent, reporters } = summary;
        format!("{name}={answered}/{refused}/{silent}/{reporters}")
    };
    names.iter().zip(summaries).map(text).collect::<Vec<_>>().join(" ")
}

/// Formats the zone states on one line, as `a=open/1000 b=closed/0`.
fn zone_states(names: &[String], table: &ZoneTable) -> String {
    let word = |state: ZoneState| match state {
        ZoneState::Open => "open",
        ZoneState::Degraded => "careful",
        ZoneState::Closed => "closed",
        ZoneState::Recovering => "returning",
    };
    let zones = names.iter().zip(&table.zones);
    let texts = zones.map(|(name, zone)| format!("{name}={}/{}", word(zone.state), zone.share));
    texts.collect::<Vec<_>>().join(" ")
}
