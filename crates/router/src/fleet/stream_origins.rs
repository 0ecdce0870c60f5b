//! Where streams began: the service and the software version of the backend server that sent a stream's first
//! event. A stream goes on only there, also at another instance to which its caller comes back.
//!
//! The instance that began a stream keeps its origin and sends copies to a few peers. An instance that
//! doesn't know the origin of a stream asks its peers, which pass the query on in a large fleet.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::fleet::frame::Frame;
use crate::fleet::links::PeerLinks;
use crate::fleet::membership::{InstanceId, Membership};
use crate::fleet::origin::{Origin, OriginGroup, OriginQuery, OriginReply, StreamId};
use crate::random;

/// Time after which the origins of one generation become the older ones; those are dropped after the same time.
const GENERATION: Duration = Duration::from_secs(30);
/// Maximum number of origins in one generation.
const MAX_ORIGINS: usize = 100_000;
/// Number of peers that get a copy of an origin.
const COPIES: usize = 3;
/// Time between two batches of copies.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of times that a query is passed on in a fleet whose instances aren't all linked with each other.
const MAX_HOPS: u8 = 8;

/// A query of this instance that has no reply yet.
struct Call {
    reply: oneshot::Sender<Option<Origin>>,
    /// Number of peers that may still reply; `None` if it isn't known.
    awaited: Option<usize>,
}

struct State {
    recent: HashMap<StreamId, Arc<Origin>>,
    older: HashMap<StreamId, Arc<Origin>>,
    rotated: Instant,
    /// One copy of each origin, which the streams share.
    distinct: HashSet<Arc<Origin>>,
    /// Origins of streams that began here and haven't been copied yet.
    uncopied: Vec<(StreamId, Arc<Origin>)>,
    copied: Instant,
    calls: HashMap<u64, Call>,
    queries: Vec<OriginQuery>,
    replies: HashMap<InstanceId, Vec<OriginReply>>,
    /// Queries of other instances that were passed on, with the peer that they came from.
    relayed: HashMap<u64, (InstanceId, Instant)>,
}

/// The origins of recent streams that one instance knows, and its queries for others.
pub struct StreamOrigins {
    state: Mutex<State>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            state: Mutex::new(State {
                recent: HashMap::new(),
                older: HashMap::new(),
                rotated: now,
                distinct: HashSet::new(),
                uncopied: Vec::new(),
                copied: now,
                calls: HashMap::new(),
                queries: Vec::new(),
                replies: HashMap::new(),
                relayed: HashMap::new(),
            }),
        }
    }
}

impl StreamOrigins {
    /// Records the origin of a stream that began at this instance, to be copied to peers.
    pub fn record(&self, stream: StreamId, origin: &Origin) {
        let mut state = self.lock();
        if let Some(origin) = state.insert(stream, origin) {
            state.uncopied.push((stream, origin));
        }
    }

    /// Keeps copies of a peer's origins.
    pub fn keep(&self, groups: &[OriginGroup]) {
        let mut state = self.lock();
        for OriginGroup { origin, streams } in groups {
            for stream in streams {
                state.insert(*stream, origin);
            }
        }
    }

    /// Returns the origin of a stream from this instance's memory or from the first peer that knows it; `None`
    /// if no peer that can be reached does.
    pub async fn find(
        &self,
        stream: StreamId,
        membership: &Membership,
        links: &PeerLinks,
    ) -> Option<Origin> {
        let (call, receiver) = {
            let mut state = self.lock();
            if let Some(origin) = state.get(stream) {
                return Some(origin.as_ref().clone());
            }
            let peers = links.count();
            if peers == 0 {
                return None;
            }
            let all_linked = peers + 1 >= membership.running().len();
            let hops = if all_linked { 0 } else { MAX_HOPS };
            let call = random::id();
            let (reply, receiver) = oneshot::channel();
            let awaited = all_linked.then_some(peers);
            state.calls.insert(call, Call { reply, awaited });
            state.queries.push(OriginQuery { call, stream, hops });
            (call, receiver)
        };
        let reply = tokio::time::timeout(QUERY_TIMEOUT, receiver).await;
        let mut state = self.lock();
        state.calls.remove(&call);
        let origin = reply.ok()?.ok()??;
        state.insert(stream, &origin);
        Some(origin)
    }

    /// Replies to queries of the peer `from`, or passes them on.
    pub fn receive_queries(&self, queries: &[OriginQuery], from: &InstanceId) {
        let now = Instant::now();
        let mut state = self.lock();
        for query in queries {
            let origin = state.get(query.stream).map(|o| o.as_ref().clone());
            let own = state.calls.contains_key(&query.call);
            let seen = own || state.relayed.contains_key(&query.call);
            match origin {
                _ if seen => {}
                None if query.hops > 0 => {
                    let hops = query.hops - 1;
                    // Instances at the end of a path don't say that they know nothing: others may.
                    let passed_on = (hops > 0).then_some(OriginQuery { hops, ..*query });
                    state.queries.extend(passed_on);
                    state.relayed.insert(query.call, (from.clone(), now));
                }
                origin => {
                    let reply = OriginReply {
                        call: query.call,
                        origin,
                    };
                    state.replies.entry(from.clone()).or_default().push(reply);
                }
            }
        }
    }

    /// Delivers replies to this instance's queries, and passes on those to other instances'.
    pub fn receive_replies(&self, replies: &[OriginReply]) {
        let mut state = self.lock();
        for reply in replies {
            if state.calls.contains_key(&reply.call) {
                state.complete(reply);
            } else if let Some((from, _)) = state.relayed.get(&reply.call).cloned() {
                state.replies.entry(from).or_default().push(reply.clone());
            }
        }
    }

    /// Sends the queries, replies and copies that are due.
    pub fn flush(&self, links: &PeerLinks) {
        let now = Instant::now();
        let mut state = self.lock();
        state.expire(now);
        let queries = std::mem::take(&mut state.queries);
        let replies = std::mem::take(&mut state.replies);
        let copies = state.take_copies(now);
        drop(state);
        if !queries.is_empty() {
            links.broadcast(&Frame::FindOrigins(queries), None);
        }
        for (peer, replies) in replies {
            links.send(&peer, Frame::FoundOrigins(replies));
        }
        if !copies.is_empty() {
            links.send_to_some(&Frame::StreamOrigins(copies), COPIES);
        }
    }

    /// Number of queries of this instance that have no reply yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.lock().calls.len()
    }

    /// Number of streams whose origin is known.
    #[must_use]
    pub fn count(&self) -> usize {
        let state = self.lock();
        state.recent.len() + state.older.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn get(&self, stream: StreamId) -> Option<&Arc<Origin>> {
        self.recent.get(&stream).or_else(|| self.older.get(&stream))
    }

    /// Inserts an origin unless the generation is full; returns it if it was inserted.
    fn insert(&mut self, stream: StreamId, origin: &Origin) -> Option<Arc<Origin>> {
        if self.recent.len() >= MAX_ORIGINS {
            log::warn!("stream_origin=dropped reason=\"the table is full\"");
            return None;
        }
        let known = self.distinct.get(origin).cloned();
        let origin = known.unwrap_or_else(|| Arc::new(origin.clone()));
        self.distinct.insert(Arc::clone(&origin));
        self.recent.insert(stream, Arc::clone(&origin));
        Some(origin)
    }

    fn complete(&mut self, reply: &OriginReply) {
        let Some(call) = self.calls.get_mut(&reply.call) else {
            return;
        };
        call.awaited = call.awaited.map(|n| n.saturating_sub(1));
        if (reply.origin.is_some() || call.awaited == Some(0))
            && let Some(call) = self.calls.remove(&reply.call)
        {
            // Fails if the request has ended meanwhile.
            let _ = call.reply.send(reply.origin.clone());
        }
    }

    fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.rotated) >= GENERATION {
            self.older = std::mem::take(&mut self.recent);
            self.rotated = now;
            self.distinct.retain(|o| Arc::strong_count(o) > 1);
        }
        // A caller that disconnects drops its query.
        self.calls.retain(|_, call| !call.reply.is_closed());
        self.relayed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < QUERY_TIMEOUT * 2);
    }

    fn take_copies(&mut self, now: Instant) -> Vec<OriginGroup> {
        if now.saturating_duration_since(self.copied) < COPY_INTERVAL {
            return Vec::new();
        }
        self.copied = now;
        let mut groups: BTreeMap<Arc<Origin>, Vec<StreamId>> = BTreeMap::new();
        for (stream, origin) in std::mem::take(&mut self.uncopied) {
            groups.entry(origin).or_default().push(stream);
        }
        let groups = groups.into_iter().map(|(origin, streams)| OriginGroup {
            origin: origin.as_ref().clone(),
            streams,
        });
        groups.collect()
    }
}
