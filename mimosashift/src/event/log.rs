//! Writes events to a stream, from a thread of its own.

use std::io::{self, Write};

use slog::{BorrowedKV, Drain, LevelFilter, Record, RecordLocation, RecordStatic};
use slog_async::{Async, OverflowStrategy};

use super::Event;
use crate::settings::{Form, Log};

pub use slog::Logger;

/// Flushes the events still queued when it is dropped; keep it until the end.
pub type Guard = slog_async::AsyncGuard;

/// Events held while the stream is slow; further ones are dropped and counted.
const QUEUE_EVENTS: usize = 4_096;

/// A logger to the standard error stream.
pub fn logger(settings: &Log) -> (Logger, Guard) {
    logger_to(settings, io::stderr())
}

/// A logger to any stream.
///
/// A caller never waits for the stream: a full queue drops events and reports
/// how many.
pub fn logger_to<W: Write + Send + 'static>(settings: &Log, stream: W) -> (Logger, Guard) {
    match settings.form {
        Form::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(stream);
            let format = slog_term::FullFormat::new(decorator);
            queued(settings, format.use_utc_timestamp().use_original_order().build().fuse())
        }
        Form::Json => queued(settings, slog_json::Json::default(stream).fuse()),
    }
}

/// Logs an event; use [`emit!`](crate::emit), which adds the event's id.
pub fn write(logger: &Logger, event: Event, details: BorrowedKV<'_>) {
    let location = RecordLocation { file: "", line: 0, column: 0, function: "", module: "" };
    let head = RecordStatic { location: &location, tag: event.id(), level: event.level() };
    logger.log(&Record::new(&head, &format_args!("{}", event.message()), details));
}

fn queued<D>(settings: &Log, drain: D) -> (Logger, Guard)
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
