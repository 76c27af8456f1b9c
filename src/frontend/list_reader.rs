//! Reads the endpoint list, or its changes, as discovery and configurations write it.

use thiserror::Error;

use crate::core::{ListScope, ListedEndpoint, micros};
use crate::json::{self, JsonError, JsonValue, flag, number, text};
use crate::routing::{Endpoint, EndpointId, EndpointStatus};
use crate::settings::Site;

/// The list, or its changes, as discovery tells it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// Its lines.
    pub lines: Vec<ListedEndpoint>,
    /// How much of the list the lines are.
    pub scope: ListScope,
}

/// Why a list does not read.
#[derive(Debug, Error)]
pub enum ListError {
    /// It is no JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// It has no version.
    #[error("the list has no seq")]
    NoVersion,
    /// One of its lines has no name.
    #[error("a line of the list has no host")]
    NoName,
}

/// Reads a list or its changes from their text.
///
/// # Errors
/// Where the text is no JSON, or as [`read_list`] says.
pub(super) fn parse_list(body: &[u8], site: &Site) -> Result<EndpointList, ListError> {
    read_list(&json::parse(body)?, site)
}

/// Reads a list or its changes.
///
/// # Errors
/// Where it has no version, or a line has no name. What else a line lacks has a default.
pub fn read_list(list: &JsonValue, site: &Site) -> Result<EndpointList, ListError> {
    let version = number(list, "seq").ok_or(ListError::NoVersion)? as u64;
    let lines =
        json::list(list, "hosts").iter().map(|line| read_line(line, site)).collect::<Result<_, _>>()?;
    let scope = if flag(list, "whole") { ListScope::Complete } else { ListScope::Changes };
    Ok(EndpointList { version, lines, scope })
}

fn read_line(line: &JsonValue, site: &Site) -> Result<ListedEndpoint, ListError> {
    let name = text(line, "host").ok_or(ListError::NoName)?;
    // A name that the settings do not have gets the number after all of theirs.
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
