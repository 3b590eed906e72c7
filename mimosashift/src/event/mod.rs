//! Numbered log events, declared once with their level, message and meaning.
//!
//! `docs/EVENTS.md` is the operators' catalogue; a test holds it and the table
//! below together.

mod log;
mod table;

pub use log::{Guard, Logger, logger, logger_to, write};
pub use slog::Level;
pub use table::Event;

pub use crate::emit;

/// Logs an event with its details: `emit!(log, Event::NodeReady, "revision" => 7)`.
///
/// A detail's key must not be `event`, which carries the event's id.
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

/// The details of an event, see [`emit!`].
pub use slog::b as details;
