//! Brings one request to its end: from pool to backend server and back, over as many sendings as its
//! route and the budget allow.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use tokio::time::{self, Instant};

use super::access_log::{AccessLog, Outcome};
use super::attempt::{self, Failure};
use super::backend_protocol::BackendProtocol;
use super::connection_pool::{BackendResponse, ConnectionPool};
use super::request::{EventId, Request};
use super::route::{RouteKind, ServiceName};
use crate::error::{Fault, Kind, Ran};
use crate::http1::{Disconnected, ResponseWriter};
use crate::load::budget::{self, BudgetLimits, RetryBudget};
use crate::load::placement::Prompt;
use crate::load::pool::{AdmissionRequest, Permit, Pool};
use crate::load::queue::RequestAttributes;
use crate::node::Node;
use crate::sse::EventSplitter;

/// Largest answer that is kept until it is whole; a larger one is passed on in pieces.
const WHOLE_BYTES: usize = 256 << 10;
/// Sendings that may fail before a byte has left.
const UNSENT_TRIES: u32 = 4;
/// Time between two looks at a request that has waited past its target.
const LOOK: Duration = Duration::from_millis(150);
/// Pauses of the route's longest good length after which a stream counts as stalled.
const STALL_GAPS: u32 = 3;
/// Shortest pause that counts as a stall.
const STALL_MIN: Duration = Duration::from_secs(1);
/// Time without progress after which a route's requests get a place out of turn.
const STARVATION: Duration = Duration::from_secs(4);
/// Shortest advice on when to come back.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What all requests of one instance share.
pub struct ForwardContext<D> {
    /// The instance.
    pub node: Arc<Node>,
    /// Connections to backend servers.
    pub channels: ConnectionPool,
    /// How backend servers are spoken to.
    pub dialect: D,
    /// The bounds on second sends.
    pub terms: BudgetLimits,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl<D> ForwardContext<D> {
    /// The shared part of an instance's requests.
    #[must_use]
    pub fn new(node: Arc<Node>, dialect: D, terms: BudgetLimits) -> Self {
        Self {
            node,
            channels: ConnectionPool::default(),
            dialect,
            terms,
            budgets: Mutex::default(),
        }
    }

    fn budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        act(budgets.entry(service.clone()).or_default())
    }
}

/// Why a request didn't get its answer.
enum End {
    Disconnected,
    Fault(Fault),
}

impl From<Disconnected> for End {
    fn from(_: Disconnected) -> Self {
        Self::Disconnected
    }
}

/// An answer that was read whole.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// What one sending came to.
enum Step {
    Done(StatusCode),
    Failed(Failure),
}

/// One request on its way.
pub struct Forwarder<'a, 'r, D> {
    core: &'a ForwardContext<D>,
    pool: Arc<Pool>,
    service: &'a ServiceName,
    request: &'a Request,
    reply: &'a mut ResponseWriter<'r>,
    admission: AdmissionRequest,
    may_have_run: bool,
    sendings: u32,
    after: Option<EventId>,
    spare: Option<Whole>,
    trace: AccessLog<'a>,
}

impl<'a, 'r, D: BackendProtocol> Forwarder<'a, 'r, D> {
    /// A request that nothing has been done for yet, for the backend servers of `service` in `pool`.
    pub fn new(
        core: &'a ForwardContext<D>,
        pool: Arc<Pool>,
        service: &'a ServiceName,
        request: &'a Request,
        reply: &'a mut ResponseWriter<'r>,
        trace: AccessLog<'a>,
    ) -> Self {
        Self {
            admission: admission(request),
            after: request.resume_after,
            core,
            pool,
            service,
            request,
            reply,
            may_have_run: false,
            sendings: 0,
            spare: None,
            trace,
        }
    }

    /// Answers the request.
    pub async fn run(mut self) -> Outcome {
        let outcome = self.answer().await;
        self.trace.outcome = outcome.clone();
        outcome
    }

    async fn answer(&mut self) -> Outcome {
        let now = Instant::now();
        self.core
            .budget(self.service, |b| b.record_request(&self.core.terms, now));
        let until = self.request.expires_at();
        let end = match time::timeout_at(until, self.drive()).await {
            Ok(Ok(status)) => return Outcome::Answered(status),
            Ok(Err(end)) => end,
            Err(_) => End::Fault(self.timed_out()),
        };
        match end {
            End::Disconnected => Outcome::CallerGone,
            End::Fault(fault) => self.fail(fault).await,
        }
    }

    fn timed_out(&self) -> Fault {
        if self.may_have_run {
            Fault::new(Kind::AnswerTimeout, "the answer took too long")
        } else {
            Fault::new(Kind::Overloaded, "no backend server had room in time")
                .retry_after(RETRY_AFTER)
        }
    }

    /// Tells the caller that there is no answer, or gives it the one of an earlier sending.
    async fn fail(&mut self, fault: Fault) -> Outcome {
        if !self.reply.is_unsent() {
            return Outcome::Cut(fault);
        }
        if let Some(spare) = self.spare.take() {
            return match self.deliver(&spare).await {
                Ok(()) => Outcome::Answered(spare.status),
                Err(Disconnected) => Outcome::CallerGone,
            };
        }
        Outcome::Refused(self.truthful(fault))
    }

    /// The same fault, unless it says that the request didn't run and an earlier sending may have.
    fn truthful(&self, fault: Fault) -> Fault {
        match fault.ran() {
            Ran::No if self.may_have_run => Fault::new(Kind::OutcomeUnknown, fault.message),
            _ => fault,
        }
    }

    async fn drive(&mut self) -> Result<StatusCode, End> {
        let mut unsent = 0;
        loop {
            let permit = self.permit().await?;
            self.trace.sending(&permit.declared.name);
            let step = self.send(&permit).await?;
            let failure = match step {
                Step::Done(status) => return Ok(status),
                Step::Failed(failure) => failure,
            };
            self.admission.avoid.push(permit.server);
            drop(permit);
            if failure == Failure::NotSent {
                unsent += 1;
            } else {
                self.sendings += 1;
            }
            let allowed = unsent < UNSENT_TRIES && self.may_send_again(failure);
            self.trace.failed(failure, allowed);
            if !allowed {
                return Err(End::Fault(Self::fault(failure)));
            }
        }
    }

    async fn permit(&mut self) -> Result<Permit, End> {
        let mut admission = self.admission.clone();
        admission.attributes.partial = !self.reply.is_unsent();
        let shared = self.request.shared_tokens();
        let prompt = Prompt {
            shared,
            unique: self.request.prompt.tokens.saturating_sub(shared),
        };
        let since = Instant::now();
        let entered = self.pool.acquire_for_prompt(admission, prompt).await;
        self.trace.waited(since);
        entered.map_err(End::Fault)
    }

    fn may_send_again(&self, failure: Failure) -> bool {
        if failure == Failure::NotSent && self.sendings == 0 {
            return true;
        }
        if failure == Failure::Stalled {
            // Paid for when it was given up on.
            return true;
        }
        let repeatable = !self.may_have_run || self.request.route.kind.is_retryable();
        let left = self.sendings < self.request.route.max_attempts;
        repeatable && left && self.pay()
    }

    /// Whether another sending may follow the one under way, whatever became of that.
    fn has_another(&self) -> bool {
        let route = &self.request.route;
        route.kind.is_retryable() && self.sendings + 1 < route.max_attempts
    }

    /// Waits until a request has missed its target at a server that goes on with later ones, and another
    /// sending is paid for. A server that is only slow keeps its requests: sending them again would add to
    /// the load.
    async fn passed_over(&self, permit: &Permit) {
        if !self.has_another() {
            return std::future::pending().await;
        }
        time::sleep(self.request.route.latency_target).await;
        while !(permit.overtaken() && self.pay()) {
            time::sleep(LOOK).await;
        }
    }

    /// Waits until a stream has paused for too long, and another sending is paid for.
    async fn stalled(&self, permit: &Permit, started: bool) {
        if !started {
            return self.passed_over(permit).await;
        }
        if !self.has_another() {
            return std::future::pending().await;
        }
        let gap = self.request.route.gap_target.unwrap_or_default() * STALL_GAPS;
        time::sleep(gap.max(STALL_MIN)).await;
        while !self.pay() {
            time::sleep(LOOK).await;
        }
    }

    fn pay(&self) -> bool {
        let terms = &self.core.terms;
        let instances = budget::slack_divisor(self.core.node.membership.size());
        let now = Instant::now();
        self.core
            .budget(self.service, |b| b.try_spend(terms, instances, now))
    }

    fn fault(failure: Failure) -> Fault {
        let reason = failure.as_str();
        match failure {
            failure if !failure.surely_not_run() => Fault::new(Kind::OutcomeUnknown, reason),
            Failure::NotRun => Fault::new(Kind::Overloaded, "the backend servers are full")
                .retry_after(RETRY_AFTER),
            _ => Fault::new(Kind::NoBackendServer, reason).retry_after(RETRY_AFTER),
        }
    }

    async fn send(&mut self, permit: &Permit) -> Result<Step, End> {
        let core = self.core;
        let sent = attempt::send(
            &core.channels,
            &core.dialect,
            self.request,
            permit,
            self.after,
        );
        // Until an answer says otherwise, a request on its way may run.
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let answer = tokio::select! {
            answer = sent => answer,
            () = self.passed_over(permit) => Err(Failure::Stalled),
        };
        if matches!(&answer, Err(failure) if failure.surely_not_run()) {
            self.may_have_run = ran_before;
        }
        match answer {
            Ok(answer)
                if self.request.route.kind.is_stream() && answer.head.status.is_success() =>
            {
                self.stream(permit, answer).await
            }
            Ok(answer) => self.whole(permit, answer).await,
            Err(failure) => Ok(Step::Failed(failure)),
        }
    }

    async fn whole(&mut self, permit: &Permit, mut answer: BackendResponse) -> Result<Step, End> {
        let status = answer.head.status;
        if !self.reply.is_unsent() {
            return Ok(Step::Failed(Failure::Failed));
        }
        let mut body = BytesMut::new();
        loop {
            match answer.next_chunk().await {
                Ok(Some(bytes)) => body.extend_from_slice(&bytes),
                Ok(None) => break,
                Err(_) => return Ok(Step::Failed(Failure::Broken)),
            }
            if body.len() > WHOLE_BYTES {
                return self.pieces(answer, &body).await;
            }
        }
        permit.mark_started();
        let whole = Whole {
            status,
            headers: std::mem::take(&mut answer.head.headers),
            body: body.freeze(),
        };
        answer.release();
        permit.record_completion(1);
        let again = status.is_server_error() && self.request.route.kind == RouteKind::Idempotent;
        if again && self.sendings + 1 < self.request.route.max_attempts {
            self.spare = Some(whole);
            return Ok(Step::Failed(Failure::Failed));
        }
        self.deliver(&whole).await?;
        Ok(Step::Done(status))
    }

    async fn deliver(&mut self, whole: &Whole) -> Result<(), Disconnected> {
        self.reply
            .send(whole.status, &whole.headers, &whole.body)
            .await
    }

    /// Passes on an answer that is too large to be kept until it is whole.
    async fn pieces(&mut self, mut answer: BackendResponse, first: &[u8]) -> Result<Step, End> {
        let status = answer.head.status;
        self.reply
            .start_chunked(status, &answer.head.headers, first)
            .await?;
        loop {
            match answer.next_chunk().await {
                Ok(Some(bytes)) => self.reply.send_chunk(&bytes).await?,
                Ok(None) => break,
                Err(_) => return Err(End::Fault(Fault::new(Kind::AnswerCut, "broken"))),
            }
        }
        answer.release();
        self.reply.finish().await?;
        Ok(Step::Done(status))
    }

    /// Passes on whole events as they come.
    async fn stream(&mut self, permit: &Permit, mut answer: BackendResponse) -> Result<Step, End> {
        let status = answer.head.status;
        let mut splitter = EventSplitter::default();
        let mut events = 0;
        loop {
            let next = tokio::select! {
                next = answer.next_chunk() => next,
                () = self.stalled(permit, events > 0) => {
                    return Ok(Step::Failed(Failure::Stalled));
                }
            };
            let bytes = match next {
                Ok(Some(bytes)) => bytes,
                Ok(None) if splitter.is_empty() => break,
                Ok(None) | Err(_) => return Ok(Step::Failed(Failure::Broken)),
            };
            splitter.feed(&bytes);
            let Some(batch) = splitter.events(self.after) else {
                continue;
            };
            if events == 0 {
                permit.mark_started();
            }
            events += 1;
            self.trace.passed();
            self.pass(&answer, status, &batch.bytes).await?;
            self.after = batch.last.or(self.after);
        }
        permit.record_completion(events);
        if self.reply.is_unsent() {
            self.reply
                .start_chunked(status, &answer.head.headers, &[])
                .await?;
        }
        answer.release();
        self.reply.finish().await?;
        Ok(Step::Done(status))
    }

    async fn pass(
        &mut self,
        answer: &BackendResponse,
        status: StatusCode,
        bytes: &[u8],
    ) -> Result<(), Disconnected> {
        if self.reply.is_unsent() {
            self.reply
                .start_chunked(status, &answer.head.headers, bytes)
                .await
        } else {
            self.reply.send_chunk(bytes).await
        }
    }
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
        prefix_hash: request.affinity_key(),
        first_token_target: Some(route.latency_target),
        targeted: true,
        starvation_bound: STARVATION,
        max_wait: route.latency_target,
        avoid: Vec::new(),
        prefer: None,
    }
}
