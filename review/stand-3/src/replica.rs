//! A replica of a plain service as a process of its own, so that it can be killed.
//!
//! It says on its standard output when it begins and ends each request. Its answers to
//! requests have no length and end with their channel.

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::Reader;
use crate::world::{answer, unix_ms};

/// Time between the two halves of an answer.
const WORK: Duration = Duration::from_millis(1_500);

/// The whole body of the answer to a request.
pub fn whole_body(id: &str) -> String {
    let items: Vec<_> =
        (1..=20).map(|n| format!("{{\"line\":{n},\"request\":\"{id}\"}}")).collect();
    format!("[{}]", items.join(","))
}

pub fn run(address: &str, id: &str) {
    let listener = TcpListener::bind(address).expect("the address of the replica is free");
    let born = unix_ms();
    println!("born {born}");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(stream, &id, born));
    }
}

fn serve(mut stream: TcpStream, instance: &str, born: u64) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = Reader::new(reading);
    while let Ok(Some(request)) = reader.message() {
        let own = format!("Instance-Id: {instance}\r\n");
        if request.target() == "/health" {
            let body = format!("{{\"born\":{born}}}");
            if !answer(&mut stream, 200, &own, body.as_bytes()) {
                return;
            }
            continue;
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("target-instance").is_some_and(|target| target != instance) {
            let headers = format!("{own}Request-Id: {id}\r\nNot-Executed: 1\r\n");
            if !answer(&mut stream, 421, &headers, b"") {
                return;
            }
            continue;
        }
        println!("runs {id} {}", request.start);
        let body = whole_body(&id);
        let (first, second) = body.split_at(body.len() / 2);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nRequest-Id: {id}\r\n\
             Response-Signature: sig.{id}\r\n\r\n"
        );
        if stream.write_all(format!("{head}{first}").as_bytes()).is_err() {
            return;
        }
        println!("half {id}");
        thread::sleep(WORK);
        if stream.write_all(second.as_bytes()).is_ok() {
            println!("whole {id}");
        }
        let _ = stream.shutdown(Shutdown::Both);
        return;
    }
}
