//! Inference requests and responses in the formats of the `OpenAI` API.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use smol_str::SmolStr;

use crate::config::object::Level;
use crate::error::{Fault, Kind};
use crate::rendezvous;

/// Length of the prompt prefix, in bytes, that is hashed for prefix affinity: the backend server
/// that ran a prompt with the same prefix likely has it cached.
const PREFIX_BYTES: usize = 256;

/// The supported request and response formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiFormat {
    /// Chat messages: `/v1/chat/completions`.
    Chat,
    /// Continuation of a prompt: `/v1/completions`.
    Completion,
}

impl ApiFormat {
    /// Path of the API with this format, at the router and at backend servers alike.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

/// A parsed request for a completion by a model.
#[derive(Clone, Debug)]
pub struct InferenceRequest {
    /// Format of the request, and of its response.
    pub format: ApiFormat,
    /// Name of the model.
    pub model: SmolStr,
    /// Whether the caller asked for an event stream instead of one JSON response.
    pub stream: bool,
    /// Whether the caller asked for the chunk with the token counts (`stream_options.include_usage`).
    pub include_usage: bool,
    /// Whether another backend server can continue the response from its text alone: false for several
    /// choices, tools, log probabilities and response formats.
    pub continuable: bool,
    /// Text that a resuming caller has received already; empty if it sent none.
    pub received: String,
    /// Hash of the prompt's prefix, for prefix affinity.
    pub prefix_hash: u64,
    /// The body without the router's own field `received`.
    body: Map<String, Value>,
}

/// One chunk of a streamed response.
#[derive(Debug, Deserialize)]
pub struct Chunk<'a> {
    /// Stream id, echoed by the backend server.
    #[serde(borrow, default)]
    pub id: Cow<'a, str>,
    /// The choices; empty in a chunk that only has the token counts.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Token counts, in the last chunk only.
    #[serde(default)]
    pub usage: Option<Value>,
}

/// The part of a chunk that belongs to one choice.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// New content, in the chat format.
    #[serde(default)]
    pub delta: Delta,
    /// New text, in the completion format.
    #[serde(default)]
    pub text: Option<String>,
    /// Why the response ended; `None` before its end.
    #[serde(default)]
    pub finish_reason: Option<SmolStr>,
}

/// New content of a chat message.
#[derive(Debug, Default, Deserialize)]
pub struct Delta {
    /// New text; `None` if the chunk has none.
    #[serde(default)]
    pub content: Option<String>,
}

impl Chunk<'_> {
    /// New text of the first choice, in either format.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        let choice = self.choices.first()?;
        choice.text.as_deref().or(choice.delta.content.as_deref())
    }

    /// Why the first choice ended; `None` before its end.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&SmolStr> {
        self.choices.first()?.finish_reason.as_ref()
    }
}

impl InferenceRequest {
    /// Parses a request body.
    ///
    /// # Errors
    /// `bad_request` with the field that is missing or has the wrong type.
    pub fn parse(format: ApiFormat, bytes: &[u8]) -> Result<Self, Fault> {
        let mut body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|e| bad_request(format!("the request body is not a JSON object: {e}")))?;
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| bad_request("`model` is missing or not a string"))?
            .into();
        let prompt = match format {
            ApiFormat::Chat => body.get("messages").filter(|m| m.is_array()),
            ApiFormat::Completion => body.get("prompt").filter(|p| p.is_string()),
        };
        let prompt = prompt.ok_or_else(|| match format {
            ApiFormat::Chat => bad_request("`messages` is missing or not an array"),
            ApiFormat::Completion => bad_request("`prompt` is missing or not a string"),
        })?;
        let text = prompt.to_string();
        let prefix_hash = rendezvous::hash(&text.as_bytes()[..text.len().min(PREFIX_BYTES)]);
        let received = match body.remove("received") {
            None => String::new(),
            Some(Value::String(text)) => text,
            Some(_) => return Err(bad_request("`received` is not a string")),
        };
        let include_usage = body
            .get("stream_options")
            .and_then(|o| o.get("include_usage"))
            .is_some_and(|v| v == &Value::Bool(true));
        let single_choice = body.get("n").is_none_or(|n| n == &json!(1));
        let unsupported = ["tools", "functions", "logprobs", "response_format"];
        Ok(Self {
            format,
            model,
            stream: body.get("stream") == Some(&Value::Bool(true)),
            include_usage,
            continuable: single_choice && !unsupported.iter().any(|k| body.contains_key(*k)),
            received,
            prefix_hash,
            body,
        })
    }

    /// Body of the request to a backend server, which always asks for a stream with token counts. The
    /// response continues after `text`, the `tokens` tokens that were generated already; with 0 tokens it
    /// starts from the prompt.
    #[must_use]
    pub fn backend_body(&self, priority: Level, text: &str, tokens: u64) -> Bytes {
        let mut body = self.body.clone();
        body.insert("stream".into(), Value::Bool(true));
        body.insert("stream_options".into(), json!({"include_usage": true}));
        body.insert("priority".into(), json!(priority));
        if tokens > 0 {
            self.append_generated(&mut body, text);
            for key in ["max_tokens", "max_completion_tokens"] {
                if let Some(limit) = body.get(key).and_then(Value::as_u64) {
                    body.insert(key.into(), json!(limit.saturating_sub(tokens).max(1)));
                }
            }
        }
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    fn append_generated(&self, body: &mut Map<String, Value>, text: &str) {
        match self.format {
            ApiFormat::Chat => {
                if let Some(Value::Array(messages)) = body.get_mut("messages") {
                    messages.push(json!({"role": "assistant", "content": text}));
                }
                body.insert("continue_final_message".into(), Value::Bool(true));
                body.insert("add_generation_prompt".into(), Value::Bool(false));
            }
            ApiFormat::Completion => {
                if let Some(Value::String(prompt)) = body.get_mut("prompt") {
                    prompt.push_str(text);
                }
            }
        }
    }

    /// Body of a complete response that was collected from a stream. `usage` is `None` if no backend
    /// server reported token counts.
    #[must_use]
    pub fn complete_response(
        &self,
        id: &str,
        text: &str,
        finish_reason: &str,
        usage: Option<&Value>,
    ) -> Bytes {
        let choice = match self.format {
            ApiFormat::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }),
            ApiFormat::Completion => {
                json!({"index": 0, "text": text, "finish_reason": finish_reason})
            }
        };
        let object = match self.format {
            ApiFormat::Chat => "chat.completion",
            ApiFormat::Completion => "text_completion",
        };
        let response = json!({
            "id": id,
            "object": object,
            "created": crate::config::changelog::now_ms() / 1_000,
            "model": self.model,
            "choices": [choice],
            "usage": usage.map(with_total_tokens),
        });
        response.to_string().into()
    }
}

/// Adds `total_tokens` to the token counts, as backend servers may omit it.
fn with_total_tokens(usage: &Value) -> Value {
    let mut usage = usage.clone();
    let count = |name| usage.get(name).and_then(Value::as_u64);
    let total = match (count("prompt_tokens"), count("completion_tokens")) {
        (Some(prompt), Some(completion)) => prompt + completion,
        _ => return usage,
    };
    if let Some(fields) = usage.as_object_mut() {
        fields.entry("total_tokens").or_insert(json!(total));
    }
    usage
}

fn bad_request(message: impl Into<String>) -> Fault {
    Fault::new(Kind::BadRequest, message)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn continuation_has_generated_text_and_reduced_token_limit() {
        let body = br#"{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"hi"}]}"#;
        let inference =
            InferenceRequest::parse(ApiFormat::Chat, body).expect("the request is valid");

        let body = inference.backend_body(2, " a b c", 3);

        let body: Value = serde_json::from_slice(&body).expect("the body is JSON");
        assert_eq!(body["max_tokens"], 7);
        assert_eq!(body["priority"], 2);
        assert_eq!(body["messages"][1]["content"], " a b c");
        assert_eq!(body["continue_final_message"], true);
    }

    #[test]
    fn complete_response_has_total_token_count() {
        let body = br#"{"model":"m","messages":[]}"#;
        let inference =
            InferenceRequest::parse(ApiFormat::Chat, body).expect("the request is valid");
        let usage = json!({"prompt_tokens": 3, "completion_tokens": 4});

        let response = inference.complete_response("jt-1", "a b", "stop", Some(&usage));

        let response: Value = serde_json::from_slice(&response).expect("the response is JSON");
        assert_eq!(response["usage"]["total_tokens"], 7);
    }

    #[test]
    fn error_for_missing_model_names_the_field() {
        let fault =
            InferenceRequest::parse(ApiFormat::Chat, b"{}").expect_err("the body has no model");

        assert!(fault.message.contains("model"), "fault: {fault}");
    }
}
