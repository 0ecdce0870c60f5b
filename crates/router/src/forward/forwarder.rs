//! Forwards one request: waits for a backend server, sends the request, passes the response back, and
//! retries as far as the route and the retry budget allow.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use tokio::time::{self, Instant};

use super::access_log::{AccessLog, Outcome};
use super::attempt::{self, Failure};
use super::backend_protocol::BackendProtocol;
use super::connection_pool::{BackendResponse, ConnectionPool};
use super::crash;
use super::fingerprint::Fingerprints;
use super::origin::Binding;
use super::request::{EventId, Request};
use super::route::ServiceName;
use crate::error::{Fault, Kind, Ran};
use crate::fleet::membership::{InstanceId, InstanceRecord};
use crate::http1::{Disconnected, ResponseWriter};
use crate::load::budget::{BudgetLimits, RetryBudget};
use crate::load::pool::{AdmissionRequest, LostServer, Patience, Permit, Pool};
use crate::load::prompt_placement::Prompt;
use crate::load::queue::RequestAttributes;
use crate::node::Node;

/// Interval between checks whether a late request may be retried.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time for which a route may have queued requests without any of them being sent.
const STARVATION_BOUND: Duration = Duration::from_secs(4);
/// Batches of events with which a response has gone past its beginning.
const BEGUN_BATCHES: u64 = 2;
/// A caller that has less than this part of the route's timeout left has tried before.
const FIRST_ATTEMPT_FRACTION: f64 = 0.9;
/// Retry delay advised to callers whose request no backend server could take.
const RETRY_AFTER: Duration = Duration::from_millis(300);

mod handover;
mod peers;
mod responses;
mod retries;

use handover::Handover;
use responses::BufferedResponse;

/// State shared by all requests of one instance.
pub struct ForwardContext<P> {
    /// The instance.
    pub node: Arc<Node>,
    /// Connections to backend servers.
    pub connections: ConnectionPool,
    /// Connections to other instances, for requests that are passed on to them.
    pub peers: ConnectionPool,
    /// The protocol of the backend servers.
    pub protocol: P,
    /// Recognises requests that come again.
    pub fingerprints: Fingerprints,
    /// Limits of the retry budgets, which are kept for each service.
    pub limits: BudgetLimits,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl<P> ForwardContext<P> {
    /// Creates the state without connections and with empty retry budgets.
    #[must_use]
    pub fn new(node: Arc<Node>, protocol: P, limits: BudgetLimits) -> Self {
        Self {
            fingerprints: Fingerprints::new(&node.settings.peers.fleet_key),
            node,
            connections: ConnectionPool::default(),
            peers: ConnectionPool::default(),
            protocol,
            limits,
            budgets: Mutex::default(),
        }
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        act(budgets.entry(service.clone()).or_default())
    }
}

/// Why a request ended without a complete response from a backend server.
enum ForwardError {
    Disconnected,
    Fault(Fault),
}

impl From<Disconnected> for ForwardError {
    fn from(_: Disconnected) -> Self {
        Self::Disconnected
    }
}

/// Where an attempt goes.
enum Target {
    Server(Permit),
    /// An instance that passes it to a server.
    Peer(InstanceRecord),
}

/// The head of a server's response, which is being waited for. Dropping it closes the connection.
type ServerResponse<'a> =
    Pin<Box<dyn Future<Output = Result<BackendResponse, Failure>> + Send + 'a>>;

/// An attempt that has begun while another one was still running.
enum NextAttempt<'a> {
    Server {
        permit: Arc<Permit>,
        response: ServerResponse<'a>,
    },
    Peer {
        peer: InstanceId,
        response: Box<BackendResponse>,
    },
}

/// Result of one attempt.
enum AttemptResult<'a> {
    /// The complete response, with this status, was sent to the caller.
    Done(StatusCode),
    Failed(Failure),
    /// It was stalled or cut off, and given up for another one, which has taken the request.
    Moved(NextAttempt<'a>),
}

/// Forwards one request to the backend servers of one service.
pub struct Forwarder<'a, 'r, P> {
    context: &'a ForwardContext<P>,
    pool: Arc<Pool>,
    service: &'a ServiceName,
    request: &'a Request,
    response: &'a mut ResponseWriter<'r>,
    admission: AdmissionRequest,
    /// Whether any attempt so far, including the current one, may have run.
    may_have_run: bool,
    /// Failed attempts that sent at least a part of the request.
    attempts: u32,
    /// The last event that the caller already has.
    resume_after: Option<EventId>,
    /// Which servers may continue the stream.
    binding: Binding,
    /// The instances that the request was passed on to.
    tried_peers: Vec<InstanceId>,
    /// Those of them whose configuration is older than the one under which the request was taken.
    outdated_peers: Vec<InstanceId>,
    /// A server error that is sent to the caller if no retry gets a better response.
    fallback: Option<BufferedResponse>,
    /// Whether a server is known to have begun the request.
    begun: bool,
    log: AccessLog<'a>,
}

impl<'a, 'r, P: BackendProtocol> Forwarder<'a, 'r, P> {
    /// Prepares to forward `request` to the backend servers of `service`, which are those in `pool`. `binding`
    /// tells which of them may take it.
    pub fn new(
        context: &'a ForwardContext<P>,
        pool: Arc<Pool>,
        service: &'a ServiceName,
        request: &'a Request,
        response: &'a mut ResponseWriter<'r>,
        binding: Binding,
        log: AccessLog<'a>,
    ) -> Self {
        Self {
            admission: admission(request),
            resume_after: request.resume_after,
            binding,
            context,
            pool,
            service,
            request,
            response,
            may_have_run: false,
            attempts: request.forwarded_by.as_ref().map_or(0, |f| f.attempts),
            tried_peers: Vec::new(),
            outdated_peers: Vec::new(),
            fallback: None,
            begun: false,
            log,
        }
    }

    /// Forwards the request and records its outcome. With `Outcome::Refused` nothing was sent to the caller,
    /// and the error response is left to the function that called this one. A request that is still running when
    /// `ending` completes ends with an error.
    pub async fn run(mut self, ending: impl Future<Output = ()>) -> Outcome {
        let outcome = self.forward(ending).await;
        self.log.outcome = outcome.clone();
        outcome
    }

    async fn forward(&mut self, ending: impl Future<Output = ()>) -> Outcome {
        if self.request.forwarded_by.is_none() {
            let now = Instant::now();
            self.context.with_budget(self.service, |b| {
                b.record_request(&self.context.limits, now);
            });
        }
        let expires_at = self.request.expires_at();
        let result = tokio::select! {
            result = self.run_attempts() => Some(result),
            () = time::sleep_until(expires_at) => None,
            () = ending => Some(Err(ForwardError::Fault(ending_fault()))),
        };
        let error = match result {
            Some(Ok(status)) => return Outcome::Answered(status),
            Some(Err(error)) => error,
            None => ForwardError::Fault(self.timeout_fault()),
        };
        match error {
            ForwardError::Disconnected => Outcome::CallerGone,
            ForwardError::Fault(fault) => self.fail(fault).await,
        }
    }

    fn timeout_fault(&self) -> Fault {
        if self.may_have_run {
            Fault::new(Kind::AnswerTimeout, "timed out waiting for the response")
        } else {
            Fault::new(
                Kind::Overloaded,
                "timed out waiting for a free backend server",
            )
            .retry_after(RETRY_AFTER)
        }
    }

    /// Ends the request with `fault`, or with the fallback response if there is one.
    async fn fail(&mut self, fault: Fault) -> Outcome {
        let fault = self.account_for_attempts(fault);
        if !self.response.is_unsent() {
            return Outcome::Cut(fault);
        }
        if let Some(fallback) = self.fallback.take() {
            return match self.send_buffered(&fallback).await {
                Ok(()) => Outcome::Answered(fallback.status),
                Err(Disconnected) => Outcome::CallerGone,
            };
        }
        Outcome::Refused(fault)
    }

    /// Replaces a fault that says the request didn't run by `OutcomeUnknown` if an attempt may have run.
    fn account_for_attempts(&self, fault: Fault) -> Fault {
        match fault.ran() {
            Ran::No if self.may_have_run => Fault::new(Kind::OutcomeUnknown, fault.message),
            _ => fault,
        }
    }

    async fn run_attempts(&mut self) -> Result<StatusCode, ForwardError> {
        self.check_room().map_err(ForwardError::Fault)?;
        let mut unsent = 0;
        let mut next = None;
        loop {
            let result = match next.take() {
                Some(next) => self.run_next(next).await?,
                None => self.run_attempt().await?,
            };
            let failure = match result {
                AttemptResult::Done(status) => return Ok(status),
                AttemptResult::Failed(failure) => failure,
                AttemptResult::Moved(to) => {
                    self.attempts += 1;
                    self.log.fail_attempt(Failure::Stalled, None);
                    next = Some(to);
                    continue;
                }
            };
            if failure.is_unsent() {
                unsent += 1;
            } else {
                self.attempts += 1;
            }
            let denial = self.retry(failure, unsent).err();
            self.log.fail_attempt(failure, denial);
            if denial.is_some() {
                return Err(ForwardError::Fault(self.fault(failure)));
            }
        }
    }

    /// Refuses a request for which the servers have no room. One that resumes a stream, or that another instance has
    /// admitted, isn't refused.
    fn check_room(&self) -> Result<(), Fault> {
        if self.request.forwarded_by.is_some() || self.resume_after.is_some() {
            return Ok(());
        }
        let expires_at = self.request.expires_at();
        let left = expires_at.saturating_duration_since(Instant::now());
        let patience = Patience {
            left,
            returned: left < self.request.route.timeout.mul_f64(FIRST_ATTEMPT_FRACTION),
        };
        self.pool
            .check_room(&self.admission, self.prompt(), patience)
    }

    /// Where the next attempt goes: to a backend server, or to another instance if that one is to send it.
    async fn next_target(&mut self) -> Result<Target, ForwardError> {
        loop {
            if let Some(peer) = self.next_peer() {
                return Ok(Target::Peer(peer));
            }
            let peer = self.wait_for_peer();
            let admission = self.admission()?;
            let (pool, prompt) = (Arc::clone(&self.pool), self.prompt());
            let since = Instant::now();
            let target = tokio::select! {
                permit = pool.acquire_for_prompt(admission, prompt) => permit.map(Target::Server),
                peer = peer => Ok(Target::Peer(peer)),
            };
            self.log.add_wait(since);
            match target {
                // It came under suspicion while it waited.
                Err(fault) if fault.kind == Kind::RequestSuspected && self.may_be_sent() => {}
                target => return target.map_err(ForwardError::Fault),
            }
        }
    }

    async fn run_attempt(&mut self) -> Result<AttemptResult<'a>, ForwardError> {
        match self.next_target().await? {
            Target::Server(permit) => {
                let permit = Arc::new(permit);
                let response = self.send(&permit);
                self.run_at_server(&permit, response).await
            }
            Target::Peer(peer) => self.run_at_peer(&peer).await,
        }
    }

    /// Goes on with an attempt that has already begun.
    async fn run_next(&mut self, next: NextAttempt<'a>) -> Result<AttemptResult<'a>, ForwardError> {
        match next {
            NextAttempt::Server { permit, response } => self.run_at_server(&permit, response).await,
            NextAttempt::Peer { peer, response } => {
                self.log.start_forwarding(&peer);
                self.forward_response(None, *response).await
            }
        }
    }

    async fn run_at_server(
        &mut self,
        permit: &Permit,
        response: ServerResponse<'a>,
    ) -> Result<AttemptResult<'a>, ForwardError> {
        self.log.start_attempt(permit);
        let result = self.receive(permit, response).await?;
        match &result {
            AttemptResult::Done(_) => {}
            AttemptResult::Failed(failure) => self.record_failed(permit, *failure),
            AttemptResult::Moved(_) => self.admission.avoid.push(permit.server),
        }
        Ok(result)
    }

    /// Records that the connection of the attempt was lost, and starts a check whether its server crashed.
    fn record_loss(&mut self, permit: &Permit) {
        let server = &permit.declared.name;
        let begun = self.log.events() >= BEGUN_BATCHES;
        self.log.lose(server, begun, &self.admission.identity);
        self.admission.lost = (!begun).then(|| LostServer {
            server: server.clone(),
            at: Instant::now(),
        });
        if let Some(suspected) = permit.record_loss(begun) {
            let connections = self.context.connections.clone();
            let node = Arc::clone(&self.context.node);
            let pool = Arc::clone(permit.pool());
            tokio::spawn(crash::check(connections, node, pool, suspected));
        }
    }

    /// What the pool is told of the next attempt.
    fn admission(&self) -> Result<AdmissionRequest, ForwardError> {
        let mut admission = self.admission.clone();
        admission.version = self.binding.version().map_err(ForwardError::Fault)?;
        admission.attributes.partial = !self.response.is_unsent();
        admission.may_try = self.may_try();
        Ok(admission)
    }

    fn prompt(&self) -> Prompt {
        let shared = self.request.shared_tokens();
        Prompt {
            shared,
            unique: self.request.prompt.tokens.saturating_sub(shared),
        }
    }

    fn fault(&self, failure: Failure) -> Fault {
        let retry_after = self.pool.rest_left().unwrap_or(RETRY_AFTER);
        let reason = failure.as_str();
        match failure {
            failure if !failure.is_certainly_not_run() => Fault::new(Kind::OutcomeUnknown, reason),
            Failure::NotRun => Fault::new(Kind::Overloaded, "all backend servers are at capacity")
                .retry_after(retry_after),
            _ => Fault::new(Kind::NoBackendServer, reason).retry_after(RETRY_AFTER),
        }
    }

    /// Sends the request to the server of `permit`, as soon as the response is waited for.
    fn send(&self, permit: &Arc<Permit>) -> ServerResponse<'a> {
        let (context, request) = (self.context, self.request);
        let (permit, resume_after) = (Arc::clone(permit), self.resume_after);
        Box::pin(async move {
            attempt::send(
                &context.node,
                &context.connections,
                &context.protocol,
                request,
                &permit,
                resume_after,
            )
            .await
        })
    }

    /// Waits for the response of the server of `permit`, and passes it on.
    async fn receive(
        &mut self,
        permit: &Permit,
        mut response: ServerResponse<'a>,
    ) -> Result<AttemptResult<'a>, ForwardError> {
        // Until a response proves otherwise, a request that is being sent may run.
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let response = loop {
            tokio::select! {
                response = &mut response => break response,
                target = self.wait_move(Some(permit), false) => {
                    match self.hand_over(response, target).await {
                        Handover::Kept(kept) => response = kept,
                        Handover::Moved(next) => return Ok(AttemptResult::Moved(next)),
                    }
                }
            }
        };
        if matches!(&response, Err(failure) if failure.is_certainly_not_run()) {
            self.may_have_run = ran_before;
        }
        match response {
            Ok(response) => self.forward_response(Some(permit), response).await,
            Err(failure) => Ok(AttemptResult::Failed(failure)),
        }
    }

    async fn forward_response(
        &mut self,
        permit: Option<&Permit>,
        response: BackendResponse,
    ) -> Result<AttemptResult<'a>, ForwardError> {
        if self.request.route.kind.is_stream() && response.head.status.is_success() {
            self.forward_stream(permit, response).await
        } else {
            self.forward_buffered(permit, response).await
        }
    }
}

/// Why a request ends with the process. It may have run, unless no attempt was made.
fn ending_fault() -> Fault {
    Fault::new(Kind::Draining, "this instance is being stopped").retry_after(RETRY_AFTER)
}

fn admission(request: &Request) -> AdmissionRequest {
    let route = &request.route;
    let bytes = request.body.len();
    AdmissionRequest {
        attributes: RequestAttributes {
            level: request.level,
            class: route.name.clone(),
            organisation: request.organisation.clone().unwrap_or_default(),
            share: 1,
            bytes,
            cost: 1,
            partial: false,
        },
        identity: Arc::new(request.identity()),
        may_try: false,
        lost: None,
        prefix_hash: request.affinity_key(),
        first_token_target: Some(route.latency_target),
        gap_target: route.gap_target,
        latency_sensitive: true,
        starvation_bound: STARVATION_BOUND,
        max_wait: route.latency_target,
        avoid: Vec::new(),
        version: None,
        prefer: None,
    }
}
