//! Tests of the event table and the logger.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use mimosashift::emit;
use mimosashift::event::{self, Event, Level};
use mimosashift::settings::{Format, Log};

const EVENTS_DOC: &str = include_str!("../../docs/EVENTS.md");

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_output(format: Format, level: Level, emit: impl FnOnce(&event::Logger)) -> String {
    let buffer = SharedBuffer::default();
    let (logger, guard) = event::logger_to(&Log { format, level }, buffer.clone());
    emit(&logger);
    drop(logger);
    drop(guard);
    String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap()
}

fn doc_rows() -> Vec<[&'static str; 5]> {
    let row = |line: &'static str| {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        <[&str; 5]>::try_from(cells).unwrap_or_else(|cells| panic!("not five cells: {cells:?}"))
    };
    EVENTS_DOC.lines().filter(|line| line.starts_with("| MS")).map(row).collect()
}

#[test]
fn docs_match_the_table() {
    let code_row = |event: &Event| {
        [event.id(), event.level().as_str(), event.message(), event.meaning()].map(str::to_owned)
    };
    let doc_row = |[id, level, message, meaning, _]: [&str; 5]| {
        [id, level, message, meaning].map(str::to_owned)
    };
    let code: Vec<_> = Event::ALL.iter().map(code_row).collect();
    let docs: Vec<_> = doc_rows().into_iter().map(doc_row).collect();
    assert_same_rows(&code, &docs);
    assert!(doc_rows().iter().all(|row| !row[4].is_empty()));
}

fn assert_same_rows(code: &[[String; 4]], docs: &[[String; 4]]) {
    for row in code {
        assert!(docs.contains(row), "not in docs/EVENTS.md: {row:?}");
    }
    for row in docs {
        assert!(code.contains(row), "not in the code: {row:?}");
    }
    assert_eq!(code.len(), docs.len());
}

#[test]
fn ids_are_sorted_and_unique() {
    let ids: Vec<_> = Event::ALL.iter().map(|event| event.id()).collect();
    assert!(ids.windows(2).all(|pair| pair[0] < pair[1]), "{ids:?}");
    let well_formed =
        |id: &&str| id.len() == 6 && id.starts_with("MS0") && id[2..].parse::<u16>().is_ok();
    assert!(ids.iter().all(well_formed), "{ids:?}");
}

#[test]
fn json_line_contains_id_and_details() {
    let text = log_output(Format::Json, Level::Info, |log| {
        emit!(log, Event::ConfigInstalled, "revision" => 7, "source" => "peer");
    });
    let line: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["event"], "MS0301");
    assert_eq!(line["msg"], "configuration installed");
    assert_eq!(line["revision"], 7);
    assert_eq!(line["source"], "peer");
}

#[test]
fn terminal_line_contains_id_and_details() {
    let text = log_output(Format::Terminal, Level::Info, |log| {
        emit!(log, Event::MemberDead, "member" => "b");
    });
    assert!(text.contains("member dead") && text.contains("MS0403"), "{text}");
    assert!(text.contains("member: b"), "{text}");
}

#[test]
fn events_below_the_log_level_are_omitted() {
    let text = log_output(Format::Json, Level::Warning, |log| {
        emit!(log, Event::NodeReady);
        emit!(log, Event::MemberSuspect);
    });
    assert!(!text.contains("MS0102") && text.contains("MS0402"), "{text}");
}
