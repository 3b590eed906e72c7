//! The completions API as callers speak it.
//!
//! Only what routing needs is read; other fields are left to the engine's
//! defaults, so that ordinary clients work unchanged. See `docs/API.md`.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::resource::Name;

/// Tokens generated when the caller names no number.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Longest prompt, in tokens.
const MAX_PROMPT_TOKENS: usize = 131_072;

quick_error! {
    /// Why a body is not a completion request.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// Not JSON, or a field of the wrong type.
        Malformed(reason: String) {
            display("the body is not a completion request: {}", reason)
        }
        /// A field holds a value that is not allowed.
        Invalid { field: &'static str, rule: &'static str } {
            display("field {:?} must be {}", field, rule)
        }
    }
}

/// Which of the two completion calls is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A checked completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Which call it is.
    pub form: Form,
    /// The model as callers name it.
    pub model: String,
    /// The adapter, if named.
    pub adapter: Option<Name>,
    /// Prompt as token ids.
    pub prompt: Vec<u32>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are sent as they come.
    pub stream: bool,
}

#[derive(Deserialize)]
struct Wire {
    model: String,
    #[serde(default)]
    adapter: Option<Name>,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Tokens(Vec<u32>),
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Reason {
    /// The model ended it.
    Stop,
    /// The number of tokens asked for was reached.
    Length,
}

/// Writes the parts of one answer.
#[derive(Clone, Debug)]
pub struct Writer {
    form: Form,
    id: String,
    model: String,
    created: u64,
}

impl Completion {
    /// Reads the body of a completion call.
    pub fn decode(form: Form, body: &[u8]) -> Result<Self, Error> {
        let wire: Wire =
            serde_json::from_slice(body).map_err(|e| Error::Malformed(e.to_string()))?;
        if wire.n.is_some_and(|n| n != 1) {
            return Err(Error::Invalid { field: "n", rule: "1" });
        }
        let prompt = match (form, wire.prompt, wire.messages) {
            (Form::Text, Some(Prompt::Text(text)), _) => encode_text(&text),
            (Form::Text, Some(Prompt::Tokens(tokens)), _) => tokens,
            (Form::Chat, _, Some(messages)) => encode_text(&chat_text(&messages)),
            (Form::Text, None, _) => {
                return Err(Error::Invalid { field: "prompt", rule: "a text or token ids" });
            }
            (Form::Chat, _, None) => {
                return Err(Error::Invalid { field: "messages", rule: "a list of messages" });
            }
        };
        if prompt.is_empty() || prompt.len() > MAX_PROMPT_TOKENS {
            return Err(Error::Invalid { field: "prompt", rule: "1 to 131072 tokens" });
        }
        let asked = wire.max_completion_tokens.or(wire.max_tokens);
        let max_tokens = asked.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(Error::Invalid { field: "max_tokens", rule: "greater than 0" });
        }
        let (model, adapter, stream) = (wire.model, wire.adapter, wire.stream);
        Ok(Self { form, model, adapter, prompt, max_tokens, stream })
    }
}

impl Writer {
    /// A writer of the answer with the given id, model and Unix time.
    pub fn new(form: Form, id: &str, model: &str, created: u64) -> Self {
        Self { form, id: id.to_owned(), model: model.to_owned(), created }
    }

    /// The whole answer as JSON.
    pub fn whole(&self, text: &str, reason: Reason, prompt: usize, tokens: usize) -> Vec<u8> {
        let (object, choice) = match self.form {
            Form::Text => ("text_completion", serde_json::json!({"text": text})),
            Form::Chat => {
                let message = serde_json::json!({"role": "assistant", "content": text});
                ("chat.completion", serde_json::json!({"message": message}))
            }
        };
        let mut body = self.body(object, choice, Some(reason));
        body["usage"] = serde_json::json!({
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        });
        body.to_string().into_bytes()
    }

    /// One server-sent event with the next piece of text, or with the reason
    /// why the answer ended.
    pub fn event(&self, text: &str, reason: Option<Reason>) -> String {
        let (object, choice) = match self.form {
            Form::Text => ("text_completion", serde_json::json!({"text": text})),
            Form::Chat if reason.is_some() => {
                ("chat.completion.chunk", serde_json::json!({"delta": {}}))
            }
            Form::Chat => {
                let delta = serde_json::json!({"role": "assistant", "content": text});
                ("chat.completion.chunk", serde_json::json!({"delta": delta}))
            }
        };
        format!("data: {}\n\n", self.body(object, choice, reason))
    }

    fn body(
        &self,
        object: &str,
        mut choice: serde_json::Value,
        reason: Option<Reason>,
    ) -> serde_json::Value {
        choice["index"] = 0.into();
        choice["finish_reason"] = serde_json::json!(reason);
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

/// Token ids of a text: its bytes.
///
/// Staged engines take token ids; `docs/ENGINE.md` says why bytes are the
/// vocabulary until engines offer their own.
pub fn encode_text(text: &str) -> Vec<u32> {
    text.bytes().map(u32::from).collect()
}

/// Text of one token id; ids that are no ASCII byte become a replacement
/// character.
pub fn decode_token(token: u32) -> char {
    match u8::try_from(token) {
        Ok(byte) if byte.is_ascii() => char::from(byte),
        _ => char::REPLACEMENT_CHARACTER,
    }
}

fn chat_text(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        match &message.content {
            Content::Text(content) => text.push_str(content),
            Content::Parts(parts) => parts.iter().for_each(|part| text.push_str(&part.text)),
        }
        text.push('\n');
    }
    text
}
