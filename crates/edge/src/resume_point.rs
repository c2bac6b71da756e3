//! Where a stream of events can be continued.

use crate::events::StreamEvent;

/// Where another server can continue a stream, so that the caller gets each event once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ResumePoint {
    /// At the beginning: the caller has no event with data.
    Start,
    /// After the event with this id, a number.
    After(u64),
    /// Nowhere: the caller has an event with data that no id names.
    Unknown,
}

impl ResumePoint {
    /// Moves the point behind an event that the caller has got.
    pub fn advance(&mut self, event: &StreamEvent) {
        match (event.number(), &event.id) {
            (Some(number), _) => *self = Self::After(number),
            (None, None) if !event.has_data => {}
            // Only increasing numbers tell which events of another server the caller has.
            _ => *self = Self::Unknown,
        }
    }

    /// Returns whether the caller has already got an event, as far as ids tell.
    pub fn is_past(&self, event: &StreamEvent) -> bool {
        matches!((self, event.number()), (Self::After(last), Some(number)) if number <= *last)
    }
}
