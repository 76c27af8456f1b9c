//! The policy's file: read from TOML, checked against the site's names, and looked up for each request.

use std::collections::BTreeSet;

use serde::Deserialize;
use thiserror::Error;
use toml::Spanned;

use super::rules::{Empty, Event, Rule, Test};
use super::{MOST_HEADERS, MOST_PARTITIONS, MOST_RULES};
use crate::core::EndpointSelector;
use crate::settings::Site;

/// What is wrong with a policy, and in which line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {fault}")]
pub struct PolicyError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong there.
    pub fault: Fault,
}

/// What can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// It is no TOML, or has a key or value that does not belong there.
    #[error("{0}")]
    Toml(String),
    /// There is no version above 0.
    #[error("`version` is {0}, and must be from 1 up")]
    Version(u64),
    /// More than can be.
    #[error("more than {most} {what}")]
    Many {
        /// Of what.
        what: &'static str,
        /// The most.
        most: usize,
    },
    /// Two of one name.
    #[error("{what} `{name}` is given twice")]
    Twice {
        /// What it is.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A name that is not known here.
    #[error("there is no {what} `{name}` here")]
    Unknown {
        /// What it would be.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A partition that no listed server belongs to.
    #[error("partition `{0}` has no server of those that are listed here")]
    Nobody(String),
    /// A test that nothing passes.
    #[error("rule `{0}` has a test that nothing passes")]
    Void(String),
    /// A rule that is never reached.
    #[error("rule `{rule}` is never reached: all that fits it fits `{before}` before it")]
    Hidden {
        /// The rule.
        rule: String,
        /// The one that hides it.
        before: String,
    },
    /// A class of which some requests fit no rule.
    #[error("requests of class `{0}` may fit no rule: its last rule must take all of it")]
    Missed(String),
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

/// A partition: its name, its line in the file, and which endpoints belong to it.
pub type Partition = (String, usize, EndpointSelector);

/// A policy that was read and checked.
///
/// ```
/// # use micabeam::ingest::{Event, Policy};
/// # use micabeam::settings::Site;
/// let site = Site::parse(include_bytes!("../../examples/settings.json"))?;
/// let policy = Policy::read(include_str!("../../deploy/policy.toml"), &site).map_err(|e| format!("{e:?}"))?;
/// let header = |_: &str| None;
/// let hold = Event { class: 2, zone: 0, tenant: None, key: Some("van-4711"), size: 3, header: &header };
/// assert_eq!(policy.rule(&hold).map(|rule| rule.name.as_str()), Some("vans"));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Its version.
    pub version: u64,
    /// The partitions, in the order of the file.
    pub partitions: Vec<Partition>,
    /// The rules, in order: the first that fits counts.
    pub rules: Vec<Rule>,
}

impl Policy {
    /// The version alone, as it stands in a file that need not fit this site.
    ///
    /// # Errors
    /// Where the text is no policy file, or its version is 0.
    pub fn version(text: &str) -> Result<u64, PolicyError> {
        let file: File = toml::from_str(text).map_err(|e| not_toml(text, &e))?;
        match file.version.into_inner() {
            0 => Err(PolicyError { line: 1, fault: Fault::Version(0) }),
            version => Ok(version),
        }
    }

    /// Reads and checks all of it; all that is wrong.
    ///
    /// # Errors
    /// All that is wrong with it, each with its line.
    pub fn read(text: &str, site: &Site) -> Result<Policy, Vec<PolicyError>> {
        let file: File = toml::from_str(text).map_err(|e| vec![not_toml(text, &e)])?;
        let mut errors = Vec::new();
        let mut wrong = |at: usize, fault: Fault| errors.push(PolicyError { line: line(text, at), fault });
        let version = *file.version.get_ref();
        if version == 0 {
            wrong(file.version.span().start, Fault::Version(version));
        }
        for (count, most, what) in
            [(file.rule.len(), MOST_RULES, "rules"), (file.partition.len(), MOST_PARTITIONS, "partitions")]
        {
            if count > most {
                wrong(0, Fault::Many { what, most });
            }
        }
        let partitions = read_partitions(&file.partition, text, site, &mut wrong);
        let classes: Vec<String> = site.client_classes.iter().map(|class| class.name.clone()).collect();
        let mut rules: Vec<Rule> = Vec::new();
        let mut known = BTreeSet::new();
        for spanned in file.rule {
            let (at, table) = (spanned.span().start, spanned.into_inner());
            if !known.insert(table.name.clone()) {
                wrong(at, Fault::Twice { what: "rule", name: table.name.clone() });
            }
            let rule = read_rule(table, at, &partitions, &classes, &site.zones, &mut wrong);
            if is_void(&rule) {
                wrong(at, Fault::Void(rule.name.clone()));
            } else if let Some(before) = rules.iter().find(|before| before.hides(&rule)) {
                wrong(at, Fault::Hidden { rule: rule.name.clone(), before: before.name.clone() });
            }
            rules.push(rule);
        }
        for (class, name) in classes.iter().enumerate() {
            // Without rules all servers may run all classes.
            if !rules.is_empty() && !rules.iter().any(|rule| rule.takes_all_of(class)) {
                wrong(text.len(), Fault::Missed(name.clone()));
            }
        }
        if errors.is_empty() { Ok(Policy { version, partitions, rules }) } else { Err(errors) }
    }

    /// What is wrong with it where `has` tells whether a server is listed that a partition selects.
    pub fn nobody(&self, has: impl Fn(&EndpointSelector) -> bool) -> Vec<PolicyError> {
        let bare = self.partitions.iter().filter(|(_, _, selector)| !has(selector));
        bare.map(|(name, line, _)| PolicyError { line: *line, fault: Fault::Nobody(name.clone()) }).collect()
    }

    /// The rule of a request: the first that fits.
    pub fn rule(&self, event: &Event<'_>) -> Option<&Rule> {
        self.rules.iter().find(|rule| rule.fits(event))
    }
}

/// The partitions of a file. What is wrong with them goes to `wrong`, with its place in the text.
fn read_partitions(
    tables: &[Spanned<PartitionTable>],
    text: &str,
    site: &Site,
    wrong: &mut impl FnMut(usize, Fault),
) -> Vec<Partition> {
    let mut names = BTreeSet::new();
    let mut partitions = Vec::new();
    for spanned in tables {
        let (at, table) = (spanned.span().start, spanned.get_ref());
        if !names.insert(table.name.clone()) {
            wrong(at, Fault::Twice { what: "partition", name: table.name.clone() });
        }
        let kinds = places(&table.kinds, &site.kinds, "kind", at, wrong);
        let zones = places(&table.zones, &site.zones, "zone", at, wrong);
        let selector = EndpointSelector {
            kinds: kinds.map(as_numbers),
            zones: zones.map(as_numbers),
            cells: table.blocks.clone(),
            prefixes: table.prefixes.clone(),
        };
        partitions.push((table.name.clone(), line(text, at), selector));
    }
    partitions
}

/// A rule of a file. What is wrong with its names and its size goes to `wrong`.
fn read_rule(
    table: RuleTable,
    at: usize,
    partitions: &[Partition],
    classes: &[String],
    zones: &[String],
    wrong: &mut impl FnMut(usize, Fault),
) -> Rule {
    let classes = places(&table.classes, classes, "class", at, wrong);
    let zones = places(&table.zones, zones, "zone", at, wrong);
    let partition = partitions.iter().position(|(name, ..)| *name == table.partition);
    if partition.is_none() {
        wrong(at, Fault::Unknown { what: "partition", name: table.partition.clone() });
    }
    if table.headers.len() > MOST_HEADERS {
        wrong(at, Fault::Many { what: "headers of a rule", most: MOST_HEADERS });
    }
    let headers = table.headers.into_iter().map(|h| (h.name.to_ascii_lowercase(), h.is)).collect();
    Rule {
        name: table.name,
        classes,
        tenant: table.tenant,
        key: table.key,
        zones: zones.map(as_numbers),
        size: table.size.map(|size| (size.from, size.to.unwrap_or(u64::MAX))),
        headers,
        partition: partition.unwrap_or(0),
        empty: table.empty,
    }
}

/// Whether a rule has a test that nothing passes.
fn is_void(rule: &Rule) -> bool {
    let mut tests = rule.headers.iter().map(|(_, test)| test).chain(&rule.tenant).chain(&rule.key);
    tests.any(Test::is_void)
        || rule.size.is_some_and(|(from, to)| from > to)
        || rule.classes.as_ref().is_some_and(Vec::is_empty)
        || rule.zones.as_ref().is_some_and(Vec::is_empty)
}

fn as_numbers(list: Vec<usize>) -> Vec<u16> {
    list.into_iter().map(|at| at as u16).collect()
}

/// Names as their places among those that are known.
fn places(
    names: &Option<Vec<String>>,
    known: &[String],
    what: &'static str,
    at: usize,
    wrong: &mut impl FnMut(usize, Fault),
) -> Option<Vec<usize>> {
    let names = names.as_ref()?;
    let mut list = Vec::new();
    for name in names {
        match known.iter().position(|known| known == name) {
            Some(place) => list.push(place),
            None => wrong(at, Fault::Unknown { what, name: name.clone() }),
        }
    }
    Some(list)
}

/// The line of a place in a text.
fn line(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}

fn not_toml(text: &str, error: &toml::de::Error) -> PolicyError {
    let at = error.span().map_or(0, |span| span.start);
    PolicyError { line: line(text, at), fault: Fault::Toml(error.message().to_string()) }
}
