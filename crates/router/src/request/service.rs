//! Answers one request for a plain service.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header};
use tokio::sync::oneshot;

use crate::error::{Fault, Kind};
use crate::fleet::claims::Progress;
use crate::forward::connection_pool::{BackendResponse, Error};
use crate::load::pool::{Directive, Permit};
use crate::request::admitted::AdmittedRequest;
use crate::request::backend::{self, BackendRequest};
use crate::request::claim::{self, Claim};
use crate::request::execution::ExecutionTracker;
use crate::request::response::{self, Body};

/// Servers that one request may take.
const ATTEMPTS: u32 = 6;
/// Headers of a caller that are passed on to the service.
const PASSED: [header::HeaderName; 4] = [
    header::ACCEPT,
    header::CONTENT_TYPE,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_LANGUAGE,
];

/// A request for a plain service.
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query below the service's name.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

struct Run {
    admitted: AdmittedRequest,
    request: Request,
    claim: Option<Claim>,
    execution: ExecutionTracker,
}

/// Answers a request for a plain service; goes on to its end even if the caller goes away.
///
/// # Errors
/// The fault with which the request ended.
pub async fn serve(admitted: AdmittedRequest, request: Request) -> Result<Response<Body>, Fault> {
    let (reply, answer) = oneshot::channel();
    tokio::spawn(async move {
        let run = Run {
            admitted,
            request,
            claim: None,
            execution: ExecutionTracker::default(),
        };
        let _ = reply.send(run.run().await);
    });
    answer.await.unwrap_or_else(|_| {
        Err(Fault::new(
            Kind::Internal,
            "the request ended without an answer",
        ))
    })
}

impl Run {
    async fn run(mut self) -> Result<Response<Body>, Fault> {
        let _in_flight = self.admitted.in_flight.take();
        let result = self.drive().await;
        let claim = self.claim.take();
        let result = match result {
            Ok(response) => {
                if let Some(claim) = claim {
                    claim.settle(Progress::Complete);
                }
                Ok(response)
            }
            Err(fault) => {
                let (node, submission) = (&self.admitted.node, self.admitted.submission);
                Err(claim::truthful(
                    node,
                    submission,
                    claim,
                    self.execution.may_have_run(),
                    fault,
                )
                .await)
            }
        };
        let metrics = &self.admitted.node.metrics;
        metrics.count(
            result
                .as_ref()
                .map_or_else(|f| f.kind.answer().name, |_| "answer.complete"),
        );
        result
    }

    async fn drive(&mut self) -> Result<Response<Body>, Fault> {
        for _ in 0..ATTEMPTS {
            let mut admission = self.admitted.admission.clone();
            admission.attributes.partial = self.execution.may_have_run();
            let deadline = self
                .admitted
                .deadline
                .filter(|_| !self.execution.may_have_run());
            let permit = self.admitted.enter(admission, deadline).await?;
            if let (Some(submission), None) = (self.admitted.submission, &self.claim) {
                self.claim = Some(Claim::win(&self.admitted.node, submission).await?);
            }
            if let Some(response) = self.try_once(&permit).await? {
                return Ok(response);
            }
            self.admitted.admission.avoid.push(permit.server);
            if !self.admitted.pool.take_retry_token() {
                break;
            }
        }
        Err(
            Fault::new(Kind::NoBackendServer, "no backend server could be reached")
                .retry_after(Duration::from_secs(1)),
        )
    }

    /// One try; none when another is allowed.
    async fn try_once(&mut self, permit: &Permit) -> Result<Option<Response<Body>>, Fault> {
        let id = format!("jt-{}", uuid::Uuid::new_v4().simple());
        let call = self.call(permit, &id);
        self.execution.begin_attempt();
        if let Some(claim) = &mut self.claim {
            claim.dispatched = true;
        }
        permit.mark_started();
        let mut directive = permit.directive.clone();
        let limit = self.admitted.node.settings.limits.body_bytes;
        let exchange = async {
            let client = &self.admitted.node.backend_client;
            let mut answer = client.send(call, !self.admitted.class.idempotent).await?;
            let body = answer.collect(limit).await?;
            Ok((answer, body))
        };
        let result = tokio::select! {
            result = exchange => result,
            _ = directive.wait_for(|o| *o == Directive::ServerDown) => {
                Err(Error::NoAnswer("the server is down".into()))
            }
        };
        match result {
            Ok((answer, body)) => self.judge(permit, &id, answer, body),
            Err(Error::NotSent(_)) => {
                permit.record_failure(true);
                self.undispatched();
                Ok(None)
            }
            Err(Error::NoAnswer(reason)) => {
                permit.record_failure(false);
                self.again_or_unknown(&reason)
            }
        }
    }

    fn call(&self, permit: &Permit, id: &str) -> BackendRequest {
        let mut headers = HeaderMap::new();
        for name in PASSED {
            if let Some(value) = self.request.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        if let Ok(value) = HeaderValue::from_str(id) {
            headers.insert(backend::REQUEST_ID_HEADER, value);
        }
        if let Some(value) = self.request.headers.get("idempotency-key") {
            headers.insert("idempotency-key", value.clone());
        }
        BackendRequest {
            address: permit.declared.address,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers,
            body: self.request.body.clone(),
        }
    }

    fn judge(
        &mut self,
        permit: &Permit,
        id: &str,
        mut answer: BackendResponse,
        body: Bytes,
    ) -> Result<Option<Response<Body>>, Fault> {
        let head = &answer.head;
        let ran = head.headers.get(backend::RAN_HEADER);
        let not_run = ran.is_some_and(|v| v == "no");
        if not_run && head.status == StatusCode::SERVICE_UNAVAILABLE {
            self.undispatched();
            return Ok(None);
        }
        let echo = head.headers.get(backend::REQUEST_ID_HEADER);
        if echo.is_none_or(|e| e.as_bytes() != id.as_bytes()) {
            self.admitted.node.metrics.count("backend.crossed");
            log::warn!("server={} answer=crossed", permit.declared.name);
            permit.record_failure(false);
            return self.again_or_unknown("the server gave another request's answer");
        }
        permit.record_completion(1);
        let mut response = response::json_response(answer.head.status, body);
        if let Some(kind) = answer.head.headers.remove(header::CONTENT_TYPE) {
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
        }
        answer.release();
        Ok(Some(response))
    }

    fn undispatched(&mut self) {
        if let (Some(claim), false) = (&mut self.claim, self.execution.may_have_run()) {
            claim.dispatched = false;
        }
    }

    fn again_or_unknown(&mut self, reason: &str) -> Result<Option<Response<Body>>, Fault> {
        self.execution.mark_sent();
        if self.admitted.class.idempotent {
            Ok(None)
        } else {
            Err(Fault::new(Kind::OutcomeUnknown, reason))
        }
    }
}
