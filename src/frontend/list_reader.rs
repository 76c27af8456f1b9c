//! Parses the endpoint list, or changes to it, in the format that discovery and configuration files share.

use thiserror::Error;

use crate::core::{ListScope, ListedEndpoint, micros};
use crate::json::{self, JsonError, JsonValue, flag, number, text};
use crate::routing::{Endpoint, EndpointId, EndpointStatus};
use crate::settings::Site;

/// The endpoint list, or changes to it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// The endpoints in it.
    pub lines: Vec<ListedEndpoint>,
    /// Whether the lines are the complete list or changes.
    pub scope: ListScope,
}

/// The reason why a list is rejected.
#[derive(Debug, Error)]
pub enum ListError {
    /// The text is not valid JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The version is missing.
    #[error("the endpoint list has no field `seq`")]
    NoVersion,
    /// An endpoint's name is missing.
    #[error("an entry of the endpoint list has no field `host`")]
    NoName,
}

/// Parses a list or its changes from JSON text.
///
/// # Errors
/// If the text is not JSON, or for the reasons of [`read_list`].
pub(super) fn parse_list(body: &[u8], site: &Site) -> Result<EndpointList, ListError> {
    read_list(&json::parse(body)?, site)
}

/// Parses a list or its changes from a JSON value.
///
/// # Errors
/// If the version or an endpoint's name is missing. All other missing fields have defaults.
pub fn read_list(list: &JsonValue, site: &Site) -> Result<EndpointList, ListError> {
    let version = number(list, "seq").ok_or(ListError::NoVersion)? as u64;
    let lines =
        json::list(list, "hosts").iter().map(|line| read_line(line, site)).collect::<Result<_, _>>()?;
    let scope = if flag(list, "whole") { ListScope::Complete } else { ListScope::Changes };
    Ok(EndpointList { version, lines, scope })
}

fn read_line(line: &JsonValue, site: &Site) -> Result<ListedEndpoint, ListError> {
    let name = text(line, "host").ok_or(ListError::NoName)?;
    // A name that is not in the settings gets the index after the last known one.
    let index = |names: &[String], name: Option<&str>| {
        names.iter().position(|known| Some(known.as_str()) == name).unwrap_or(names.len()) as u16
    };
    let status = match text(line, "health") {
        Some("up") => EndpointStatus::Ready,
        Some("removed") => EndpointStatus::Gone,
        _ => EndpointStatus::Draining,
    };
    let endpoint = Endpoint {
        id: EndpointId::default(),
        kind: index(&site.kinds, text(line, "class")),
        zone: index(&site.zones, text(line, "site")),
        cell: number(line, "block").unwrap_or(0.0) as u32,
        size: number(line, "share").unwrap_or(1.0),
        started_at: micros(number(line, "born_ms").unwrap_or(0.0)),
        status,
    };
    let address = text(line, "dial").unwrap_or("").to_string();
    Ok(ListedEndpoint { name: name.to_string(), address, endpoint })
}
