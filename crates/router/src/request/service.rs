//! Relays one request for a generic service to backend servers, and its response to the caller.

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

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 6;
/// Headers of the caller that are forwarded to the service.
const FORWARDED_HEADERS: [header::HeaderName; 4] = [
    header::ACCEPT,
    header::CONTENT_TYPE,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_LANGUAGE,
];

/// A request for a generic service.
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path after the name of the service, with the query if there is one.
    pub path: String,
    /// Headers from the caller, of which only some are forwarded.
    pub headers: HeaderMap,
    /// Request body, already read completely.
    pub body: Bytes,
}

struct ServiceRelay {
    admitted: AdmittedRequest,
    request: Request,
    claim: Option<Claim>,
    execution: ExecutionTracker,
}

/// Runs a request for a generic service and returns its response. The request runs to its end even if the
/// caller disconnects.
///
/// # Errors
/// The fault with which the request ended.
pub async fn serve(admitted: AdmittedRequest, request: Request) -> Result<Response<Body>, Fault> {
    let (sender, response) = oneshot::channel();
    tokio::spawn(async move {
        let relay = ServiceRelay {
            admitted,
            request,
            claim: None,
            execution: ExecutionTracker::default(),
        };
        let _ = sender.send(relay.run().await);
    });
    response.await.unwrap_or_else(|_| {
        Err(Fault::new(
            Kind::Internal,
            "the request ended without a response",
        ))
    })
}

impl ServiceRelay {
    async fn run(mut self) -> Result<Response<Body>, Fault> {
        let _in_flight = self.admitted.in_flight.take();
        let result = self.run_attempts().await;
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
                Err(claim::resolve_fault(
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
                .map_or_else(|f| f.kind.spec().name, |_| "answer.complete"),
        );
        result
    }

    async fn run_attempts(&mut self) -> Result<Response<Body>, Fault> {
        for _ in 0..MAX_ATTEMPTS {
            let mut admission = self.admitted.admission.clone();
            admission.attributes.partial = self.execution.may_have_run();
            let deadline = self
                .admitted
                .deadline
                .filter(|_| !self.execution.may_have_run());
            let permit = self.admitted.acquire_permit(admission, deadline).await?;
            if let (Some(submission), None) = (self.admitted.submission, &self.claim) {
                self.claim = Some(Claim::acquire(&self.admitted.node, submission).await?);
            }
            if let Some(response) = self.run_attempt(&permit).await? {
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

    /// Makes one attempt; returns `None` if the request may be retried at another backend server.
    async fn run_attempt(&mut self, permit: &Permit) -> Result<Option<Response<Body>>, Fault> {
        let id = format!("jt-{}", uuid::Uuid::new_v4().simple());
        let request = self.backend_request(permit, &id);
        self.execution.begin_attempt();
        if let Some(claim) = &mut self.claim {
            claim.dispatched = true;
        }
        permit.mark_started();
        let mut directive = permit.directive.clone();
        let limit = self.admitted.node.settings.limits.body_bytes;
        let exchange = async {
            let client = &self.admitted.node.backend_client;
            let mut response = client
                .send(request, !self.admitted.class.idempotent)
                .await?;
            let body = response.collect(limit).await?;
            Ok((response, body))
        };
        let result = tokio::select! {
            result = exchange => result,
            _ = directive.wait_for(|d| *d == Directive::ServerDown) => {
                Err(Error::NoAnswer("the backend server is down".into()))
            }
        };
        match result {
            Ok((response, body)) => self.handle_response(permit, &id, response, body),
            Err(Error::NotSent(_)) => {
                permit.record_failure(true);
                self.clear_dispatched();
                Ok(None)
            }
            Err(Error::NoAnswer(reason)) => {
                permit.record_failure(false);
                self.retry_or_fail(&reason)
            }
        }
    }

    fn backend_request(&self, permit: &Permit, id: &str) -> BackendRequest {
        let mut headers = HeaderMap::new();
        for name in FORWARDED_HEADERS {
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

    /// Checks a complete response; returns `None` if the request may be retried at another backend server.
    fn handle_response(
        &mut self,
        permit: &Permit,
        id: &str,
        mut response: BackendResponse,
        body: Bytes,
    ) -> Result<Option<Response<Body>>, Fault> {
        let head = &response.head;
        // A server may send any response once more, also the refusal of an earlier request.
        if !backend::names_request(&head.headers, id) {
            self.admitted.node.metrics.count("backend.crossed");
            log::warn!("server={} answer=crossed", permit.declared.name);
            permit.record_failure(false);
            return self.retry_or_fail("the backend server sent the response of another request");
        }
        let ran = head.headers.get(backend::RAN_HEADER);
        let not_run = ran.is_some_and(|v| v == "no");
        if not_run && head.status == StatusCode::SERVICE_UNAVAILABLE {
            self.clear_dispatched();
            return Ok(None);
        }
        permit.record_completion(1);
        let mut reply = response::json_response(response.head.status, body);
        if let Some(content_type) = response.head.headers.remove(header::CONTENT_TYPE) {
            reply
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
        }
        response.release();
        Ok(Some(reply))
    }

    /// Clears the claim's `dispatched`, unless an earlier attempt may have run.
    fn clear_dispatched(&mut self) {
        if let (Some(claim), false) = (&mut self.claim, self.execution.may_have_run()) {
            claim.dispatched = false;
        }
    }

    /// Records that the attempt may have run: an idempotent request may be retried, any other fails with an
    /// unknown outcome.
    fn retry_or_fail(&mut self, reason: &str) -> Result<Option<Response<Body>>, Fault> {
        self.execution.mark_sent();
        if self.admitted.class.idempotent {
            Ok(None)
        } else {
            Err(Fault::new(Kind::OutcomeUnknown, reason))
        }
    }
}
