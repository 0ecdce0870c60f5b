//! The callers' HTTP: one task for each connection.

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
use crate::node::{Node, Requests};
use crate::request::admitted::AdmittedRequest;
use crate::request::claim::Submission;
use crate::request::inference::{ApiFormat, InferenceRequest};
use crate::request::relay;
use crate::request::response::{self, Body};
use crate::request::service;
use crate::request::token::StreamPosition;

/// Bytes that a waiting request holds beside its body.
const REQUEST_BYTES: usize = 2_048;
/// Time for which callers may keep the list of addresses.
const ENTRIES_LIFETIME: Duration = Duration::from_secs(5);

/// Accepts callers' connections for ever.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(node.settings.limits.connections));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors: give the connections that there are time to end.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let node = Arc::clone(&node);
        if let Ok(slot) = Arc::clone(&slots).try_acquire_owned() {
            tokio::spawn(async move {
                connection(node, stream).await;
                drop(slot);
            });
        } else {
            node.metrics.count("callers.refused_connection");
            tokio::spawn(refuse(stream));
        }
    }
}

async fn connection(node: Arc<Node>, stream: TcpStream) {
    let limits = &node.settings.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes)
        .pipeline_flush(true);
    let service = service_fn(|request| {
        let node = Arc::clone(&node);
        async move { Ok::<_, std::convert::Infallible>(respond(node, request).await) }
    });
    let served = builder
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if served.is_err_and(|e| e.is_parse() || e.is_timeout()) {
        node.metrics.count("callers.bad_connection");
    }
}

/// Tells a caller that there are too many connections. The write is short enough for the socket's
/// own buffer, so it can't hold anything up.
async fn refuse(stream: TcpStream) {
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

async fn respond(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let id = request.headers().get("x-request-id").cloned();
    let mut response = match route(&node, request).await {
        Ok(response) => response,
        Err(fault) => refused(&node, &fault),
    };
    if let Some(id) = id {
        response.headers_mut().insert("x-request-id", id);
    }
    if node.leaving() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn refused(node: &Arc<Node>, fault: &Fault) -> Response<Body> {
    let mut response = response::fault_response(fault);
    let other = node
        .membership
        .alive()
        .into_iter()
        .find(|f| f.id != node.settings.instance);
    let other = other.filter(|_| fault.kind == Kind::Draining);
    if let Some(Ok(value)) = other.map(|f| f.callers.to_string().parse()) {
        response.headers_mut().insert("x-try-address", value);
    }
    response
}

async fn route(node: &Arc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => Ok(ok(&json!({"status": "ok"}))),
        (&Method::GET, "/readyz") => ready(node),
        (&Method::GET, "/v1/entries") => entries(node, request.headers()),
        (&Method::GET, "/v1/models") => models(node, request.headers()),
        (&Method::POST, "/v1/chat/completions") => infer(node, ApiFormat::Chat, request).await,
        (&Method::POST, "/v1/completions") => infer(node, ApiFormat::Completion, request).await,
        (_, path) if path.starts_with("/services/") => plain(node, request).await,
        (
            _,
            "/healthz"
            | "/readyz"
            | "/v1/entries"
            | "/v1/models"
            | "/v1/chat/completions"
            | "/v1/completions",
        ) => Err(Fault::new(Kind::MethodNotAllowed, "not for this method")),
        _ => Err(Fault::new(Kind::NotFound, "no such path")),
    }
}

fn ok(body: &serde_json::Value) -> Response<Body> {
    response::json_response(StatusCode::OK, body.to_string().into())
}

fn ready(node: &Arc<Node>) -> Result<Response<Body>, Fault> {
    match (node.leaving(), node.changelog.catalogue().number()) {
        (true, _) => Err(draining()),
        (false, 0) => Err(Fault::new(Kind::NoBackendServer, "no configuration yet")),
        (false, number) => Ok(ok(&json!({"status": "ready", "config": number}))),
    }
}

fn draining() -> Fault {
    Fault::new(
        Kind::Draining,
        "this instance is leaving; use another address",
    )
    .retry_after(Duration::from_secs(1))
}

fn entries(node: &Arc<Node>, headers: &HeaderMap) -> Result<Response<Body>, Fault> {
    authenticate(&node.changelog.catalogue(), headers)?;
    Ok(ok(&entries_json(node)))
}

/// The addresses that callers may use, with weights and a lifetime.
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
    json!({"entries": entries, "lifetime_ms": ENTRIES_LIFETIME.as_secs() * 1_000})
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
    Ok(ok(&json!({"object": "list", "data": models})))
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
        .ok_or_else(|| Fault::new(Kind::Unauthorized, "a valid key is needed"))
}

fn choose_class<'a>(
    catalogue: &'a Catalogue,
    organisation: &Organisation,
    headers: &HeaderMap,
) -> Result<&'a Class, Fault> {
    let named = match headers.get("x-class").map(|v| v.to_str()) {
        None => None,
        Some(Ok(name)) => Some(SmolStr::from(name)),
        Some(Err(_)) => return Err(Fault::new(Kind::UnknownClass, "the class isn't text")),
    };
    let default = organisation
        .default_class
        .as_ref()
        .or(organisation.classes.first());
    let name = named.as_ref().or(default);
    let name = name.ok_or_else(|| Fault::new(Kind::UnknownClass, "no class is named"))?;
    let class = catalogue
        .class(name)
        .ok_or_else(|| Fault::new(Kind::UnknownClass, format!("there is no class {name}")))?;
    if organisation.classes.contains(name) {
        Ok(class)
    } else {
        Err(Fault::new(
            Kind::ClassForbidden,
            format!("your organisation may not use the class {name}"),
        ))
    }
}

/// Whether the caller says that it has not submitted the request before.
fn is_first(headers: &HeaderMap) -> bool {
    headers.get("x-submission").is_some_and(|v| v == "first")
}

fn submission(class: &Class, headers: &HeaderMap) -> Result<Option<Submission>, Fault> {
    if class.idempotent {
        return Ok(None);
    }
    let text = headers.get("idempotency-key").and_then(|v| v.to_str().ok());
    let key = text.and_then(|t| Uuid::try_parse(t).ok());
    match key.filter(|k| claims::key_ms(k).is_some()) {
        Some(key) => Ok(Some(Submission {
            key,
            first: is_first(headers),
        })),
        None => Err(Fault::new(
            Kind::KeyRequired,
            format!(
                "the class {} needs a UUIDv7 in the header idempotency-key",
                class.name
            ),
        )),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Instant>, Fault> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    let ms = value.to_str().ok().and_then(|v| v.parse::<u32>().ok());
    match ms {
        Some(ms) => Ok(Some(Instant::now() + Duration::from_millis(ms.into()))),
        None => Err(Fault::new(
            Kind::BadRequest,
            "x-deadline-ms isn't a number of milliseconds",
        )),
    }
}

/// Checks who asks for what, and makes the request's work for a pool.
fn admit(
    node: &Arc<Node>,
    headers: &HeaderMap,
    pool: Arc<Pool>,
    bytes: usize,
    prefix_hash: u64,
) -> Result<AdmittedRequest, Fault> {
    let catalogue = node.changelog.catalogue();
    let organisation = authenticate(&catalogue, headers)?;
    let class = choose_class(&catalogue, organisation, headers)?;
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
            bytes: bytes + REQUEST_BYTES,
            cost: 1,
            partial: false,
        },
        prefix_hash,
        first_token_target: class.first_token_ms.map(Duration::from_millis),
        targeted: targets.iter().any(Option::is_some),
        starvation_bound: class.starvation(),
        max_wait: class.wait(),
        avoid: Vec::new(),
        prefer: None,
    };
    let in_flight = Requests::enter(node);
    if node.leaving() {
        return Err(draining());
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

/// A fault from before the request's key was looked at. The request may have run when it was submitted
/// earlier.
fn unlooked(headers: &HeaderMap, fault: Fault) -> Fault {
    if headers.contains_key("idempotency-key") && !is_first(headers) {
        fault.unsure()
    } else {
        fault
    }
}

async fn infer(
    node: &Arc<Node>,
    format: ApiFormat,
    request: Request<Incoming>,
) -> Result<Response<Body>, Fault> {
    let (head, body) = request.into_parts();
    let prepared = prepare_inference(node, format, &head, body).await;
    let (work, inference, position) = prepared.map_err(|f| unlooked(&head.headers, f))?;
    relay::serve(work, inference, position).await
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
        let message = format!("there is no model {}", inference.model);
        Fault::new(Kind::UnknownModel, message)
    })?;
    let position = match head.headers.get("last-event-id") {
        None => None,
        Some(token) => {
            let token = token.to_str().unwrap_or_default();
            Some(node.token_signer.verify(&organisation, token)?)
        }
    };
    let work = admit(node, &head.headers, pool, body.len(), inference.prefix_hash)?;
    Ok((work, inference, position))
}

async fn plain(node: &Arc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
    let (head, body) = request.into_parts();
    let prepared = prepare_plain(node, &head, body).await;
    let (work, request) = prepared.map_err(|f| unlooked(&head.headers, f))?;
    service::serve(work, request).await
}

async fn prepare_plain(
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
        .ok_or_else(|| Fault::new(Kind::UnknownService, format!("there is no service {name}")))?;
    let path = match head.uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let body = read_body(node, body).await?;
    let work = admit(node, &head.headers, pool, body.len(), 0)?;
    let request = service::Request {
        method: head.method.clone(),
        path,
        headers: head.headers.clone(),
        body,
    };
    Ok((work, request))
}

async fn read_body(node: &Arc<Node>, body: Incoming) -> Result<Bytes, Fault> {
    let limits = &node.settings.limits;
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let collect = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(timeout, collect).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Fault::new(
            Kind::BodyTooLarge,
            format!("the body is over {} bytes", limits.body_bytes),
        )),
        Ok(Err(error)) => Err(Fault::new(
            Kind::BadRequest,
            format!("the body broke off: {error}"),
        )),
        Err(_) => Err(Fault::new(
            Kind::CallerTooSlow,
            "the body took too long to arrive",
        )),
    }
}
