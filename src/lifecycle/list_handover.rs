//! What a process says of the list that it leaves to the one that replaces it: for how long the list may be used yet. It goes
//! beside the warm state, which has the list itself, as one line of text.
//!
//! ```text
//! micabeam-list 1 pid=4711 usable_ms=1700 watched=yes
//! ```

use std::fmt;

/// First words of the line, with its version.
const MAGIC: &str = "micabeam-list 1";

/// What a process says of its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListHandover {
    /// The process.
    pub pid: u32,
    /// For how long the list may be used from when it was left, in milliseconds.
    pub usable_ms: u64,
    /// Whether the process goes on to watch the list: changes may be told to it from then on.
    pub is_watched: bool,
}

impl fmt::Display for ListHandover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let watched = if self.is_watched { "yes" } else { "no" };
        writeln!(f, "{MAGIC} pid={} usable_ms={} watched={watched}", self.pid, self.usable_ms)
    }
}

impl ListHandover {
    /// Reads the line; none where it is torn or not of this form.
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
