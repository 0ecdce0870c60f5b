//! One link to a peer: a WebSocket, one task, sealed frames.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{broadcast, mpsc};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};

use crate::config::catalogue::Catalogue;
use crate::config::object::Object;
use crate::fleet::frame::{self, Frame, Hello, PROTOCOL, PROTOCOL_MIN, Refusal, Seal, Side};
use crate::fleet::links::{self, Dialed, Registration};
use crate::fleet::membership::{InstanceRecord, InstanceState};
use crate::node::Node;

/// Time between two beats.
const BEAT: Duration = Duration::from_millis(500);
/// Silence from which a link counts as broken.
const IDLE: Duration = Duration::from_millis(2_500);
/// Shortest time between two questions for all facts of a peer.
const ASK: Duration = Duration::from_secs(3);
/// Facts in one frame of news at most.
const NEWS: usize = 64;
/// Bound on connecting and greeting.
const GREETING: Duration = Duration::from_secs(1);
/// Time between two looks at which links are missing.
const DIAL: Duration = Duration::from_millis(300);
/// Time between two tries of an instance that was lost sight of.
const DIAL_LOST: Duration = Duration::from_secs(2);
/// Time of suspicion after which an instance counts as dead.
const SUSPICION: Duration = Duration::from_secs(3);
/// Objects in one part of a whole configuration.
const PART_OBJECTS: usize = 512;

type Socket = WebSocketStream<TcpStream>;
type Opened = (Link, mpsc::Receiver<Frame>);

struct Link {
    node: Arc<Node>,
    socket: Socket,
    seal: Seal,
    open: Seal,
    peer: InstanceRecord,
    registration: Registration,
    parts: Vec<Object>,
    heard: Instant,
    /// When the peer's facts were last asked for.
    asked: Option<Instant>,
}

/// Accepts peers' links for ever.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(accept(Arc::clone(&node), stream));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Opens missing links and judges who is gone, for ever.
pub async fn maintain(node: Arc<Node>, source: IpAddr) {
    let mut interval = tokio::time::interval(DIAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tried_lost = Instant::now();
    let mut turn = 0;
    loop {
        interval.tick().await;
        let membership = &node.membership;
        let linked = node.links.linked();
        let mut targets = links::desired_links(membership);
        if tried_lost.elapsed() >= DIAL_LOST {
            tried_lost = Instant::now();
            targets.extend(links::lost(membership, turn));
            turn += 1;
            if membership.running().len() == 1 {
                let seeds = node.settings.peers.seeds.iter();
                targets.extend(seeds.map(|address| ("".into(), *address)));
            }
        }
        targets.retain(|(id, _)| !linked.contains(id));
        for (id, address) in targets {
            tokio::spawn(dial(Arc::clone(&node), id.to_string(), address, source));
        }
        for id in membership.suspected(SUSPICION) {
            membership.accuse(&id, InstanceState::Dead);
        }
        membership.forget();
    }
}

/// Opens a link to an instance that only the platform's list names.
pub fn connect(node: &Arc<Node>, id: &str, address: SocketAddr) {
    if id != node.settings.instance {
        let source = node.settings.peers.listen.ip();
        tokio::spawn(dial(Arc::clone(node), id.to_string(), address, source));
    }
}

/// Opens a link, and suspects the peer when it can't be opened.
async fn dial(node: Arc<Node>, id: String, address: SocketAddr, source: IpAddr) {
    if !node.links.dial(address) {
        return;
    }
    let opened = tokio::time::timeout(GREETING, open(&node, address, source)).await;
    let end = match &opened {
        Ok(Ok(_)) => Dialed::Answered,
        Ok(Err(Error::Io(error))) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Dialed::Refused
        }
        Ok(Err(_)) | Err(_) => Dialed::Silent,
    };
    let suspect = node.links.dialed(address, end);
    if end != Dialed::Answered {
        node.metrics.count("peers.unreachable");
    }
    if suspect && !node.links.linked().contains(id.as_str()) {
        node.membership.accuse(&id, InstanceState::Suspect);
    }
    if let Ok(Ok(Some((link, frames)))) = opened {
        run(link, frames).await;
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(frame::FRAME_BYTES))
        .max_frame_size(Some(frame::FRAME_BYTES))
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
) -> Result<Option<Opened>, Error> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Peers know this instance by the address that it listens on.
    if !source.is_unspecified() && source.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/peers");
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(config())).await?;
    let theirs = receive_hello(&mut socket).await?;
    let mut ours = hello(node);
    let nonces = [theirs.nonce, ours.nonce];
    let key = &node.settings.peers.fleet_key;
    ours.proof = frame::proof(key, Side::Dialer, &nonces, &ours.record);
    socket
        .send(Message::Binary(frame::encode(&ours).into()))
        .await?;
    let theirs = receive_hello(&mut socket).await?;
    greet(node, socket, theirs, nonces, Side::Dialer)
}

async fn accept(node: Arc<Node>, stream: TcpStream) {
    let greeting = async {
        stream.set_nodelay(true)?;
        let mut socket =
            tokio_tungstenite::accept_async_with_config(stream, Some(config())).await?;
        let mut ours = hello(&node);
        socket
            .send(Message::Binary(frame::encode(&ours).into()))
            .await?;
        let theirs = receive_hello(&mut socket).await?;
        let nonces = [ours.nonce, theirs.nonce];
        let key = &node.settings.peers.fleet_key;
        if let Err(refusal) = frame::check_proof(key, Side::Dialer, &nonces, &theirs) {
            node.metrics.count(refusal.counter());
            return Err(Error::ConnectionClosed);
        }
        ours.proof = frame::proof(key, Side::Listener, &nonces, &ours.record);
        socket
            .send(Message::Binary(frame::encode(&ours).into()))
            .await?;
        greet(&node, socket, theirs, nonces, Side::Listener)
    };
    if let Ok(Ok(Some((link, frames)))) = tokio::time::timeout(GREETING, greeting).await {
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

/// Checks the other side's greeting, and puts the link in place.
fn greet(
    node: &Arc<Node>,
    socket: Socket,
    theirs: Hello,
    nonces: [[u8; 16]; 2],
    side: Side,
) -> Result<Option<Opened>, Error> {
    let key = &node.settings.peers.fleet_key;
    let understood = theirs.protocol >= PROTOCOL_MIN && theirs.protocol_min <= PROTOCOL;
    let checked = if understood {
        frame::check_proof(key, side.other(), &nonces, &theirs)
    } else {
        Err(Refusal::Version)
    };
    if let Err(refusal) = checked {
        node.metrics.count(refusal.counter());
        return Err(Error::ConnectionClosed);
    }
    let own = &node.settings.instance;
    if theirs.record.id == *own {
        return Ok(None);
    }
    let Some((registration, frames)) =
        node.links
            .register(own, &theirs.record, side == Side::Dialer)
    else {
        return Ok(None);
    };
    node.membership.merge(theirs.record.clone());
    let link = Link {
        node: Arc::clone(node),
        socket,
        seal: Seal::new(key, side, &nonces),
        open: Seal::new(key, side.other(), &nonces),
        peer: theirs.record,
        registration,
        parts: Vec::new(),
        heard: Instant::now(),
        asked: None,
    };
    Ok(Some((link, frames)))
}

async fn run(mut link: Link, frames: mpsc::Receiver<Frame>) {
    let result = link.talk(frames).await;
    if let Err(Some(refusal)) = result {
        link.node.metrics.count(refusal.counter());
        log::warn!("peer={} link=closed reason={refusal}", link.peer.id);
    }
    if link.node.links.unregister(&link.registration) {
        link.node.metrics.count("peers.lost");
    }
}

impl Link {
    /// Exchanges frames until the link ends; fails with the refusal that ended it, if one did.
    async fn talk(&mut self, mut frames: mpsc::Receiver<Frame>) -> Result<(), Option<Refusal>> {
        let mut news = self.node.membership.subscribe();
        let mut beat = tokio::time::interval(BEAT);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let all = self.node.membership.all();
        self.send(&Frame::Instances(all)).await?;
        loop {
            tokio::select! {
                message = self.socket.next() => {
                    let Some(Ok(message)) = message else {
                        return Err(None);
                    };
                    self.heard = Instant::now();
                    self.receive(message).await?;
                }
                frame = frames.recv() => match frame {
                    Some(frame) => self.send(&frame).await?,
                    None => return Err(None),
                },
                facts = news.recv() => match facts {
                    Ok(facts) => self.tell(facts, &mut news).await?,
                    Err(broadcast::error::RecvError::Lagged(_)) => {
                        let all = self.node.membership.all();
                        self.send(&Frame::Instances(all)).await?;
                    }
                    Err(broadcast::error::RecvError::Closed) => return Ok(()),
                },
                _ = beat.tick() => {
                    if self.heard.elapsed() > IDLE {
                        return Err(None);
                    }
                    let frame = self.node.heartbeat();
                    self.send(&frame).await?;
                }
            }
        }
    }

    /// Passes on news, with what more there is by now, but for what the peer says of itself.
    async fn tell(
        &mut self,
        first: InstanceRecord,
        news: &mut broadcast::Receiver<InstanceRecord>,
    ) -> Result<(), Option<Refusal>> {
        let mut batch = vec![first];
        while batch.len() < NEWS {
            match news.try_recv() {
                Ok(facts) => batch.push(facts),
                Err(broadcast::error::TryRecvError::Lagged(_)) => {
                    batch = self.node.membership.all();
                    break;
                }
                Err(_) => break,
            }
        }
        batch.retain(|f| f.id != self.peer.id || f.state > InstanceState::Leaving);
        if batch.is_empty() {
            return Ok(());
        }
        self.send(&Frame::Instances(batch)).await
    }

    async fn send(&mut self, frame: &Frame) -> Result<(), Option<Refusal>> {
        let bytes = self.seal.seal(frame);
        self.node.metrics.add("peers.bytes", bytes.len() as u64);
        let sent = tokio::time::timeout(IDLE, self.socket.send(Message::Binary(bytes))).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            _ => Err(None),
        }
    }

    async fn receive(&mut self, message: Message) -> Result<(), Option<Refusal>> {
        let bytes = match message {
            Message::Binary(bytes) => bytes,
            Message::Close(_) => return Err(None),
            _ => return Ok(()),
        };
        let frame = self.open.open(&bytes).map_err(Some)?;
        let node = Arc::clone(&self.node);
        match frame {
            Frame::Heartbeat {
                number,
                digest,
                floors,
            } => {
                node.links.heard(&floors);
                let own = node.changelog.catalogue().number();
                if number > own {
                    self.send(&Frame::RequestChanges(own)).await?;
                }
                let asked = self.asked.is_some_and(|at| at.elapsed() < ASK);
                if digest != node.membership.digest() && !asked {
                    self.asked = Some(Instant::now());
                    node.metrics.count("peers.digest_differs");
                    self.send(&Frame::RequestInstances).await?;
                }
            }
            Frame::Instances(facts) => {
                for facts in facts {
                    node.membership.merge(facts);
                }
            }
            Frame::RequestInstances => {
                let all = node.membership.all();
                self.send(&Frame::Instances(all)).await?;
            }
            Frame::RequestChanges(after) => self.send_changes(after).await?,
            Frame::Changes(changes) => node.changelog.learn(changes),
            Frame::Snapshot {
                number,
                part,
                parts,
                objects,
            } => self.take_part(number, part, parts, objects),
            Frame::Claim { call, operation } => {
                let id = self.peer.id.clone();
                tokio::spawn(async move {
                    let outcome = node.claims.submit(operation).await;
                    node.links.send(&id, Frame::ClaimReply { call, outcome });
                });
            }
            Frame::ClaimReply { call, outcome } => node.links.replied(call, outcome),
            Frame::ServerLeaving { server, at_ms } => {
                node.server_leaves(&server, at_ms, Some(&self.peer.id));
            }
        }
        Ok(())
    }

    async fn send_changes(&mut self, after: u64) -> Result<(), Option<Refusal>> {
        let changes = self.node.changelog.changes_after(after);
        if !changes.is_empty() {
            return self.send(&Frame::Changes(changes)).await;
        }
        let catalogue = self.node.changelog.catalogue();
        let objects: Vec<Object> = catalogue.objects().map(|o| o.as_ref().clone()).collect();
        let parts: Vec<&[Object]> = objects.chunks(PART_OBJECTS).collect();
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

    fn take_part(&mut self, number: u64, part: u32, parts: u32, objects: Vec<Object>) {
        if part == 0 {
            self.parts.clear();
        }
        self.parts.extend(objects);
        if part + 1 == parts {
            let objects = std::mem::take(&mut self.parts);
            self.node
                .changelog
                .restore(Catalogue::restore(number, objects));
        }
    }
}
