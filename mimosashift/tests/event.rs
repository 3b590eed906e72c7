//! The event catalogue and the logger.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use mimosashift::emit;
use mimosashift::event::{self, Event, Level};
use mimosashift::settings::{Form, Log};

const CATALOGUE: &str = include_str!("../../docs/EVENTS.md");

#[derive(Clone, Default)]
struct Stream(Arc<Mutex<Vec<u8>>>);

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn logged(form: Form, level: Level, emit: impl FnOnce(&event::Logger)) -> String {
    let stream = Stream::default();
    let (logger, guard) = event::logger_to(&Log { form, level }, stream.clone());
    emit(&logger);
    drop(logger);
    drop(guard);
    String::from_utf8(stream.0.lock().unwrap().clone()).unwrap()
}

fn rows() -> Vec<[&'static str; 5]> {
    let row = |line: &'static str| {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        <[&str; 5]>::try_from(cells).unwrap_or_else(|cells| panic!("not five cells: {cells:?}"))
    };
    CATALOGUE.lines().filter(|line| line.starts_with("| MS")).map(row).collect()
}

#[test]
fn catalogue_and_table_agree() {
    let in_code = |event: &Event| {
        [event.id(), event.level().as_str(), event.message(), event.meaning()].map(str::to_owned)
    };
    let in_docs = |[id, level, message, meaning, _]: [&str; 5]| {
        [id, level, message, meaning].map(str::to_owned)
    };
    let code: Vec<_> = Event::ALL.iter().map(in_code).collect();
    let docs: Vec<_> = rows().into_iter().map(in_docs).collect();
    similar(&code, &docs);
    assert!(rows().iter().all(|row| !row[4].is_empty()));
}

fn similar(code: &[[String; 4]], docs: &[[String; 4]]) {
    for row in code {
        assert!(docs.contains(row), "not in docs/EVENTS.md: {row:?}");
    }
    for row in docs {
        assert!(code.contains(row), "not in the code: {row:?}");
    }
    assert_eq!(code.len(), docs.len());
}

#[test]
fn ids_rise_and_are_unique() {
    let ids: Vec<_> = Event::ALL.iter().map(|event| event.id()).collect();
    assert!(ids.windows(2).all(|pair| pair[0] < pair[1]), "{ids:?}");
    let well_formed =
        |id: &&str| id.len() == 6 && id.starts_with("MS0") && id[2..].parse::<u16>().is_ok();
    assert!(ids.iter().all(well_formed), "{ids:?}");
}

#[test]
fn json_line_carries_id_and_details() {
    let text = logged(Form::Json, Level::Info, |log| {
        emit!(log, Event::ConfigInstalled, "revision" => 7, "source" => "peer");
    });
    let line: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(line["event"], "MS0301");
    assert_eq!(line["msg"], "configuration installed");
    assert_eq!(line["revision"], 7);
    assert_eq!(line["source"], "peer");
}

#[test]
fn terminal_line_carries_id_and_details() {
    let text = logged(Form::Terminal, Level::Info, |log| {
        emit!(log, Event::MemberDead, "member" => "b");
    });
    assert!(text.contains("member dead") && text.contains("MS0403"), "{text}");
    assert!(text.contains("member: b"), "{text}");
}

#[test]
fn less_severe_events_are_left_out() {
    let text = logged(Form::Json, Level::Warning, |log| {
        emit!(log, Event::NodeReady);
        emit!(log, Event::MemberSuspect);
    });
    assert!(!text.contains("MS0102") && text.contains("MS0402"), "{text}");
}
