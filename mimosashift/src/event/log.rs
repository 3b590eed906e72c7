//! Writes events to a stream on a dedicated thread.

use std::io::{self, Write};

use slog::{BorrowedKV, Drain, LevelFilter, Record, RecordLocation, RecordStatic};
use slog_async::{Async, OverflowStrategy};

use super::Event;
use crate::settings::{Format, Log};

pub use slog::Logger;

/// Flushes the queued events when dropped; hold it until the process exits.
pub type Guard = slog_async::AsyncGuard;

/// Events queued while the stream is slow; further ones are dropped and counted.
const QUEUE_EVENTS: usize = 4_096;

/// Creates a logger that writes to standard error.
pub fn logger(settings: &Log) -> (Logger, Guard) {
    logger_to(settings, io::stderr())
}

/// Creates a logger that writes to `stream`.
///
/// Logging never blocks on the stream: when the queue is full, events are
/// dropped and their number is reported.
pub fn logger_to<W: Write + Send + 'static>(settings: &Log, stream: W) -> (Logger, Guard) {
    match settings.format {
        Format::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(stream);
            let format = slog_term::FullFormat::new(decorator);
            async_logger(settings, format.use_utc_timestamp().use_original_order().build().fuse())
        }
        Format::Json => async_logger(settings, slog_json::Json::default(stream).fuse()),
    }
}

/// Logs an event; [`emit!`](crate::emit) calls it and adds the event's id.
pub fn write(logger: &Logger, event: Event, details: BorrowedKV<'_>) {
    let location = RecordLocation { file: "", line: 0, column: 0, function: "", module: "" };
    let static_part = RecordStatic { location: &location, tag: event.id(), level: event.level() };
    logger.log(&Record::new(&static_part, &format_args!("{}", event.message()), details));
}

fn async_logger<D>(settings: &Log, drain: D) -> (Logger, Guard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (queue, guard) = Async::new(drain)
        .chan_size(QUEUE_EVENTS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("log".to_owned())
        .build_with_guard();
    let filter = LevelFilter::new(queue, settings.level);
    (Logger::root(filter.fuse(), slog::o!()), guard)
}
