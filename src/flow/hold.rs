//! When a request whose body is still coming is dispatched. Until then its client costs no server a slot.

/// When a request is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// As soon as its head has come.
    Head,
    /// Once a prefix of its body has come, or all of it.
    Prefix,
    /// As with a prefix, if it came at the least pace; a client that did not keep it is given up at once.
    Pace,
}

/// What is to be done with a request that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// More of its body is to come.
    Wait,
    /// It is to be dispatched.
    Go,
    /// Its client is too slow.
    GiveUp,
}

/// A request that is held back.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    when: Dispatch,
    prefix: usize,
    /// Bytes a millisecond.
    least: f64,
    began: f64,
}

impl Hold {
    /// Time over which a pace is believed, in milliseconds: what came at once was in the sockets already.
    const BELIEVED: f64 = 50.0;

    /// A request whose head came at `began`; `least` is in bytes a second.
    pub fn new(when: Dispatch, prefix: usize, least: f64, began: f64) -> Hold {
        Hold { when, prefix, least: least / 1e3, began }
    }

    /// What to do now that so many bytes have come, or all.
    pub fn next(&self, came: usize, whole: bool, now: f64) -> Next {
        let enough = whole || came >= self.prefix;
        match self.when {
            Dispatch::Head => Next::Go,
            _ if !enough => Next::Wait,
            Dispatch::Prefix => Next::Go,
            Dispatch::Pace => {
                let span = now - self.began;
                let kept = whole || span < Hold::BELIEVED || came as f64 >= self.least * span;
                if kept { Next::Go } else { Next::GiveUp }
            }
        }
    }
}
