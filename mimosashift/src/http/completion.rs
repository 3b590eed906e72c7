//! Requests and responses of the completions API.
//!
//! Only the fields that routing needs are read; others are ignored and the
//! engine's defaults apply, so that existing clients work unchanged. See
//! `docs/API.md`.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::resource::Name;

/// Maximum number of generated tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Longest prompt, in tokens.
const MAX_PROMPT_TOKENS: usize = 131_072;

quick_error! {
    /// Reason why a body is not a valid completion request.
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

/// Kind of completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A validated completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The API that was called.
    pub kind: CompletionKind,
    /// The model name in the request.
    pub model: String,
    /// The adapter, if any.
    pub adapter: Option<Name>,
    /// Prompt as token ids.
    pub prompt: Vec<u32>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are streamed as they are generated.
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

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FinishReason {
    /// The model produced the stop token.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
}

/// Encodes the response to one request, whole or as a stream.
#[derive(Clone, Debug)]
pub struct Writer {
    kind: CompletionKind,
    id: String,
    model: String,
    created: u64,
}

impl Completion {
    /// Decodes and validates the body of a completion request.
    pub fn decode(kind: CompletionKind, body: &[u8]) -> Result<Self, Error> {
        let wire: Wire =
            serde_json::from_slice(body).map_err(|e| Error::Malformed(e.to_string()))?;
        if wire.n.is_some_and(|n| n != 1) {
            return Err(Error::Invalid { field: "n", rule: "1" });
        }
        let prompt = match (kind, wire.prompt, wire.messages) {
            (CompletionKind::Text, Some(Prompt::Text(text)), _) => encode_text(&text),
            (CompletionKind::Text, Some(Prompt::Tokens(tokens)), _) => tokens,
            (CompletionKind::Chat, _, Some(messages)) => encode_text(&chat_text(&messages)),
            (CompletionKind::Text, None, _) => {
                return Err(Error::Invalid { field: "prompt", rule: "a text or token ids" });
            }
            (CompletionKind::Chat, _, None) => {
                return Err(Error::Invalid { field: "messages", rule: "a list of messages" });
            }
        };
        if prompt.is_empty() || prompt.len() > MAX_PROMPT_TOKENS {
            return Err(Error::Invalid { field: "prompt", rule: "1 to 131072 tokens" });
        }
        let requested = wire.max_completion_tokens.or(wire.max_tokens);
        let max_tokens = requested.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(Error::Invalid { field: "max_tokens", rule: "greater than 0" });
        }
        let (model, adapter, stream) = (wire.model, wire.adapter, wire.stream);
        Ok(Self { kind, model, adapter, prompt, max_tokens, stream })
    }
}

impl Writer {
    /// A writer of a response with the given id, model and Unix time in seconds.
    pub fn new(kind: CompletionKind, id: &str, model: &str, created: u64) -> Self {
        Self { kind, id: id.to_owned(), model: model.to_owned(), created }
    }

    /// The complete response as JSON, with the numbers of prompt and completion
    /// tokens.
    pub fn full_response(
        &self,
        text: &str,
        reason: FinishReason,
        prompt: usize,
        tokens: usize,
    ) -> Vec<u8> {
        let (object, choice) = match self.kind {
            CompletionKind::Text => ("text_completion", serde_json::json!({"text": text})),
            CompletionKind::Chat => {
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

    /// One server-sent event with the next chunk of text, or with the reason
    /// why generation ended.
    pub fn event(&self, text: &str, reason: Option<FinishReason>) -> String {
        let (object, choice) = match self.kind {
            CompletionKind::Text => ("text_completion", serde_json::json!({"text": text})),
            CompletionKind::Chat if reason.is_some() => {
                ("chat.completion.chunk", serde_json::json!({"delta": {}}))
            }
            CompletionKind::Chat => {
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
        reason: Option<FinishReason>,
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
/// Pipeline engines take token ids. `docs/ENGINE.md` explains why bytes serve
/// as the vocabulary until engines provide their own.
pub fn encode_text(text: &str) -> Vec<u32> {
    text.bytes().map(u32::from).collect()
}

/// Text of one token id; ids other than ASCII bytes become the replacement
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
