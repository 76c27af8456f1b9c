//! The policy file: parsed from TOML, validated against the names in the settings, and evaluated for each
//! request.

use std::collections::BTreeSet;

use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

use super::rules::{Empty, RequestAttributes, Rule, Test};
use super::{MAX_HEADERS, MAX_PARTITIONS, MAX_RULES};
use crate::core::EndpointSelector;
use crate::settings::Site;

/// An error in a policy, with its line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {kind}")]
pub struct PolicyError {
    /// The line number, counted from 1.
    pub line: usize,
    /// The kind of error.
    pub kind: ErrorKind,
}

/// The kinds of errors in a policy. Their texts are sent to other dispatchers as the error of a check result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ErrorKind {
    /// The text is not valid TOML, or has an unknown key or an invalid value.
    #[error("{0}")]
    Toml(String),
    /// The version is not above 0.
    #[error("`version` is {0}, and must be from 1 up")]
    Version(u64),
    /// There are too many items of a kind.
    #[error("more than {max} {what}")]
    TooMany {
        /// The kind of items.
        what: &'static str,
        /// The maximum number of items.
        max: usize,
    },
    /// Two items of a kind have the same name.
    #[error("{what} `{name}` is given twice")]
    Duplicate {
        /// The kind of items.
        what: &'static str,
        /// The name that is used twice.
        name: String,
    },
    /// A name is not in the settings or in the policy.
    #[error("there is no {what} `{name}` here")]
    UnknownName {
        /// The kind of item that the name should refer to.
        what: &'static str,
        /// The unknown name.
        name: String,
    },
    /// No listed endpoint belongs to a partition.
    #[error("partition `{0}` has no server of those that are listed here")]
    PartitionWithoutEndpoint(String),
    /// A rule has a test that no request can pass.
    #[error("rule `{0}` has a test that nothing passes")]
    UnsatisfiableTest(String),
    /// A rule is never reached, because an earlier rule matches all its requests.
    #[error("rule `{rule}` is never reached: all that fits it fits `{before}` before it")]
    ShadowedRule {
        /// Name of the rule that is never reached.
        rule: String,
        /// Name of the earlier rule.
        before: String,
    },
    /// Some requests of a class may match no rule.
    #[error("requests of class `{0}` may fit no rule: its last rule must take all of it")]
    UncoveredClass(String),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: Spanned<u64>,
    #[serde(default)]
    partition: Vec<Spanned<PartitionTable>>,
    #[serde(default)]
    rule: Vec<Spanned<RuleTable>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PartitionTable {
    name: String,
    kinds: Option<Vec<String>>,
    zones: Option<Vec<String>>,
    blocks: Option<Vec<u32>>,
    prefixes: Option<Vec<String>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SizeTable {
    #[serde(default)]
    from: u64,
    to: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HeaderTable {
    name: String,
    is: Test,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RuleTable {
    name: String,
    classes: Option<Vec<String>>,
    tenant: Option<Test>,
    key: Option<Test>,
    zones: Option<Vec<String>>,
    size: Option<SizeTable>,
    #[serde(default)]
    headers: Vec<HeaderTable>,
    partition: String,
    #[serde(default)]
    empty: Empty,
}

/// A partition: its name, its line in the file, and the selector of its endpoints.
pub type Partition = (String, usize, EndpointSelector);

/// A validated policy.
///
/// ```
/// # use micabeam::ingest::{RequestAttributes, Policy};
/// # use micabeam::settings::Site;
/// let site = Site::parse(include_bytes!("../../examples/settings.json"))?; let policy =
/// Policy::read(include_str!("../../deploy/policy.toml"), &site).map_err(|e| format!("{e:?}"))?; let header =
/// |_: &str| None; let hold = RequestAttributes { class: 2, zone: 0, tenant: None, key: Some("van-4711"),
/// size: 3, header: &header }; assert_eq!(policy.rule(&hold).map(|rule| rule.name.as_str()), Some("vans"));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Version of the policy.
    pub version: u64,
    /// The partitions, in the order of the file.
    pub partitions: Vec<Partition>,
    /// The rules in order of precedence: the first rule that matches a request applies.
    pub rules: Vec<Rule>,
}

impl Policy {
    /// Reads only the version of a policy file, without validating the rest against the settings.
    ///
    /// # Errors
    /// If the text is not a policy file, or its version is 0.
    pub fn version(text: &str) -> Result<u64, PolicyError> {
        let file: File = toml::from_str(text).map_err(|e| not_toml(text, &e))?;
        match file.version.into_inner() {
            0 => Err(PolicyError { line: 1, kind: ErrorKind::Version(0) }),
            version => Ok(version),
        }
    }

    /// Parses a policy file and validates it against the settings.
    ///
    /// # Errors
    /// All errors in the file, each with its line.
    pub fn read(text: &str, site: &Site) -> Result<Policy, Vec<PolicyError>> {
        let file: File = toml::from_str(text).map_err(|e| vec![not_toml(text, &e)])?;
        let mut errors = Vec::new();
        let mut report =
            |offset: usize, kind: ErrorKind| errors.push(PolicyError { line: line(text, offset), kind });
        let version = *file.version.get_ref();
        if version == 0 {
            report(file.version.span().start, ErrorKind::Version(version));
        }
        for (count, max, what) in
            [(file.rule.len(), MAX_RULES, "rules"), (file.partition.len(), MAX_PARTITIONS, "partitions")]
        {
            if count > max {
                report(0, ErrorKind::TooMany { what, max });
            }
        }
        let partitions = read_partitions(&file.partition, text, site, &mut report);
        let classes: Vec<String> = site.client_classes.iter().map(|class| class.name.clone()).collect();
        let mut rules: Vec<Rule> = Vec::new();
        let mut known = BTreeSet::new();
        for spanned in file.rule {
            let (offset, table) = (spanned.span().start, spanned.into_inner());
            if !known.insert(table.name.clone()) {
                report(offset, ErrorKind::Duplicate { what: "rule", name: table.name.clone() });
            }
            let rule = read_rule(table, offset, &partitions, &classes, &site.zones, &mut report);
            if is_unsatisfiable(&rule) {
                report(offset, ErrorKind::UnsatisfiableTest(rule.name.clone()));
            } else if let Some(before) = rules.iter().find(|before| before.shadows(&rule)) {
                report(
                    offset,
                    ErrorKind::ShadowedRule { rule: rule.name.clone(), before: before.name.clone() },
                );
            }
            rules.push(rule);
        }
        for (class, name) in classes.iter().enumerate() {
            // Without rules, all endpoints may serve all classes.
            if !rules.is_empty() && !rules.iter().any(|rule| rule.matches_whole_class(class)) {
                report(text.len(), ErrorKind::UncoveredClass(name.clone()));
            }
        }
        if errors.is_empty() { Ok(Policy { version, partitions, rules }) } else { Err(errors) }
    }

    /// Returns an error for each partition without a listed endpoint. `has_endpoint` says whether a selector
    /// matches a listed endpoint.
    pub fn partitions_without_endpoint(
        &self,
        has_endpoint: impl Fn(&EndpointSelector) -> bool,
    ) -> Vec<PolicyError> {
        let without_endpoint = self.partitions.iter().filter(|(_, _, selector)| !has_endpoint(selector));
        without_endpoint
            .map(|(name, line, _)| PolicyError {
                line: *line,
                kind: ErrorKind::PartitionWithoutEndpoint(name.clone()),
            })
            .collect()
    }

    /// Returns the rule for a request: the first one that matches it.
    pub fn rule(&self, request: &RequestAttributes<'_>) -> Option<&Rule> {
        self.rules.iter().find(|rule| rule.matches(request))
    }
}

/// Reads the partitions of a file. Errors go to `report`, with their byte offset in the text.
fn read_partitions(
    tables: &[Spanned<PartitionTable>],
    text: &str,
    site: &Site,
    report: &mut impl FnMut(usize, ErrorKind),
) -> Vec<Partition> {
    let mut names = BTreeSet::new();
    let mut partitions = Vec::new();
    for spanned in tables {
        let (offset, table) = (spanned.span().start, spanned.get_ref());
        if !names.insert(table.name.clone()) {
            report(offset, ErrorKind::Duplicate { what: "partition", name: table.name.clone() });
        }
        let kinds = resolve_names(&table.kinds, &site.kinds, "kind", offset, report);
        let zones = resolve_names(&table.zones, &site.zones, "zone", offset, report);
        let selector = EndpointSelector {
            kinds: kinds.map(to_u16),
            zones: zones.map(to_u16),
            cells: table.blocks.clone(),
            prefixes: table.prefixes.clone(),
        };
        partitions.push((table.name.clone(), line(text, offset), selector));
    }
    partitions
}

/// Reads a rule of a file. Unknown names and an excess of headers go to `report`.
fn read_rule(
    table: RuleTable,
    offset: usize,
    partitions: &[Partition],
    classes: &[String],
    zones: &[String],
    report: &mut impl FnMut(usize, ErrorKind),
) -> Rule {
    let classes = resolve_names(&table.classes, classes, "class", offset, report);
    let zones = resolve_names(&table.zones, zones, "zone", offset, report);
    let partition = partitions.iter().position(|(name, ..)| *name == table.partition);
    if partition.is_none() {
        report(offset, ErrorKind::UnknownName { what: "partition", name: table.partition.clone() });
    }
    if table.headers.len() > MAX_HEADERS {
        report(offset, ErrorKind::TooMany { what: "headers of a rule", max: MAX_HEADERS });
    }
    let headers = table.headers.into_iter().map(|h| (h.name.to_ascii_lowercase(), h.is)).collect();
    Rule {
        name: table.name,
        classes,
        tenant: table.tenant,
        key: table.key,
        zones: zones.map(to_u16),
        size: table.size.map(|size| (size.from, size.to.unwrap_or(u64::MAX))),
        headers,
        partition: partition.unwrap_or(0),
        empty: table.empty,
    }
}

/// Whether a rule has a test that no request can pass.
fn is_unsatisfiable(rule: &Rule) -> bool {
    let mut tests = rule.headers.iter().map(|(_, test)| test).chain(&rule.tenant).chain(&rule.key);
    tests.any(Test::is_unsatisfiable)
        || rule.size.is_some_and(|(from, to)| from > to)
        || rule.classes.as_ref().is_some_and(Vec::is_empty)
        || rule.zones.as_ref().is_some_and(Vec::is_empty)
}

fn to_u16(list: Vec<usize>) -> Vec<u16> {
    list.into_iter().map(|index| index as u16).collect()
}

/// Resolves names to their indexes in `known`. Unknown names go to `report`.
fn resolve_names(
    names: &Option<Vec<String>>,
    known: &[String],
    what: &'static str,
    offset: usize,
    report: &mut impl FnMut(usize, ErrorKind),
) -> Option<Vec<usize>> {
    let names = names.as_ref()?;
    let mut indexes = Vec::new();
    for name in names {
        match known.iter().position(|known| known == name) {
            Some(index) => indexes.push(index),
            None => report(offset, ErrorKind::UnknownName { what, name: name.clone() }),
        }
    }
    Some(indexes)
}

/// Returns the line number of a byte offset in a text.
fn line(text: &str, offset: usize) -> usize {
    1 + text.as_bytes()[..offset.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}

fn not_toml(text: &str, error: &toml::de::Error) -> PolicyError {
    let offset = error.span().map_or(0, |span| span.start);
    PolicyError { line: line(text, offset), kind: ErrorKind::Toml(error.message().to_string()) }
}
