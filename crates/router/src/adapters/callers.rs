//! HTTP API for callers, served with one task per connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;
use uuid::Uuid;

use crate::config::catalogue::Catalogue;
use crate::config::object::{self, Class, Organisation};
use crate::error::{Fault, Kind};
use crate::fleet::advertisement;
use crate::fleet::claims;
use crate::load::pool::{AdmissionRequest, Pool};
use crate::load::queue::RequestAttributes;
use crate::node::{InFlightRequests, Node};
use crate::request::admitted::AdmittedRequest;
use crate::request::claim::Submission;
use crate::request::inference::{ApiFormat, InferenceRequest};
use crate::request::relay;
use crate::request::response::{self, Body};
use crate::request::service;
use crate::request::token::StreamPosition;

/// Estimated memory of a queued request in addition to its body.
const REQUEST_OVERHEAD_BYTES: usize = 2_048;
/// Time for which callers may cache the list of instance addresses.
const ENTRIES_TTL: Duration = Duration::from_secs(5);

/// Accepts callers' connections until the task is aborted. Connections over the limit
/// `limits.connections` receive a 503 response and are closed.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(node.settings.limits.connections));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // `accept` fails when the process runs out of file descriptors. The delay lets open
            // connections finish before the next attempt.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let node = Arc::clone(&node);
        if let Ok(slot) = Arc::clone(&slots).try_acquire_owned() {
            tokio::spawn(async move {
                serve_connection(node, stream).await;
                drop(slot);
            });
        } else {
            node.metrics.count("callers.refused_connection");
            tokio::spawn(reject_connection(stream));
        }
    }
}

async fn serve_connection(node: Arc<Node>, stream: TcpStream) {
    let limits = &node.settings.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes)
        .pipeline_flush(true);
    let service = service_fn(|request| {
        let node = Arc::clone(&node);
        async move { Ok::<_, std::convert::Infallible>(handle_request(node, request).await) }
    });
    let served = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if served.is_err_and(|e| e.is_parse() || e.is_timeout()) {
        node.metrics.count("callers.bad_connection");
    }
}

/// Answers a connection over the limit with a 503 response. The response fits into the socket's send
/// buffer, so a caller that doesn't read can't block this task.
async fn reject_connection(stream: TcpStream) {
    let fault = Fault::new(Kind::TooManyConnections, "too many connections");
    let body = fault.body();
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.writable().await.is_ok() {
        let _ = stream.try_write(text.as_bytes());
    }
}

async fn handle_request(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let id = request.headers().get("x-request-id").cloned();
    let mut response = match route(&node, request).await {
        Ok(response) => response,
        Err(fault) => error_response(&node, &fault),
    };
    if let Some(id) = id {
        response.headers_mut().insert("x-request-id", id);
    }
    if node.is_draining() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Converts an error into a response. While the instance drains, the header `x-try-address` names another
/// instance that accepts requests.
fn error_response(node: &Arc<Node>, fault: &Fault) -> Response<Body> {
    let mut response = response::fault_response(fault);
    let alternative = node
        .membership
        .alive()
        .into_iter()
        .find(|f| f.id != node.settings.instance);
    let alternative = alternative.filter(|_| fault.kind == Kind::Draining);
    if let Some(Ok(value)) = alternative.map(|f| f.callers.to_string().parse()) {
        response.headers_mut().insert("x-try-address", value);
    }
    response
}

async fn route(node: &Arc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => Ok(ok_response(&json!({"status": "ok"}))),
        (&Method::GET, "/readyz") => readiness(node),
        (&Method::GET, "/v1/entries") => entries(node, request.headers()),
        (&Method::GET, "/v1/models") => models(node, request.headers()),
        (&Method::POST, "/v1/chat/completions") => {
            serve_inference(node, ApiFormat::Chat, request).await
        }
        (&Method::POST, "/v1/completions") => {
            serve_inference(node, ApiFormat::Completion, request).await
        }
        (_, path) if path.starts_with("/services/") => serve_service(node, request).await,
        (
            _,
            "/healthz"
            | "/readyz"
            | "/v1/entries"
            | "/v1/models"
            | "/v1/chat/completions"
            | "/v1/completions",
        ) => Err(Fault::new(
            Kind::MethodNotAllowed,
            "method not allowed for this path",
        )),
        _ => Err(Fault::new(Kind::NotFound, "path not found")),
    }
}

fn ok_response(body: &serde_json::Value) -> Response<Body> {
    response::json_response(StatusCode::OK, body.to_string().into())
}

fn readiness(node: &Arc<Node>) -> Result<Response<Body>, Fault> {
    match (node.is_draining(), node.changelog.catalogue().number()) {
        (true, _) => Err(draining_error()),
        (false, 0) => Err(Fault::new(
            Kind::NoBackendServer,
            "no configuration has been loaded yet",
        )),
        (false, number) => Ok(ok_response(&json!({"status": "ready", "config": number}))),
    }
}

fn draining_error() -> Fault {
    Fault::new(
        Kind::Draining,
        "this instance is draining; use another instance",
    )
    .retry_after(Duration::from_secs(1))
}

fn entries(node: &Arc<Node>, headers: &HeaderMap) -> Result<Response<Body>, Fault> {
    authenticate(&node.changelog.catalogue(), headers)?;
    Ok(ok_response(&entries_json(node)))
}

/// Lists the addresses of instances that callers may use as JSON, each with a weight, and the time in
/// milliseconds for which callers may cache the list. Instances in this data centre get a higher weight.
#[must_use]
pub fn entries_json(node: &Arc<Node>) -> serde_json::Value {
    let own = node.membership.own();
    let entries: Vec<_> = advertisement::select(node.membership.alive(), &own)
        .into_iter()
        .map(|f| {
            let weight = if f.data_centre == own.data_centre {
                10
            } else {
                1
            };
            json!({
                "instance": f.id,
                "address": f.callers.to_string(),
                "data_centre": f.data_centre,
                "weight": weight,
            })
        })
        .collect();
    json!({"entries": entries, "lifetime_ms": ENTRIES_TTL.as_secs() * 1_000})
}

fn models(node: &Arc<Node>, headers: &HeaderMap) -> Result<Response<Body>, Fault> {
    let catalogue = node.changelog.catalogue();
    authenticate(&catalogue, headers)?;
    let names: std::collections::BTreeSet<_> = catalogue
        .servers()
        .filter_map(|s| s.model.as_ref())
        .collect();
    let models: Vec<_> = names
        .iter()
        .map(|m| json!({"id": m, "object": "model"}))
        .collect();
    Ok(ok_response(&json!({"object": "list", "data": models})))
}

fn authenticate<'a>(
    catalogue: &'a Catalogue,
    headers: &HeaderMap,
) -> Result<&'a Organisation, Fault> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    key.and_then(|k| catalogue.organisation(&object::key_hash(k)))
        .ok_or_else(|| Fault::new(Kind::Unauthorized, "missing or invalid API key"))
}

/// Selects the class of a request: the one in the header `x-class`, otherwise the organisation's default
/// class, otherwise its first class.
fn select_class<'a>(
    catalogue: &'a Catalogue,
    organisation: &Organisation,
    headers: &HeaderMap,
) -> Result<&'a Class, Fault> {
    let requested = match headers.get("x-class").map(|v| v.to_str()) {
        None => None,
        Some(Ok(name)) => Some(SmolStr::from(name)),
        Some(Err(_)) => {
            return Err(Fault::new(
                Kind::UnknownClass,
                "the header x-class is not valid ASCII",
            ));
        }
    };
    let default = organisation
        .default_class
        .as_ref()
        .or(organisation.classes.first());
    let name = requested.as_ref().or(default);
    let name = name.ok_or_else(|| {
        Fault::new(
            Kind::UnknownClass,
            "the request names no class and the organisation has no default class",
        )
    })?;
    let class = catalogue
        .class(name)
        .ok_or_else(|| Fault::new(Kind::UnknownClass, format!("unknown class {name}")))?;
    if organisation.classes.contains(name) {
        Ok(class)
    } else {
        Err(Fault::new(
            Kind::ClassForbidden,
            format!("the organisation is not allowed to use the class {name}"),
        ))
    }
}

/// Whether the caller declares in `x-submission` that it has not submitted the request before.
fn is_first_submission(headers: &HeaderMap) -> bool {
    headers.get("x-submission").is_some_and(|v| v == "first")
}

/// Reads the idempotency key of a request; `None` for classes whose requests may run more than once.
fn submission(class: &Class, headers: &HeaderMap) -> Result<Option<Submission>, Fault> {
    if class.idempotent {
        return Ok(None);
    }
    let text = headers.get("idempotency-key").and_then(|v| v.to_str().ok());
    let key = text.and_then(|t| Uuid::try_parse(t).ok());
    match key.filter(|k| claims::key_ms(k).is_some()) {
        Some(key) => Ok(Some(Submission {
            key,
            first: is_first_submission(headers),
        })),
        None => Err(Fault::new(
            Kind::KeyRequired,
            format!(
                "the class {} requires a UUIDv7 in the header idempotency-key",
                class.name
            ),
        )),
    }
}

/// Reads the deadline of a request; `None` if the caller sets none.
fn deadline(headers: &HeaderMap) -> Result<Option<Instant>, Fault> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    let ms = value.to_str().ok().and_then(|v| v.parse::<u32>().ok());
    match ms {
        Some(ms) => Ok(Some(Instant::now() + Duration::from_millis(ms.into()))),
        None => Err(Fault::new(
            Kind::BadRequest,
            "the header x-deadline-ms is not a number of milliseconds",
        )),
    }
}

/// Authenticates a request, selects its class, and builds its admission request for `pool`. `bytes` is the
/// length of the body; `prefix_hash` is 0 for requests without prefix affinity.
fn admit(
    node: &Arc<Node>,
    headers: &HeaderMap,
    pool: Arc<Pool>,
    bytes: usize,
    prefix_hash: u64,
) -> Result<AdmittedRequest, Fault> {
    let catalogue = node.changelog.catalogue();
    let organisation = authenticate(&catalogue, headers)?;
    let class = select_class(&catalogue, organisation, headers)?;
    let targets = [
        class.first_token_ms,
        class.between_tokens_ms,
        class.answer_ms,
    ];
    let admission = AdmissionRequest {
        attributes: RequestAttributes {
            level: catalogue.level(class),
            class: class.name.clone(),
            organisation: organisation.name.clone(),
            share: organisation.share,
            bytes: bytes + REQUEST_OVERHEAD_BYTES,
            cost: 1,
            partial: false,
        },
        identity: Arc::default(),
        may_try: true,
        lost: None,
        prefix_hash,
        first_token_target: class.first_token_ms.map(Duration::from_millis),
        gap_target: None,
        latency_sensitive: targets.iter().any(Option::is_some),
        starvation_bound: class.starvation_bound(),
        max_wait: class.max_wait(),
        version: None,
        avoid: Vec::new(),
        prefer: None,
    };
    let in_flight = InFlightRequests::track(node);
    if node.is_draining() {
        return Err(draining_error());
    }
    Ok(AdmittedRequest {
        node: Arc::clone(node),
        pool,
        submission: submission(class, headers)?,
        deadline: deadline(headers)?,
        class: class.clone(),
        admission,
        in_flight: Some(in_flight),
    })
}

/// Marks an error that occurred before the idempotency key was checked. If this may not be the first
/// submission, an earlier one may have run.
fn before_key_check(headers: &HeaderMap, fault: Fault) -> Fault {
    if headers.contains_key("idempotency-key") && !is_first_submission(headers) {
        fault.possibly_run()
    } else {
        fault
    }
}

async fn serve_inference(
    node: &Arc<Node>,
    format: ApiFormat,
    request: Request<Incoming>,
) -> Result<Response<Body>, Fault> {
    let (head, body) = request.into_parts();
    let prepared = prepare_inference(node, format, &head, body).await;
    let (admitted, inference, position) =
        prepared.map_err(|f| before_key_check(&head.headers, f))?;
    relay::serve(admitted, inference, position).await
}

async fn prepare_inference(
    node: &Arc<Node>,
    format: ApiFormat,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<(AdmittedRequest, InferenceRequest, Option<StreamPosition>), Fault> {
    let catalogue = node.changelog.catalogue();
    let organisation = authenticate(&catalogue, &head.headers)?.name.clone();
    let body = read_body(node, body).await?;
    let inference = InferenceRequest::parse(format, &body)?;
    let name = object::model_pool(&inference.model);
    let pool = node.pools.get(&name).filter(|p| p.has_servers());
    let pool = pool.ok_or_else(|| {
        let message = format!("unknown model {}", inference.model);
        Fault::new(Kind::UnknownModel, message)
    })?;
    let position = match head.headers.get("last-event-id") {
        None => None,
        Some(token) => {
            let token = token.to_str().unwrap_or_default();
            Some(node.token_signer.verify(&organisation, token)?)
        }
    };
    let admitted = admit(node, &head.headers, pool, body.len(), inference.prefix_hash)?;
    Ok((admitted, inference, position))
}

async fn serve_service(
    node: &Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Fault> {
    let (head, body) = request.into_parts();
    let prepared = prepare_service(node, &head, body).await;
    let (admitted, request) = prepared.map_err(|f| before_key_check(&head.headers, f))?;
    service::serve(admitted, request).await
}

async fn prepare_service(
    node: &Arc<Node>,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<(AdmittedRequest, service::Request), Fault> {
    authenticate(&node.changelog.catalogue(), &head.headers)?;
    let rest = head.uri.path().trim_start_matches("/services/");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let pool = node
        .pools
        .get(&object::service_pool(name))
        .filter(|p| p.has_servers())
        .ok_or_else(|| Fault::new(Kind::UnknownService, format!("unknown service {name}")))?;
    let path = match head.uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let body = read_body(node, body).await?;
    let admitted = admit(node, &head.headers, pool, body.len(), 0)?;
    let request = service::Request {
        method: head.method.clone(),
        path,
        headers: head.headers.clone(),
        body,
    };
    Ok((admitted, request))
}

async fn read_body(node: &Arc<Node>, body: Incoming) -> Result<Bytes, Fault> {
    let limits = &node.settings.limits;
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let collect = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(timeout, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Fault::new(
            Kind::BodyTooLarge,
            format!(
                "the request body is larger than {} bytes",
                limits.body_bytes
            ),
        )),
        Ok(Err(error)) => Err(Fault::new(
            Kind::BadRequest,
            format!("the request body ended early: {error}"),
        )),
        Err(_) => Err(Fault::new(
            Kind::CallerTooSlow,
            "timed out while reading the request body",
        )),
    }
}
