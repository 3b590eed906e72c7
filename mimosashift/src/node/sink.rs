//! Sends the answer to a completion, whole or token by token.

use std::time::Instant;

use hyper::StatusCode;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE};

use super::outcome;
use crate::http::completion::{FinishReason, Writer, decode_token};
use crate::http::problem::Problem;
use crate::http::{Responder, Stream};
use crate::meter::Meter;
use crate::pipeline::Outcome;

/// Collects or streams an answer.
pub struct Sink<'a> {
    meter: &'a Meter,
    writer: Writer,
    to: To,
    text: String,
    tokens: usize,
    /// When the request arrived or the last token was sent.
    last: Instant,
}

enum To {
    /// An answer sent whole, or a stream that has not begun: a refusal can
    /// still have its own status.
    Pending { responder: Responder, stream: bool },
    /// A stream under way.
    Stream(Stream),
    /// Neither, while one becomes the other.
    Gone,
}

impl<'a> Sink<'a> {
    /// A sink that has sent nothing yet.
    pub fn new(meter: &'a Meter, responder: Responder, writer: Writer, stream: bool) -> Self {
        let to = To::Pending { responder, stream };
        Self { meter, writer, to, text: String::new(), tokens: 0, last: Instant::now() }
    }

    /// Tokens taken so far.
    pub const fn tokens(&self) -> usize {
        self.tokens
    }

    /// Whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        match &self.to {
            To::Pending { responder, .. } => responder.is_disconnected(),
            To::Stream(stream) => stream.is_disconnected(),
            To::Gone => true,
        }
    }

    /// Takes the next token; false when the caller has gone.
    pub fn push(&mut self, token: u32) -> bool {
        self.count_token();
        let text = decode_token(token);
        match &mut self.to {
            To::Pending { responder, stream: false } => {
                self.text.push(text);
                !responder.is_disconnected()
            }
            To::Pending { .. } => self.begin().write(text),
            To::Stream(_) | To::Gone => self.write(text),
        }
    }

    fn count_token(&mut self) {
        let gap = self.last.elapsed().as_secs_f64();
        self.last = Instant::now();
        if self.tokens == 0 {
            self.meter.first_token(gap);
        } else {
            self.meter.inter_token(gap);
        }
        self.tokens += 1;
        self.meter.tokens(1);
    }

    /// Starts the stream.
    fn begin(&mut self) -> &mut Self {
        let headers = [(CONTENT_TYPE, "text/event-stream"), (CACHE_CONTROL, "no-cache")];
        if let To::Pending { responder, .. } = std::mem::replace(&mut self.to, To::Gone) {
            self.to = To::Stream(responder.stream(&headers));
        }
        self
    }

    fn write(&mut self, text: char) -> bool {
        let To::Stream(stream) = &mut self.to else { return false };
        stream.write(self.writer.event(text.encode_utf8(&mut [0; 4]), None)).is_ok()
    }

    /// Ends the answer as its outcome says.
    pub fn finish(mut self, outcome: &Outcome, prompt: usize, max_tokens: usize) {
        if let Some(problem) = outcome::problem(outcome) {
            return self.refuse(&problem);
        }
        if *outcome == Outcome::Cancelled {
            return;
        }
        let reason =
            if self.tokens < max_tokens { FinishReason::Stop } else { FinishReason::Length };
        if matches!(self.to, To::Pending { stream: true, .. }) {
            self.begin();
        }
        match self.to {
            To::Pending { responder, .. } => {
                let body = self.writer.full_response(&self.text, reason, prompt, self.tokens);
                responder.json(StatusCode::OK, body);
            }
            To::Stream(mut stream) => {
                let last = stream.write(self.writer.event("", Some(reason)));
                if last.and_then(|()| stream.write("data: [DONE]\n\n")).is_ok() {
                    stream.finish();
                }
            }
            To::Gone => {}
        }
    }

    /// Answers with a problem; a stream under way is cut short after it.
    pub fn refuse(self, problem: &Problem) {
        match self.to {
            To::Pending { responder, .. } => responder.problem(problem),
            To::Stream(mut stream) => {
                let body = String::from_utf8_lossy(&problem.to_json()).into_owned();
                let _ = stream.write(format!("data: {body}\n\n"));
            }
            To::Gone => {}
        }
    }
}
