//! Log events with stable ids, each declared with its level, message and meaning.
//!
//! `docs/EVENTS.md` documents them for operators; a test checks that it matches
//! the table in this module.

mod log;
mod table;

pub use log::{Guard, Logger, logger, logger_to, write};
pub use slog::Level;
pub use table::Event;

pub use crate::emit;

/// Logs an event with its details: `emit!(log, Event::NodeReady, "revision" => 7)`.
///
/// The key `event` is reserved for the event's id.
#[macro_export]
macro_rules! emit {
    ($logger:expr, $event:expr $(, $key:literal => $value:expr)* $(,)?) => {
        $crate::event::write(
            &$logger,
            $event,
            $crate::event::details!("event" => $event.id() $(, $key => $value)*),
        )
    };
}

/// Builds the key-value pairs of an event; see [`emit!`].
pub use slog::b as details;
