//! How long the endpoint list that a process leaves to its successor remains usable. Stored as one line of
//! text beside the warm state, which contains the list itself.
//!
//! ```text
//! micabeam-list 1 pid=4711 usable_ms=1700 watched=yes
//! ```

use std::fmt;

/// Start of the line, including the format version.
const MAGIC: &str = "micabeam-list 1";

/// Statement of a process about the list that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListHandover {
    /// Id of the process that leaves the list.
    pub pid: u32,
    /// Time for which the list may be used, counted from when it was left, in milliseconds.
    pub usable_ms: u64,
    /// Whether the process keeps watching the list and may report updates afterwards.
    pub is_watched: bool,
}

impl fmt::Display for ListHandover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let watched = if self.is_watched { "yes" } else { "no" };
        writeln!(f, "{MAGIC} pid={} usable_ms={} watched={watched}", self.pid, self.usable_ms)
    }
}

impl ListHandover {
    /// Parses the line; returns `None` if it is truncated or in another format.
    pub fn parse(text: &str) -> Option<ListHandover> {
        let line = text.strip_suffix('\n').filter(|line| !line.contains('\n'))?;
        let rest = line.strip_prefix(MAGIC)?.strip_prefix(' ')?;
        let mut fields = rest.split(' ');
        let pid = fields.next()?.strip_prefix("pid=")?.parse().ok()?;
        let usable_ms = fields.next()?.strip_prefix("usable_ms=")?.parse().ok()?;
        let is_watched = match fields.next()?.strip_prefix("watched=")? {
            "yes" => true,
            "no" => false,
            _ => return None,
        };
        fields.next().is_none().then_some(ListHandover { pid, usable_ms, is_watched })
    }
}

#[cfg(test)]
mod tests;
