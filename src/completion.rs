//! The OpenAI-compatible format of completions, as far as routers interpret it.
//!
//! All other fields are forwarded unchanged.

use crate::{api_error, bound};
use doorswitch_core::config;
use serde::Deserialize;
use serde_json::Value;

/// Fields that never become part of the prompt. Every other field counts towards the bound on the prompt's tokens.
const NON_PROMPT_FIELDS: [&str; 16] = [
    "model",
    "stream",
    "stream_options",
    "max_tokens",
    "max_completion_tokens",
    "temperature",
    "top_p",
    "n",
    "best_of",
    "seed",
    "stop",
    "user",
    "presence_penalty",
    "frequency_penalty",
    "logprobs",
    "priority",
];

/// The number of bytes at the beginning of a prompt by which requests with a common cached prefix are recognized.
const PREFIX_BYTES: usize = 256;

/// The endpoint that was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`: the prompt is a list of chat messages.
    Chat,
    /// `/v1/completions`: the prompt is one text.
    Text,
}

impl Endpoint {
    /// The path of the endpoint, the same at this router and at engines.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    /// The value of the field `object` in answers.
    fn object(self, streamed: bool) -> &'static str {
        match (self, streamed) {
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
            (Self::Text, _) => "text_completion",
        }
    }
}

/// A completion request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The endpoint that was called.
    pub endpoint: Endpoint,
    /// The name of the model.
    pub model: String,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Whether a stream is to end with the usage.
    pub include_usage: bool,
    /// The caller's limit on the tokens of the answer.
    pub max_tokens: Option<u64>,
    /// An upper bound on the tokens of the prompt.
    pub prompt_bound_tokens: u64,
    /// A digest of the model and the beginning of the prompt.
    pub prefix_hash: u64,
    body: serde_json::Map<String, Value>,
}

impl Request {
    /// Parses and validates the body of a request.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, api_error::ApiError> {
        let body: serde_json::Map<String, Value> =
            serde_json::from_slice(body).map_err(|error| {
                let message = format!("the body is not a JSON object: {error}");
                api_error::ApiError::invalid("invalid_json", message)
            })?;
        let model = body.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| invalid_field("model", "a string"))?.to_owned();
        check_prompt(endpoint, &body)?;
        let parts = prompt_parts(&body);
        check_single(&body, "n")?;
        check_single(&body, "best_of")?;
        Ok(Self {
            endpoint,
            model,
            stream: bool_field(&body, "stream")?,
            include_usage: body
                .get("stream_options")
                .and_then(|options| options.get("include_usage"))
                .and_then(Value::as_bool)
                .unwrap_or(false),
            max_tokens: max_tokens(&body)?,
            prompt_bound_tokens: bound::prompt_tokens(&parts),
            prefix_hash: prefix_hash(&prompt_beginning(&body)),
            body,
        })
    }

    /// The limit on the tokens of the answer: the caller's, or the service's if the caller set none.
    pub fn answer_tokens(&self, service: &config::Service) -> Result<u64, api_error::ApiError> {
        let service_max = service.answer_tokens_max;
        let requested = self.max_tokens.unwrap_or(service_max);
        if (1..=service_max).contains(&requested) {
            return Ok(requested);
        }
        let message =
            format!("max_tokens: {requested} is out of range (1 to {service_max} is allowed)");
        Err(api_error::ApiError::invalid("invalid_max_tokens", message))
    }

    /// The body of the request to an engine: it asks for a stream with the usage in every chunk, which resumes after
    /// `resume_from` tokens if that is not 0.
    pub fn upstream_body(&self, answer_tokens: u64, priority: u8, resume_from: u64) -> Value {
        let mut body = self.body.clone();
        body.insert("stream".to_owned(), true.into());
        let options = serde_json::json!({ "include_usage": true, "continuous_usage_stats": true });
        body.insert("stream_options".to_owned(), options);
        body.insert("max_tokens".to_owned(), answer_tokens.into());
        body.remove("max_completion_tokens");
        body.insert("priority".to_owned(), priority.into());
        if resume_from > 0 {
            body.insert("resume_from_token".to_owned(), resume_from.into());
        }
        Value::Object(body)
    }
}

/// A chunk of an engine's stream.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// The generated pieces; routers request one answer, so there is at most one.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// The tokens used so far.
    pub usage: Option<Usage>,
}

/// A piece of the answer in a chunk.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice {
    /// The piece of the message, at the chat endpoint.
    pub delta: Option<Delta>,
    /// The piece of text, at the text endpoint.
    pub text: Option<String>,
    /// Why the answer ended; set in its last chunk only.
    pub finish_reason: Option<String>,
}

/// A piece of a chat message.
#[derive(Clone, Debug, Deserialize)]
pub struct Delta {
    /// The text of the piece.
    pub content: Option<String>,
}

/// The tokens that a request used.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of tokens in the answer so far.
    pub completion_tokens: u64,
}

impl Chunk {
    /// The concatenated text of all choices in the chunk.
    pub fn text(&self) -> String {
        let texts = self.choices.iter().filter_map(|choice| {
            let delta = choice.delta.as_ref().and_then(|delta| delta.content.as_deref());
            delta.or(choice.text.as_deref())
        });
        texts.collect()
    }

    /// Why the answer ended, if this is its last chunk.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices.iter().find_map(|choice| choice.finish_reason.as_deref())
    }
}

/// The fields that all chunks of one answer have in common.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The id of the answer.
    pub id: String,
    /// The name of the model.
    pub model: String,
    /// The endpoint that was called.
    pub endpoint: Endpoint,
    /// When the answer started, in Unix seconds.
    pub created_s: u64,
}

impl Envelope {
    /// Formats a chunk with text for the caller as a server-sent event.
    pub fn chunk(&self, text: &str, finish_reason: Option<&str>) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat => serde_json::json!({
                "index": 0, "delta": { "content": text }, "finish_reason": finish_reason
            }),
            Endpoint::Text => serde_json::json!({
                "index": 0, "text": text, "finish_reason": finish_reason
            }),
        };
        event(&self.body(true, vec![choice], None))
    }

    /// Formats the chunk with the usage as a server-sent event.
    pub fn usage_chunk(&self, usage: Usage) -> String {
        event(&self.body(true, Vec::new(), Some(usage)))
    }

    /// The body of a complete answer that is not streamed.
    pub fn whole(&self, text: &str, finish_reason: &str, usage: Usage) -> Value {
        let choice = match self.endpoint {
            Endpoint::Chat => serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }),
            Endpoint::Text => serde_json::json!({
                "index": 0, "text": text, "finish_reason": finish_reason
            }),
        };
        self.body(false, vec![choice], Some(usage))
    }

    fn body(&self, streamed: bool, choices: Vec<Value>, usage: Option<Usage>) -> Value {
        let mut body = serde_json::json!({
            "id": self.id,
            "object": self.endpoint.object(streamed),
            "created": self.created_s,
            "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            body["usage"] = serde_json::json!({
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            });
        }
        body
    }
}

/// Formats a JSON value as a server-sent event.
pub fn event(body: &Value) -> String {
    format!("data: {body}\n\n")
}

/// The event that ends a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// Checks that the field with the prompt is present and has the right type.
fn check_prompt(
    endpoint: Endpoint,
    body: &serde_json::Map<String, Value>,
) -> Result<(), api_error::ApiError> {
    let (key, type_matches, expected) = match endpoint {
        Endpoint::Text => ("prompt", body.get("prompt").map(Value::is_string), "a string"),
        Endpoint::Chat => ("messages", body.get("messages").map(Value::is_array), "an array"),
    };
    if type_matches == Some(true) { Ok(()) } else { Err(invalid_field(key, expected)) }
}

/// Everything that may become part of the prompt: each message, and each other field that is not excluded.
fn prompt_parts(body: &serde_json::Map<String, Value>) -> Vec<String> {
    let mut parts = Vec::new();
    for (key, value) in body.iter().filter(|(key, _)| !NON_PROMPT_FIELDS.contains(&key.as_str())) {
        match value.as_array().filter(|_| key == "messages") {
            Some(messages) => parts.extend(messages.iter().map(Value::to_string)),
            None => parts.push(value.to_string()),
        }
    }
    parts
}

fn max_tokens(body: &serde_json::Map<String, Value>) -> Result<Option<u64>, api_error::ApiError> {
    let limit = body.get("max_completion_tokens").or_else(|| body.get("max_tokens"));
    match limit {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            let number = value.as_u64();
            number.map(Some).ok_or_else(|| {
                let message = format!("max_tokens: {value} is not a whole number above 0");
                api_error::ApiError::invalid("invalid_max_tokens", message)
            })
        }
    }
}

fn bool_field(
    body: &serde_json::Map<String, Value>,
    key: &'static str,
) -> Result<bool, api_error::ApiError> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(value) => value.as_bool().ok_or_else(|| invalid_field(key, "true or false")),
    }
}

/// Refuses requests for several answers to one prompt, which could cost more than the computed bound.
fn check_single(
    body: &serde_json::Map<String, Value>,
    key: &'static str,
) -> Result<(), api_error::ApiError> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(value) => {
            let message = format!("{key}: {value} is not supported (1 is allowed)");
            Err(api_error::ApiError::invalid("unsupported", message))
        }
    }
}

fn invalid_field(key: &str, expected: &str) -> api_error::ApiError {
    api_error::ApiError::invalid("invalid_field", format!("{key}: {expected} is required"))
}

/// The model and the first bytes of the prompt, with which an engine's cached prefix begins.
fn prompt_beginning(body: &serde_json::Map<String, Value>) -> Vec<u8> {
    let fields = ["model", "prompt", "messages"].into_iter().filter_map(|key| body.get(key));
    let text: String = fields.map(Value::to_string).collect();
    text.bytes().take(PREFIX_BYTES).collect()
}

fn prefix_hash(beginning: &[u8]) -> u64 {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(beginning);
    digest.iter().take(8).fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}
