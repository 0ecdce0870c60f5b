//! State of a request after admission, shared by inference and generic services.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::config::object::Class;
use crate::error::{Fault, Kind};
use crate::load::pool::{AdmissionRequest, Permit, Pool};
use crate::node::{InFlightGuard, Node};
use crate::request::claim::Submission;

/// A request that was authenticated and assigned to a pool.
pub struct AdmittedRequest {
    /// The instance that received the request.
    pub node: Arc<Node>,
    /// Pool of the backend servers that can run the request.
    pub pool: Arc<Pool>,
    /// Service class of the request.
    pub class: Class,
    /// Scheduling parameters for the pool; each attempt uses a copy.
    pub admission: AdmissionRequest,
    /// Idempotency key; `None` if the class is idempotent.
    pub submission: Option<Submission>,
    /// End of the wait for a backend server (`x-deadline-ms`); `None` if the caller set none.
    pub deadline: Option<Instant>,
    /// Keeps a draining instance running until the request ends; `None` once the task that runs the request
    /// has taken it.
    pub in_flight: Option<InFlightGuard>,
}

impl AdmittedRequest {
    /// Waits until the pool grants a backend server, at most until `deadline`.
    ///
    /// # Errors
    /// `deadline_exceeded`, and the errors of the pool.
    pub async fn acquire_permit(
        &self,
        admission: AdmissionRequest,
        deadline: Option<Instant>,
    ) -> Result<Permit, Fault> {
        let permit = self.pool.acquire(admission);
        match deadline {
            None => permit.await,
            Some(deadline) => match tokio::time::timeout_at(deadline, permit).await {
                Ok(result) => result,
                Err(_) => Err(Fault::new(
                    Kind::DeadlineExceeded,
                    "the deadline passed while the request waited for a backend server",
                )
                .retry_after(Duration::from_secs(1))),
            },
        }
    }

    /// Cancels a stream at a backend server in the background; does nothing if the pool no longer has the
    /// server.
    pub fn cancel_stream(&self, server: &str, stream: &str) {
        let servers = self.pool.servers();
        let Some((_, declared)) = servers.into_iter().find(|(_, s)| s.name == server) else {
            return;
        };
        let (node, stream) = (Arc::clone(&self.node), stream.to_owned());
        tokio::spawn(async move { node.backend_client.cancel(declared.address, &stream).await });
    }
}
