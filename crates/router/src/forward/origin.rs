//! The origin of a stream in the life of one request: which backend servers may continue it.

use std::time::Duration;

use log::Level;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::request::Request;
use super::route::ServiceName;
use crate::error::{Fault, Kind};
use crate::event::Line;
use crate::fleet::origin::{self, Origin};
use crate::fleet::stream_lifetimes;
use crate::load::pool::{Pool, ServerId};
use crate::node::Node;

/// Retry delay advised to a caller whose stream can't go on at this instance.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Which servers may take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Binding {
    /// All of them: the caller has no event yet, or the request is no stream.
    Any,
    /// Those of the service and version that began the stream.
    Origin(Origin),
    /// None: the version that began the stream isn't known.
    Unknown,
}

impl Binding {
    /// The binding of a stream whose first event comes from a server of `service` with this version.
    #[must_use]
    pub fn begin(service: &ServiceName, version: Option<&SmolStr>) -> Self {
        version.map_or(Self::Unknown, |version| {
            Self::Origin(Origin {
                service: service.clone(),
                version: version.clone(),
            })
        })
    }

    /// The service that the stream is bound to, if any.
    #[must_use]
    pub const fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Origin(origin) => Some(&origin.service),
            Self::Any | Self::Unknown => None,
        }
    }

    /// The version that the stream is bound to, if any.
    #[must_use]
    pub fn known_version(&self) -> Option<SmolStr> {
        match self {
            Self::Origin(origin) => Some(origin.version.clone()),
            Self::Any | Self::Unknown => None,
        }
    }

    /// The version that a server must have; `None` for any.
    ///
    /// # Errors
    /// `NoBackendServer` if no server may take the request.
    pub fn version(&self) -> Result<Option<SmolStr>, Fault> {
        match self {
            Self::Unknown => Err(unknown_origin()),
            Self::Any | Self::Origin(_) => Ok(self.known_version()),
        }
    }

    /// Whether a server of `pool` other than `except` may take the request.
    #[must_use]
    pub fn is_served_by(&self, pool: &Pool, except: Option<ServerId>) -> bool {
        match self {
            Self::Any => true,
            Self::Origin(origin) => pool.serves_version(&origin.version, except),
            Self::Unknown => false,
        }
    }
}

fn unknown_origin() -> Fault {
    let message = "the version of the backend server that began the stream isn't known";
    Fault::new(Kind::NoBackendServer, message).retry_after(RETRY_AFTER)
}

/// Returns which servers may take a request as it comes from its caller.
///
/// # Errors
/// `NoBackendServer` if the request takes up a stream and neither this instance nor a peer that can be reached
/// knows where it began, or if its route doesn't lead there any more.
pub async fn find(node: &Node, request: &Request) -> Result<Binding, Fault> {
    if !request.route.kind.is_stream() || request.resume_after.is_none() {
        return Ok(Binding::Any);
    }
    let started = Instant::now();
    let found = match &request.first_attempt {
        Some(attempt) => {
            let stream = origin::stream_id(attempt);
            let origins = &node.stream_origins;
            origins.find(stream, &node.membership, &node.links).await
        }
        None => None,
    };
    let ages = match &found {
        Some(_) => None,
        None => Ages::new(node, request),
    };
    let (origin, outcome) = match found {
        Some(origin) => (Some(origin), "found"),
        None => (deduce(node, request).await, "deduced"),
    };
    let origin = origin.filter(|origin| request.route.leads_to(&origin.service));
    let outcome = origin.as_ref().map_or("unknown", |_| outcome);
    Line::new("stream.origin")
        .field("id", &request.id)
        .optional_field("first_attempt", request.first_attempt.as_ref())
        .field("outcome", outcome)
        .optional_field("service", origin.as_ref().map(|o| &o.service))
        .optional_field("version", origin.as_ref().map(|o| &o.version))
        .optional_field("longest_ms", ages.map(|a| a.longest.as_millis()))
        .optional_field("only_ms", ages.map(|a| a.only.as_millis()))
        .field("took_ms", started.elapsed().as_millis())
        .write(Level::Info);
    node.metrics.count(match origin {
        Some(_) => "stream.origin_found",
        None => "stream.origin_unknown",
    });
    origin.map(Binding::Origin).ok_or_else(unknown_origin)
}

/// The times that decide whether one version can be the only one that began a stream.
#[derive(Clone, Copy, Debug)]
struct Ages {
    /// How long the stream can have lasted.
    longest: Duration,
    /// For how long all servers have had one version; zero while they haven't.
    only: Duration,
}

impl Ages {
    /// The times for a request whose route leads to one service; `None` for others.
    fn new(node: &Node, request: &Request) -> Option<Self> {
        let [entry] = request.route.services.as_slice() else {
            return None;
        };
        let pool = node.pools.get(&entry.service)?;
        Some(Self {
            longest: longest_stream(node, request, &entry.service),
            only: pool.only_version_age().unwrap_or_default(),
        })
    }
}

/// How long the stream that a request takes up can have lasted, if it began at `service`: its route may have had another
/// timeout, another name, or none of both.
fn longest_stream(node: &Node, request: &Request, service: &ServiceName) -> Duration {
    let present = stream_lifetimes::of_timeout(request.route.timeout);
    node.stream_lifetimes.past(service).max(present)
}

/// The origin of a stream that nobody remembers, or whose caller doesn't name its first attempt: the route's only
/// service, if all of its servers have had one version for longer than the stream can have lasted. That they
/// have it now proves nothing, as the server that began the stream may be gone. Nor does a list of servers that is
/// some seconds old, as the stream may have begun since at a server that joined; so the list is confirmed.
async fn deduce(node: &Node, request: &Request) -> Option<Origin> {
    let [entry] = request.route.services.as_slice() else {
        return None;
    };
    let longest = longest_stream(node, request, &entry.service);
    let pool = node.pools.get(&entry.service)?;
    if pool.only_version(longest).is_none() {
        node.version_demand.notify_one();
        return None;
    }
    if !node.server_list.confirm().await {
        return None;
    }
    Some(Origin {
        service: entry.service.clone(),
        version: pool.only_version(longest)?,
    })
}
