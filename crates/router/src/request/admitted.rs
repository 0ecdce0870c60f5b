//! What is known of a caller's request once it is admitted to a pool.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::config::object::Class;
use crate::error::{Fault, Kind};
use crate::load::pool::{AdmissionRequest, Permit, Pool};
use crate::node::{InFlight, Node};
use crate::request::claim::Submission;

/// A caller's request.
pub struct AdmittedRequest {
    /// The instance.
    pub node: Arc<Node>,
    /// The pool that runs it.
    pub pool: Arc<Pool>,
    /// The request's class.
    pub class: Class,
    /// What the pool needs to know.
    pub admission: AdmissionRequest,
    /// The idempotency key, where the class needs one.
    pub submission: Option<Submission>,
    /// The time by which the caller wants to be served, if it said so.
    pub deadline: Option<Instant>,
    /// Keeps a leaving instance running.
    pub in_flight: Option<InFlight>,
}

impl AdmittedRequest {
    /// Waits for a backend server, at most until `deadline`.
    ///
    /// # Errors
    /// Those of the pool, and `deadline_exceeded`.
    pub async fn enter(
        &self,
        admission: AdmissionRequest,
        deadline: Option<Instant>,
    ) -> Result<Permit, Fault> {
        let enter = self.pool.acquire(admission);
        match deadline {
            None => enter.await,
            Some(deadline) => match tokio::time::timeout_at(deadline, enter).await {
                Ok(result) => result,
                Err(_) => Err(Fault::new(
                    Kind::DeadlineExceeded,
                    "the deadline passed while the request waited",
                )
                .retry_after(Duration::from_secs(1))),
            },
        }
    }

    /// Tells a backend server to give up a stream, without waiting for it.
    pub fn cancel(&self, server: &str, stream: &str) {
        let servers = self.pool.servers();
        let Some((_, declared)) = servers.into_iter().find(|(_, s)| s.name == server) else {
            return;
        };
        let (node, stream) = (Arc::clone(&self.node), stream.to_owned());
        tokio::spawn(async move { node.backend_client.cancel(declared.address, &stream).await });
    }
}
