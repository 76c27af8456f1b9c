//! Rules: what of a request is looked at, and when one rule leaves nothing for another.

use serde::Deserialize;

/// A test of a text.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Test {
    /// It is this.
    Equal(String),
    /// It is one of these.
    OneOf(Vec<String>),
    /// It begins with this.
    Prefix(String),
    /// It is from the first to the last, both among it, by the order of their bytes.
    Range(String, String),
    /// It is there.
    Present(bool),
}

impl Test {
    /// Whether a text passes; none: it is not there.
    pub fn passes(&self, text: Option<&str>) -> bool {
        match (self, text) {
            (Test::Present(there), text) => text.is_some() == *there,
            (_, None) => false,
            (Test::Equal(one), Some(text)) => one == text,
            (Test::OneOf(list), Some(text)) => list.iter().any(|one| one == text),
            (Test::Prefix(head), Some(text)) => text.starts_with(head.as_str()),
            (Test::Range(from, to), Some(text)) => (from.as_str()..=to.as_str()).contains(&text),
        }
    }

    /// Whether all that passes another test passes this one. May say no where that is so.
    pub fn covers(&self, other: &Test) -> bool {
        match (self, other) {
            (Test::Present(true), other) => *other != Test::Present(false),
            (Test::Present(false), other) => *other == Test::Present(false),
            (one, Test::Equal(text)) => one.passes(Some(text)),
            (one, Test::OneOf(list)) => list.iter().all(|text| one.passes(Some(text))),
            (Test::Prefix(head), Test::Prefix(other)) => other.starts_with(head.as_str()),
            (Test::Range(from, to), Test::Range(a, b)) => from <= a && b <= to,
            (Test::Prefix(head), Test::Range(a, b)) => {
                a.starts_with(head.as_str()) && b.starts_with(head.as_str())
            }
            _ => false,
        }
    }

    /// Whether anything can pass.
    pub fn is_void(&self) -> bool {
        matches!(self, Test::OneOf(list) if list.is_empty())
            || matches!(self, Test::Range(from, to) if from > to)
    }
}

/// What happens to a request whose partition has no server that takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Empty {
    /// It waits for one until its own time is over.
    #[default]
    Wait,
    /// It is denied at once, with a time to come back.
    Deny,
    /// It goes to the next partition in the policy's order that has one.
    Next,
}

/// A rule. All of its tests are to pass.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// Classes, by index; none: all.
    pub classes: Option<Vec<usize>>,
    /// The tenant.
    pub tenant: Option<Test>,
    /// The key.
    pub key: Option<Test>,
    /// Zones of the dispatcher that takes it, by index; none: all.
    pub zones: Option<Vec<u16>>,
    /// Bytes of its body, from and to, both among it.
    pub size: Option<(u64, u64)>,
    /// Headers by their names in small letters.
    pub headers: Vec<(String, Test)>,
    /// The partition, by index.
    pub partition: usize,
    /// What happens where that has no server.
    pub empty: Empty,
}

/// What of a request rules look at.
pub struct Event<'a> {
    /// Its class, by index.
    pub class: usize,
    /// The dispatcher's zone, by index.
    pub zone: u16,
    /// Its tenant.
    pub tenant: Option<&'a str>,
    /// Its key.
    pub key: Option<&'a str>,
    /// Bytes of its body.
    pub size: u64,
    /// A header by its name in small letters.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

fn covers<T: PartialEq>(one: &Option<Vec<T>>, other: &Option<Vec<T>>) -> bool {
    match (one, other) {
        (None, _) => true,
        (Some(one), Some(other)) => other.iter().all(|value| one.contains(value)),
        (Some(_), None) => false,
    }
}

fn covers_test(one: &Option<Test>, other: &Option<Test>) -> bool {
    match (one, other) {
        (None, _) => true,
        (Some(one), Some(other)) => one.covers(other),
        (Some(_), None) => false,
    }
}

impl Rule {
    /// Whether a request fits.
    pub fn fits(&self, event: &Event<'_>) -> bool {
        self.classes.as_ref().is_none_or(|list| list.contains(&event.class))
            && self.zones.as_ref().is_none_or(|list| list.contains(&event.zone))
            && self.tenant.as_ref().is_none_or(|test| test.passes(event.tenant))
            && self.key.as_ref().is_none_or(|test| test.passes(event.key))
            && self.size.is_none_or(|(from, to)| (from..=to).contains(&event.size))
            && self.headers.iter().all(|(name, test)| test.passes((event.header)(name)))
    }

    /// Whether all that fits another rule fits this one, so that the other is never reached behind it. May say no where
    /// that is so.
    pub fn hides(&self, other: &Rule) -> bool {
        let size = match (self.size, other.size) {
            (None, _) => true,
            (Some((from, to)), Some((a, b))) => from <= a && b <= to,
            (Some(_), None) => false,
        };
        let header = |(name, test): &(String, Test)| {
            other.headers.iter().any(|(other, theirs)| other == name && test.covers(theirs))
        };
        size && covers(&self.classes, &other.classes)
            && covers(&self.zones, &other.zones)
            && covers_test(&self.tenant, &other.tenant)
            && covers_test(&self.key, &other.key)
            && self.headers.iter().all(header)
    }

    /// Whether it takes all of a class, whatever else a request is.
    pub fn takes_all_of(&self, class: usize) -> bool {
        let open = self.tenant.is_none() && self.key.is_none() && self.zones.is_none() && self.size.is_none();
        open && self.headers.is_empty() && self.classes.as_ref().is_none_or(|list| list.contains(&class))
    }
}
