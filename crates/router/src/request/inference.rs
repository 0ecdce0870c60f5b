//! Requests and answers in the `OpenAI` format.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use smol_str::SmolStr;

use crate::config::object::Level;
use crate::error::{Fault, Kind};
use crate::rendezvous;

/// Bytes of a prompt's beginning that decide which server likely caches it.
const PREFIX_BYTES: usize = 256;

/// Which of the two request shapes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiFormat {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

impl ApiFormat {
    /// The path of the format.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }
}

/// A request for an answer from a model.
#[derive(Clone, Debug)]
pub struct InferenceRequest {
    /// The format.
    pub format: ApiFormat,
    /// The model's name.
    pub model: SmolStr,
    /// Whether the caller wants its answer token by token.
    pub stream: bool,
    /// Whether the caller asked for the usage in its stream.
    pub usage: bool,
    /// Whether an answer can be continued on another engine from its text alone.
    pub continuable: bool,
    /// Text that the caller has already, when it reconnects.
    pub received: String,
    /// Hash of the prompt's beginning.
    pub prefix_hash: u64,
    body: Map<String, Value>,
}

/// One piece of an answer.
#[derive(Debug, Deserialize)]
pub struct Chunk<'a> {
    /// The id that the engine echoes.
    #[serde(borrow, default)]
    pub id: Cow<'a, str>,
    /// The alternatives; one, unless the caller asked for more.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// The token counts, in the last chunk.
    #[serde(default)]
    pub usage: Option<Value>,
}

/// One alternative of a piece.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// What a chat answer grows by.
    #[serde(default)]
    pub delta: Delta,
    /// What a plain answer grows by.
    #[serde(default)]
    pub text: Option<String>,
    /// Why the answer is over, if it is.
    #[serde(default)]
    pub finish_reason: Option<SmolStr>,
}

/// What a chat answer grows by.
#[derive(Debug, Default, Deserialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

impl Chunk<'_> {
    /// The text by which the answer grows.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        let choice = self.choices.first()?;
        choice.text.as_deref().or(choice.delta.content.as_deref())
    }

    /// Why the answer is over, if it is.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&SmolStr> {
        self.choices.first()?.finish_reason.as_ref()
    }
}

impl InferenceRequest {
    /// Reads a caller's body.
    ///
    /// # Errors
    /// `bad_request` with what is missing or wrong.
    pub fn parse(format: ApiFormat, bytes: &[u8]) -> Result<Self, Fault> {
        let mut body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|e| bad(format!("the body isn't a JSON object: {e}")))?;
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| bad("`model` is missing or not a string"))?
            .into();
        let prompt = match format {
            ApiFormat::Chat => body.get("messages").filter(|m| m.is_array()),
            ApiFormat::Completion => body.get("prompt").filter(|p| p.is_string()),
        };
        let prompt = prompt.ok_or_else(|| match format {
            ApiFormat::Chat => bad("`messages` is missing or not a list"),
            ApiFormat::Completion => bad("`prompt` is missing or not a string"),
        })?;
        let text = prompt.to_string();
        let prefix_hash = rendezvous::hash(&text.as_bytes()[..text.len().min(PREFIX_BYTES)]);
        let received = match body.remove("received") {
            None => String::new(),
            Some(Value::String(text)) => text,
            Some(_) => return Err(bad("`received` isn't a string")),
        };
        let usage = body
            .get("stream_options")
            .and_then(|o| o.get("include_usage"))
            .is_some_and(|v| v == &Value::Bool(true));
        let single = body.get("n").is_none_or(|n| n == &json!(1));
        let plain = ["tools", "functions", "logprobs", "response_format"];
        Ok(Self {
            format,
            model,
            stream: body.get("stream") == Some(&Value::Bool(true)),
            usage,
            continuable: single && !plain.iter().any(|k| body.contains_key(*k)),
            received,
            prefix_hash,
            body,
        })
    }

    /// The body for a backend server: a stream with `priority`, continuing after `text` of `tokens`.
    #[must_use]
    pub fn body(&self, priority: Level, text: &str, tokens: u64) -> Bytes {
        let mut body = self.body.clone();
        body.insert("stream".into(), Value::Bool(true));
        body.insert("stream_options".into(), json!({"include_usage": true}));
        body.insert("priority".into(), json!(priority));
        if tokens > 0 {
            self.extend(&mut body, text);
            for key in ["max_tokens", "max_completion_tokens"] {
                if let Some(limit) = body.get(key).and_then(Value::as_u64) {
                    body.insert(key.into(), json!(limit.saturating_sub(tokens).max(1)));
                }
            }
        }
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    fn extend(&self, body: &mut Map<String, Value>, text: &str) {
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

    /// A whole answer made of its text.
    #[must_use]
    pub fn whole(&self, id: &str, text: &str, finish: &str, usage: Option<&Value>) -> Bytes {
        let choice = match self.format {
            ApiFormat::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            ApiFormat::Completion => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.format {
            ApiFormat::Chat => "chat.completion",
            ApiFormat::Completion => "text_completion",
        };
        let answer = json!({
            "id": id,
            "object": object,
            "created": crate::config::changelog::now_ms() / 1_000,
            "model": self.model,
            "choices": [choice],
            "usage": usage.map(with_total),
        });
        answer.to_string().into()
    }
}

/// Usage with the sum of its parts, which backend servers may leave out.
fn with_total(usage: &Value) -> Value {
    let mut usage = usage.clone();
    let part = |name| usage.get(name).and_then(Value::as_u64);
    let total = match (part("prompt_tokens"), part("completion_tokens")) {
        (Some(prompt), Some(completion)) => prompt + completion,
        _ => return usage,
    };
    if let Some(fields) = usage.as_object_mut() {
        fields.entry("total_tokens").or_insert(json!(total));
    }
    usage
}

fn bad(message: impl Into<String>) -> Fault {
    Fault::new(Kind::BadRequest, message)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn continuation_carries_text_and_smaller_limit() {
        let body = br#"{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"hi"}]}"#;
        let inference = InferenceRequest::parse(ApiFormat::Chat, body).expect("valid");

        let next = inference.body(2, " a b c", 3);

        let next: Value = serde_json::from_slice(&next).expect("JSON");
        assert_eq!(next["max_tokens"], 7);
        assert_eq!(next["priority"], 2);
        assert_eq!(next["messages"][1]["content"], " a b c");
        assert_eq!(next["continue_final_message"], true);
    }

    #[test]
    fn a_whole_answer_tells_the_sum_of_its_tokens() {
        let body = br#"{"model":"m","messages":[]}"#;
        let inference = InferenceRequest::parse(ApiFormat::Chat, body).expect("valid");
        let usage = json!({"prompt_tokens": 3, "completion_tokens": 4});

        let answer = inference.whole("jt-1", "a b", "stop", Some(&usage));

        let answer: Value = serde_json::from_slice(&answer).expect("JSON");
        assert_eq!(answer["usage"]["total_tokens"], 7);
    }

    #[test]
    fn missing_model_is_named() {
        let fault = InferenceRequest::parse(ApiFormat::Chat, b"{}").expect_err("no model");

        assert!(fault.message.contains("model"), "{fault}");
    }
}
