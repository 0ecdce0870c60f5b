//! Relays between peers, which can be cut, so that data centres lose sight of each other.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pairs of sources and destinations, by place, between which nothing passes.
type Cuts = BTreeSet<(u8, u8)>;

/// The network between peers.
pub struct Network {
    cuts: watch::Sender<Cuts>,
}

impl Default for Network {
    fn default() -> Self {
        let (cuts, _) = watch::channel(Cuts::new());
        Self { cuts }
    }
}

impl Network {
    /// Opens the relay in front of the instance at `place`; the target can be set later.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn relay(
        &self,
        place: u8,
    ) -> std::io::Result<(SocketAddr, watch::Sender<Option<SocketAddr>>)> {
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 2, place)), 0);
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (target, receiver) = watch::channel(None);
        tokio::spawn(serve(
            listener,
            place,
            self.cuts.subscribe(),
            Arc::new(receiver),
        ));
        Ok((address, target))
    }

    /// Cuts every pair between two groups of places.
    pub fn partition(&self, one: &[u8], other: &[u8]) {
        self.cuts.send_modify(|cuts| {
            for a in one {
                cuts.extend(other.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
            }
        });
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.cuts.send_modify(Cuts::clear);
    }
}

async fn serve(
    listener: TcpListener,
    place: u8,
    cuts: watch::Receiver<Cuts>,
    target: Arc<watch::Receiver<Option<SocketAddr>>>,
) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            return;
        };
        let source = match from.ip() {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(_) => 0,
        };
        let address = *target.borrow();
        if let Some(address) = address {
            tokio::spawn(pass(stream, address, (source, place), cuts.clone()));
        }
    }
}

async fn pass(
    mut stream: TcpStream,
    to: SocketAddr,
    pair: (u8, u8),
    mut cuts: watch::Receiver<Cuts>,
) {
    if cuts.borrow().contains(&pair) {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(to).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut onward) => {}
        _ = cuts.wait_for(|c| c.contains(&pair)) => {}
    }
}
