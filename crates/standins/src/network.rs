//! A simulated network between the instances: a TCP relay in front of each, which can be partitioned.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pairs of source and destination, by instance number, between which connections are blocked.
type BlockedPairs = BTreeSet<(u8, u8)>;

/// The simulated network between the instances.
pub struct Network {
    blocked: watch::Sender<BlockedPairs>,
}

impl Default for Network {
    fn default() -> Self {
        let (blocked, _) = watch::channel(BlockedPairs::new());
        Self { blocked }
    }
}

impl Network {
    /// Starts the relay in front of an instance. Returns its address and a sender for the address of the
    /// instance; connections are closed at once until that is set.
    ///
    /// # Errors
    /// If the relay can't bind its address.
    pub async fn relay(
        &self,
        number: u8,
    ) -> std::io::Result<(SocketAddr, watch::Sender<Option<SocketAddr>>)> {
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 2, number)), 0);
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (target, receiver) = watch::channel(None);
        tokio::spawn(serve(
            listener,
            number,
            self.blocked.subscribe(),
            Arc::new(receiver),
        ));
        Ok((address, target))
    }

    /// Blocks connections in both directions between two groups of instances, and closes existing ones.
    pub fn partition(&self, left: &[u8], right: &[u8]) {
        self.blocked.send_modify(|blocked| {
            for a in left {
                blocked.extend(right.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
            }
        });
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        self.blocked.send_modify(BlockedPairs::clear);
    }
}

async fn serve(
    listener: TcpListener,
    number: u8,
    blocked: watch::Receiver<BlockedPairs>,
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
            tokio::spawn(relay_connection(
                stream,
                address,
                (source, number),
                blocked.clone(),
            ));
        }
    }
}

async fn relay_connection(
    mut stream: TcpStream,
    to: SocketAddr,
    pair: (u8, u8),
    mut blocked: watch::Receiver<BlockedPairs>,
) {
    if blocked.borrow().contains(&pair) {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(to).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut onward) => {}
        _ = blocked.wait_for(|c| c.contains(&pair)) => {}
    }
}
