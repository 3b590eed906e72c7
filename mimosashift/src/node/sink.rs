//! Sends the response to a completion request, whole or as a stream.

use std::time::Instant;

use hyper::StatusCode;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE};

use super::outcome;
use crate::http::completion::{FinishReason, Writer, decode_token};
use crate::http::problem::Problem;
use crate::http::{Responder, Stream};
use crate::meter::Meter;
use crate::pipeline::Outcome;

/// Collects or streams the tokens of a response.
pub struct Sink<'a> {
    meter: &'a Meter,
    writer: Writer,
    state: State,
    text: String,
    tokens: usize,
    /// When the last token was added; before the first, when the request arrived.
    last_token_at: Instant,
}

enum State {
    /// Nothing is sent yet, so that a refusal can still set the HTTP status. A
    /// response that is not streamed stays here until its end.
    Pending { responder: Responder, stream: bool },
    /// The stream has started.
    Stream(Stream),
    /// Placeholder while `Pending` is replaced by `Stream`.
    Replacing,
}

impl<'a> Sink<'a> {
    /// A sink that has sent nothing yet.
    pub fn new(meter: &'a Meter, responder: Responder, writer: Writer, stream: bool) -> Self {
        let state = State::Pending { responder, stream };
        Self { meter, writer, state, text: String::new(), tokens: 0, last_token_at: Instant::now() }
    }

    /// Number of tokens so far.
    pub const fn tokens(&self) -> usize {
        self.tokens
    }

    /// Whether the caller has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        match &self.state {
            State::Pending { responder, .. } => responder.is_disconnected(),
            State::Stream(stream) => stream.is_disconnected(),
            State::Replacing => true,
        }
    }

    /// Adds the next token; returns false if the caller has disconnected.
    pub fn push(&mut self, token: u32) -> bool {
        self.count_token();
        let text = decode_token(token);
        match &mut self.state {
            State::Pending { responder, stream: false } => {
                self.text.push(text);
                !responder.is_disconnected()
            }
            State::Pending { .. } => self.start_stream().write(text),
            State::Stream(_) | State::Replacing => self.write(text),
        }
    }

    fn count_token(&mut self) {
        let interval = self.last_token_at.elapsed().as_secs_f64();
        self.last_token_at = Instant::now();
        if self.tokens == 0 {
            self.meter.first_token(interval);
        } else {
            self.meter.inter_token(interval);
        }
        self.tokens += 1;
        self.meter.tokens(1);
    }

    /// Starts the stream.
    fn start_stream(&mut self) -> &mut Self {
        let headers = [(CONTENT_TYPE, "text/event-stream"), (CACHE_CONTROL, "no-cache")];
        if let State::Pending { responder, .. } =
            std::mem::replace(&mut self.state, State::Replacing)
        {
            self.state = State::Stream(responder.stream(&headers));
        }
        self
    }

    fn write(&mut self, text: char) -> bool {
        let State::Stream(stream) = &mut self.state else { return false };
        stream.write(self.writer.event(text.encode_utf8(&mut [0; 4]), None)).is_ok()
    }

    /// Ends the response according to the outcome.
    pub fn finish(mut self, outcome: &Outcome, prompt: usize, max_tokens: usize) {
        if let Some(problem) = outcome::problem(outcome) {
            return self.refuse(&problem);
        }
        if *outcome == Outcome::Cancelled {
            return;
        }
        let reason =
            if self.tokens < max_tokens { FinishReason::Stop } else { FinishReason::Length };
        if matches!(self.state, State::Pending { stream: true, .. }) {
            self.start_stream();
        }
        match self.state {
            State::Pending { responder, .. } => {
                let body = self.writer.full_response(&self.text, reason, prompt, self.tokens);
                responder.json(StatusCode::OK, body);
            }
            State::Stream(mut stream) => {
                let last = stream.write(self.writer.event("", Some(reason)));
                if last.and_then(|()| stream.write("data: [DONE]\n\n")).is_ok() {
                    stream.finish();
                }
            }
            State::Replacing => {}
        }
    }

    /// Responds with a problem; a started stream is truncated after it.
    pub fn refuse(self, problem: &Problem) {
        match self.state {
            State::Pending { responder, .. } => responder.problem(problem),
            State::Stream(mut stream) => {
                let body = String::from_utf8_lossy(&problem.to_json()).into_owned();
                let _ = stream.write(format!("data: {body}\n\n"));
            }
            State::Replacing => {}
        }
    }
}
