//! Rules: which attributes of a request they test, and when one rule shadows another.

use serde::Deserialize;

/// A test of a text, such as a header value.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Test {
    /// The text is equal to this one.
    Equal(String),
    /// The text is one of these.
    OneOf(Vec<String>),
    /// The text starts with this prefix.
    Prefix(String),
    /// The text is in this inclusive range, in byte order.
    Range(String, String),
    /// The text is present (`true`) or absent (`false`).
    Present(bool),
}

impl Test {
    /// Whether a text passes the test. `None` means that the text is absent.
    pub fn passes(&self, text: Option<&str>) -> bool {
        match (self, text) {
            (Test::Present(expected), text) => text.is_some() == *expected,
            (_, None) => false,
            (Test::Equal(one), Some(text)) => one == text,
            (Test::OneOf(list), Some(text)) => list.iter().any(|one| one == text),
            (Test::Prefix(prefix), Some(text)) => text.starts_with(prefix.as_str()),
            (Test::Range(from, to), Some(text)) => (from.as_str()..=to.as_str()).contains(&text),
        }
    }

    /// Whether every text that passes `other` passes this test. Returns false in cases that it cannot decide.
    pub fn covers(&self, other: &Test) -> bool {
        match (self, other) {
            (Test::Present(true), other) => *other != Test::Present(false),
            (Test::Present(false), other) => *other == Test::Present(false),
            (one, Test::Equal(text)) => one.passes(Some(text)),
            (one, Test::OneOf(list)) => list.iter().all(|text| one.passes(Some(text))),
            (Test::Prefix(prefix), Test::Prefix(other)) => other.starts_with(prefix.as_str()),
            (Test::Range(from, to), Test::Range(a, b)) => from <= a && b <= to,
            (Test::Prefix(prefix), Test::Range(a, b)) => {
                a.starts_with(prefix.as_str()) && b.starts_with(prefix.as_str())
            }
            _ => false,
        }
    }

    /// Whether no text can pass.
    pub fn is_unsatisfiable(&self) -> bool {
        matches!(self, Test::OneOf(list) if list.is_empty())
            || matches!(self, Test::Range(from, to) if from > to)
    }
}

/// Treatment of a request if no endpoint of its partition accepts work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Empty {
    /// The request waits for an endpoint until its deadline.
    #[default]
    Wait,
    /// The request is rejected at once, with a retry delay.
    Deny,
    /// The request goes to the next partition, in the order of the policy, that has an endpoint.
    Next,
}

/// A rule. It matches requests that pass all its tests.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Name of the rule.
    pub name: String,
    /// Indexes of the classes; `None` matches every class.
    pub classes: Option<Vec<usize>>,
    /// Test of the tenant.
    pub tenant: Option<Test>,
    /// Test of the key.
    pub key: Option<Test>,
    /// Indexes of the zones of the dispatcher that received the request; `None` matches every zone.
    pub zones: Option<Vec<u16>>,
    /// Inclusive range of the body size, in bytes.
    pub size: Option<(u64, u64)>,
    /// Tests of headers, by lower-case name.
    pub headers: Vec<(String, Test)>,
    /// Index of the partition that the requests go to.
    pub partition: usize,
    /// Treatment of the requests if no endpoint of the partition accepts work.
    pub empty: Empty,
}

/// The attributes of a request that rules test.
pub struct RequestAttributes<'a> {
    /// Index of the class.
    pub class: usize,
    /// Index of the dispatcher's zone.
    pub zone: u16,
    /// Tenant of the request.
    pub tenant: Option<&'a str>,
    /// Key of the request.
    pub key: Option<&'a str>,
    /// Size of the body, in bytes.
    pub size: u64,
    /// Returns the value of a header by its lower-case name.
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
    /// Whether a request passes all tests of the rule.
    pub fn matches(&self, request: &RequestAttributes<'_>) -> bool {
        self.classes.as_ref().is_none_or(|list| list.contains(&request.class))
            && self.zones.as_ref().is_none_or(|list| list.contains(&request.zone))
            && self.tenant.as_ref().is_none_or(|test| test.passes(request.tenant))
            && self.key.as_ref().is_none_or(|test| test.passes(request.key))
            && self.size.is_none_or(|(from, to)| (from..=to).contains(&request.size))
            && self.headers.iter().all(|(name, test)| test.passes((request.header)(name)))
    }

    /// Whether every request that matches `other` matches this rule, so that `other` is never reached after
    /// it. Returns false in cases that it cannot decide.
    pub fn shadows(&self, other: &Rule) -> bool {
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

    /// Whether the rule matches every request of a class.
    pub fn matches_whole_class(&self, class: usize) -> bool {
        let is_unrestricted =
            self.tenant.is_none() && self.key.is_none() && self.zones.is_none() && self.size.is_none();
        is_unrestricted
            && self.headers.is_empty()
            && self.classes.as_ref().is_none_or(|list| list.contains(&class))
    }
}
