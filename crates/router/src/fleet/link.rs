//! Links to peers: each is a WebSocket connection with sealed frames, served by one task.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, broadcast, mpsc};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use tokio_tungstenite::tungstenite::{Error, Message};

use crate::config::catalogue::Catalogue;
use crate::config::object::Object;
use crate::fleet::duties::polling;
use crate::fleet::frame::{self, Frame, Hello, LinkError, PROTOCOL, PROTOCOL_MIN, Seal, Side};
use crate::fleet::links::{self, DialOutcome, Registration};
use crate::fleet::membership::{InstanceRecord, InstanceState};
use crate::fleet::record_sync::RecordSync;
use crate::fleet::replication::{self, Replication};
use crate::node::Node;

/// Time between two heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a message, or limit for sending one, after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of updated instance records in one frame.
const MAX_BATCH_RECORDS: usize = 64;
/// Time limit for connecting and the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of handshakes at a time with peers that connect; others wait.
const MAX_HANDSHAKES: usize = 128;
/// Maximum size of a frame before the peer is authenticated, in bytes.
const HANDSHAKE_FRAME_BYTES: usize = 16 << 10;
/// Time between two checks for missing links.
const DIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two rounds of attempts to reach instances that are suspect or dead.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which an instance is suspect before it is considered dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of objects in one part of a configuration snapshot.
const SNAPSHOT_PART_OBJECTS: usize = 512;

type Socket = WebSocketStream<TcpStream>;
type Established = (Link, mpsc::Receiver<Frame>);

struct Link {
    node: Arc<Node>,
    socket: Socket,
    outbound: Seal,
    inbound: Seal,
    peer: InstanceRecord,
    registration: Registration,
    /// The newest version of the peer protocol that both sides support.
    protocol: u16,
    /// The objects of the configuration snapshot that is being received.
    snapshot: Vec<Object>,
    replication: Replication,
    last_received: Instant,
    record_sync: RecordSync,
}

/// Accepts links from peers; never returns.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(handshake) = Arc::clone(&handshakes).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(accept(Arc::clone(&node), stream, handshake));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Opens missing links from the address `source` and marks long suspect instances as dead; never
/// returns.
pub async fn maintain(node: Arc<Node>, source: IpAddr) {
    let mut interval = tokio::time::interval(DIAL_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_reconnect = Instant::now();
    let mut round = 0;
    loop {
        interval.tick().await;
        let membership = &node.membership;
        let linked = node.links.linked();
        let mut targets = links::desired_links(membership);
        if last_reconnect.elapsed() >= RECONNECT_INTERVAL {
            last_reconnect = Instant::now();
            targets.extend(links::reconnect_candidates(membership, round));
            round += 1;
            if membership.running().len() == 1 {
                let seeds = node.settings.peers.seeds.iter();
                targets.extend(seeds.map(|address| ("".into(), *address)));
            }
        }
        targets.retain(|(id, _)| !linked.contains(id));
        for (id, address) in targets {
            tokio::spawn(dial(Arc::clone(&node), id.to_string(), address, source));
        }
        for id in membership.suspected_for(SUSPICION_TIMEOUT) {
            membership.mark_unreachable(&id, InstanceState::Dead);
        }
        membership.remove_dead();
    }
}

/// Opens a link to an instance that is known only by its address, such as from the platform's
/// instance list, unless it is this one. `id` is empty if the name isn't known.
pub fn connect(node: &Arc<Node>, id: &str, address: SocketAddr) {
    if id != node.settings.instance {
        let source = node.settings.peers.listen.ip();
        tokio::spawn(dial(Arc::clone(node), id.to_string(), address, source));
    }
}

/// Opens a link and serves it until it ends. Marks the peer as suspect if the link can't be opened.
async fn dial(node: Arc<Node>, id: String, address: SocketAddr, source: IpAddr) {
    if !node.links.begin_dial(address) {
        return;
    }
    let opened = tokio::time::timeout(HANDSHAKE_TIMEOUT, open(&node, address, source)).await;
    let outcome = match &opened {
        Ok(Ok(_)) => DialOutcome::Connected,
        Ok(Err(Error::Io(error))) if error.kind() == io::ErrorKind::ConnectionRefused => {
            DialOutcome::Refused
        }
        Ok(Err(_)) | Err(_) => DialOutcome::NoResponse,
    };
    let suspect = node.links.finish_dial(address, outcome);
    if outcome != DialOutcome::Connected {
        node.metrics.count("peers.unreachable");
    }
    if suspect && !node.links.linked().contains(id.as_str()) {
        node.membership
            .mark_unreachable(&id, InstanceState::Suspect);
    }
    if let Ok(Ok(Some((link, frames)))) = opened {
        run(link, frames).await;
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(frame::MAX_FRAME_BYTES))
        .max_frame_size(Some(frame::MAX_FRAME_BYTES))
}

/// The limits before the peer is authenticated.
fn handshake_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(HANDSHAKE_FRAME_BYTES)
        .max_message_size(Some(HANDSHAKE_FRAME_BYTES))
        .max_frame_size(Some(HANDSHAKE_FRAME_BYTES))
}

fn hello(node: &Node) -> Hello {
    Hello {
        protocol: PROTOCOL,
        protocol_min: PROTOCOL_MIN,
        nonce: rand::rng().random(),
        record: node.membership.own(),
        proof: Vec::new(),
    }
}

async fn open(
    node: &Arc<Node>,
    address: SocketAddr,
    source: IpAddr,
) -> Result<Option<Established>, Error> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Connections come from the address that this instance listens on, by which peers know it.
    if !source.is_unspecified() && source.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/peers");
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(socket_config())).await?;
    let remote = receive_hello(&mut socket).await?;
    let mut local = hello(node);
    let nonces = [remote.nonce, local.nonce];
    let key = &node.settings.peers.fleet_key;
    local.proof = frame::proof(key, Side::Dialer, &nonces, &local.record);
    socket
        .send(Message::Binary(frame::encode(&local).into()))
        .await?;
    let remote = receive_hello(&mut socket).await?;
    complete_handshake(node, socket, remote, nonces, Side::Dialer)
}

async fn accept(node: Arc<Node>, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let handshake = async {
        stream.set_nodelay(true)?;
        let mut socket =
            tokio_tungstenite::accept_async_with_config(stream, Some(handshake_config())).await?;
        let mut local = hello(&node);
        socket
            .send(Message::Binary(frame::encode(&local).into()))
            .await?;
        let remote = receive_hello(&mut socket).await?;
        let nonces = [local.nonce, remote.nonce];
        let key = &node.settings.peers.fleet_key;
        if let Err(error) = frame::verify_proof(key, Side::Dialer, &nonces, &remote) {
            node.metrics.count(error.counter());
            return Err(Error::ConnectionClosed);
        }
        // A peer sends nothing more before it has the response.
        let stream = socket.into_inner();
        let config = Some(socket_config());
        let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
        local.proof = frame::proof(key, Side::Listener, &nonces, &local.record);
        socket
            .send(Message::Binary(frame::encode(&local).into()))
            .await?;
        complete_handshake(&node, socket, remote, nonces, Side::Listener)
    };
    let established = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    drop(permit);
    if let Ok(Ok(Some((link, frames)))) = established {
        run(link, frames).await;
    }
}

async fn receive_hello(socket: &mut Socket) -> Result<Hello, Error> {
    let Some(message) = socket.next().await else {
        return Err(Error::ConnectionClosed);
    };
    match message? {
        Message::Binary(bytes) => frame::decode(&bytes).map_err(|_| Error::ConnectionClosed),
        _ => Err(Error::ConnectionClosed),
    }
}

/// Verifies the remote side's protocol version and proof, and registers the link. Returns `None` if
/// the remote side is this instance itself or an existing link is kept.
fn complete_handshake(
    node: &Arc<Node>,
    socket: Socket,
    remote: Hello,
    nonces: [[u8; 16]; 2],
    side: Side,
) -> Result<Option<Established>, Error> {
    let key = &node.settings.peers.fleet_key;
    let compatible = remote.protocol >= PROTOCOL_MIN && remote.protocol_min <= PROTOCOL;
    let verified = if compatible {
        frame::verify_proof(key, side.other(), &nonces, &remote)
    } else {
        Err(LinkError::Version)
    };
    if let Err(error) = verified {
        node.metrics.count(error.counter());
        return Err(Error::ConnectionClosed);
    }
    let protocol = remote.protocol.min(PROTOCOL);
    let own = &node.settings.instance;
    if remote.record.id == *own {
        return Ok(None);
    }
    let Some((registration, frames)) =
        node.links
            .register(own, &remote.record, side == Side::Dialer, protocol)
    else {
        return Ok(None);
    };
    node.membership.merge(remote.record.clone());
    let link = Link {
        node: Arc::clone(node),
        socket,
        outbound: Seal::new(key, side, &nonces),
        inbound: Seal::new(key, side.other(), &nonces),
        peer: remote.record,
        registration,
        protocol,
        snapshot: Vec::new(),
        replication: Replication::default(),
        last_received: Instant::now(),
        record_sync: RecordSync::default(),
    };
    Ok(Some((link, frames)))
}

async fn run(mut link: Link, frames: mpsc::Receiver<Frame>) {
    let result = link.exchange_frames(frames).await;
    if let Err(Some(refusal)) = result {
        link.node.metrics.count(refusal.counter());
        log::warn!("peer={} link=closed reason={refusal}", link.peer.id);
    }
    if link.node.links.unregister(&link.registration) {
        link.node.metrics.count("peers.lost");
    }
}

impl Link {
    /// Exchanges frames until the link ends. The error is the protocol violation that ended it, or
    /// `None` if the connection broke or timed out.
    async fn exchange_frames(
        &mut self,
        mut frames: mpsc::Receiver<Frame>,
    ) -> Result<(), Option<LinkError>> {
        let mut updates = self.node.membership.subscribe();
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let all = self.node.membership.all();
        self.send(&Frame::Instances(all)).await?;
        let limits = self.node.pools.limit_notices();
        if !limits.is_empty() {
            self.send(&Frame::RateLimits(limits)).await?;
        }
        let crashes = self.node.pools.crash_notices();
        if !crashes.is_empty() {
            self.send(&Frame::Crashes(crashes)).await?;
        }
        for leaving in self.node.leaving_servers.frames() {
            self.send(&leaving).await?;
        }
        let isolated = self.node.isolated.all();
        if !isolated.is_empty() {
            self.send(&Frame::Isolation(isolated)).await?;
        }
        loop {
            tokio::select! {
                message = self.socket.next() => {
                    let Some(Ok(message)) = message else {
                        return Err(None);
                    };
                    self.last_received = Instant::now();
                    self.receive(message).await?;
                }
                frame = frames.recv() => match frame {
                    Some(frame) => self.send(&frame).await?,
                    None => return Err(None),
                },
                record = updates.recv() => match record {
                    Ok(record) => self.send_updates(record, &mut updates).await?,
                    Err(broadcast::error::RecvError::Lagged(_)) => {
                        let all = self.node.membership.all();
                        self.send(&Frame::Instances(all)).await?;
                    }
                    Err(broadcast::error::RecvError::Closed) => return Ok(()),
                },
                _ = heartbeat.tick() => {
                    if self.last_received.elapsed() > IDLE_TIMEOUT {
                        return Err(None);
                    }
                    let frame = self.node.heartbeat();
                    self.send(&frame).await?;
                    self.send_all(replication::status_frame(&self.node)).await?;
                }
            }
        }
    }

    /// Sends updated instance records, batched with those already queued. The peer's own record is
    /// left out unless others marked it as suspect or dead, which it has to learn to refute.
    async fn send_updates(
        &mut self,
        first: InstanceRecord,
        updates: &mut broadcast::Receiver<InstanceRecord>,
    ) -> Result<(), Option<LinkError>> {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_RECORDS {
            match updates.try_recv() {
                Ok(record) => batch.push(record),
                Err(broadcast::error::TryRecvError::Lagged(_)) => {
                    batch = self.node.membership.all();
                    break;
                }
                Err(_) => break,
            }
        }
        batch.retain(|r| r.id != self.peer.id || r.state > InstanceState::Leaving);
        if batch.is_empty() {
            return Ok(());
        }
        self.send(&Frame::Instances(batch)).await
    }

    async fn send_all(
        &mut self,
        frames: impl IntoIterator<Item = Frame>,
    ) -> Result<(), Option<LinkError>> {
        for frame in frames {
            self.send(&frame).await?;
        }
        Ok(())
    }

    async fn send(&mut self, frame: &Frame) -> Result<(), Option<LinkError>> {
        if self.protocol < frame.since() {
            return Ok(());
        }
        let bytes = self.outbound.seal(frame);
        self.node.metrics.add("peers.bytes", bytes.len() as u64);
        let sent =
            tokio::time::timeout(IDLE_TIMEOUT, self.socket.send(Message::Binary(bytes))).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            _ => Err(None),
        }
    }

    async fn receive(&mut self, message: Message) -> Result<(), Option<LinkError>> {
        let bytes = match message {
            Message::Binary(bytes) => bytes,
            Message::Close(_) => return Err(None),
            _ => return Ok(()),
        };
        let frame = self.inbound.open(&bytes).map_err(Some)?;
        let node = Arc::clone(&self.node);
        match frame {
            Frame::Heartbeat {
                number,
                digest,
                floors,
                demand,
            } => {
                node.links.merge_floors(&floors);
                if let Some(demand) = &demand {
                    node.pools.merge_demand(demand);
                }
                let own = node.changelog.catalogue().number();
                if number > own {
                    self.send(&Frame::RequestChanges(own)).await?;
                }
                let own = node.membership.digest();
                if self.record_sync.is_due(digest, own, Instant::now()) {
                    node.metrics.count("peers.digest_differs");
                    self.send(&Frame::RequestInstances).await?;
                }
            }
            Frame::Instances(records) => {
                for record in records {
                    node.membership.merge(record);
                }
            }
            Frame::RequestInstances => {
                let all = node.membership.all();
                self.send(&Frame::Instances(all)).await?;
            }
            Frame::RequestChanges(after) => self.send_changes(after).await?,
            Frame::Changes(changes) => node.changelog.ingest(changes),
            Frame::Snapshot {
                number,
                part,
                parts,
                objects,
            } => self.receive_snapshot_part(number, part, parts, objects),
            Frame::Claim { call, operation } => {
                let id = self.peer.id.clone();
                tokio::spawn(async move {
                    let outcome = node.claims.submit(operation).await;
                    node.links.send(&id, Frame::ClaimReply { call, outcome });
                });
            }
            Frame::ClaimReply { call, outcome } => node.links.complete_claim(call, outcome),
            Frame::ServerLeaving { server, at_ms } => {
                node.mark_server_leaving(&server, at_ms, Some(&self.peer.id));
            }
            Frame::RateLimits(limits) => node.pools.merge_limits(&limits),
            Frame::Brittle(pools) => node.pools.merge_brittle(&pools),
            Frame::Isolation(records) => {
                let news = node.isolated.merge(&records);
                if !news.is_empty() {
                    let frame = Frame::Isolation(news);
                    node.links.broadcast(&frame, Some(&self.peer.id));
                }
            }
            Frame::Crashes(crashes) => node.pools.merge_crashes(crashes),
            Frame::StreamOrigins(groups) => node.stream_origins.keep(&groups),
            Frame::FindOrigins(queries) => {
                node.stream_origins.receive_queries(&queries, &self.peer.id);
            }
            Frame::FoundOrigins(replies) => node.stream_origins.receive_replies(&replies),
            Frame::Replicas { sent_ms, statuses } => {
                let peer = &self.peer.id;
                let replication = &mut self.replication;
                let requests = replication.receive_statuses(&node, peer, sent_ms, &statuses);
                self.send_all(requests).await?;
            }
            Frame::RequestObjects(request) => {
                let frames = replication::respond(&node, &request, self.protocol);
                self.send_all(frames).await?;
            }
            Frame::PollDuty(poll) => polling::receive(&node, &poll, Some(&self.peer.id)),
            Frame::DutyCounts(counts) => polling::pass_on(&node, counts),
            Frame::Objects(part) => {
                let received = self.replication.receive_part(&node, &self.peer.id, &part);
                received.map_err(Some)?;
            }
        }
        Ok(())
    }

    async fn send_changes(&mut self, after: u64) -> Result<(), Option<LinkError>> {
        let changes = self.node.changelog.changes_after(after);
        if !changes.is_empty() {
            return self.send(&Frame::Changes(changes)).await;
        }
        let catalogue = self.node.changelog.catalogue();
        let objects: Vec<Object> = catalogue.objects().map(|o| o.as_ref().clone()).collect();
        let parts: Vec<&[Object]> = objects.chunks(SNAPSHOT_PART_OBJECTS).collect();
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        for (part, objects) in (0..).zip(parts) {
            let frame = Frame::Snapshot {
                number: catalogue.number(),
                part,
                parts: count,
                objects: objects.to_vec(),
            };
            self.send(&frame).await?;
        }
        Ok(())
    }

    fn receive_snapshot_part(&mut self, number: u64, part: u32, parts: u32, objects: Vec<Object>) {
        if part == 0 {
            self.snapshot.clear();
        }
        self.snapshot.extend(objects);
        if part + 1 == parts {
            let objects = std::mem::take(&mut self.snapshot);
            self.node
                .changelog
                .restore(Catalogue::restore(number, objects));
        }
    }
}
