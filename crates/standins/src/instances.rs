//! The instances of a run, each with a thread of its own, so that one can be killed or paused alone.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use jackdawtally::daemon::{Addresses, Daemon};
use jackdawtally::node::Node;
use jackdawtally::object;
use jackdawtally::settings::{Callers, Limits, Metrics, Operators, Peers, Platform, Settings};
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use crate::deployment::OPERATOR_TOKEN;
use crate::round_robin::RoundRobinRouter;

/// What an instance is told by the bench.
enum Command {
    /// Stand still for a while.
    Pause(Duration),
    /// Finish and leave.
    Drain,
    /// Tell the processor time used so far.
    Cpu(oneshot::Sender<Duration>),
}

/// A running instance.
pub struct Instance {
    /// Its name.
    pub id: SmolStr,
    /// Where it listens.
    pub addresses: Addresses,
    /// Its inner state, where it is one of the product's.
    pub node: Option<Arc<Node>>,
    commands: mpsc::UnboundedSender<Command>,
    kill: watch::Sender<bool>,
}

/// What a started instance tells: where it listens, and its inner state.
type Started = (Addresses, Option<Arc<Node>>);

/// What an instance is made of.
#[derive(Clone)]
pub struct InstanceSpec {
    /// Its name.
    pub id: SmolStr,
    /// Its place among the instances, from 1; decides its loopback address.
    pub place: u8,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The address at which peers reach it, through the bench's relay.
    pub advertise: SocketAddr,
}

impl InstanceSpec {
    /// The loopback address that the instance's links come from.
    #[must_use]
    pub const fn source(&self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 0, 1, self.place))
    }

    fn settings(&self) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            instance: self.id.clone(),
            data_centre: self.data_centre.clone(),
            callers: Callers { listen: any },
            operators: Operators {
                listen: any,
                token_hashes: [("demo".into(), object::key_hash(OPERATOR_TOKEN))].into(),
            },
            peers: Peers {
                listen: SocketAddr::new(self.source(), 0),
                advertise: Some(self.advertise),
                fleet_key: "the secret of the bench's fleet".into(),
                seeds: Vec::new(),
            },
            platform: Platform {
                address: self.platform,
                timeout_ms: 1_000,
            },
            limits: Limits::default(),
            metrics: Metrics::default(),
        }
    }
}

impl Instance {
    /// Starts one of the product's instances.
    ///
    /// # Errors
    /// When it can't start.
    pub async fn start(spec: &InstanceSpec) -> Result<Self, String> {
        let (started, ready) = oneshot::channel();
        let (commands, receiver) = mpsc::unbounded_channel();
        let (kill, killed) = watch::channel(false);
        let settings = spec.settings();
        spawn(killed, async move {
            let daemon = match Daemon::start(settings).await {
                Ok(daemon) => daemon,
                Err(error) => {
                    let _ = started.send(Err(error.to_string()));
                    return;
                }
            };
            let _ = started.send(Ok((daemon.addresses, Some(Arc::clone(&daemon.node)))));
            if obey(receiver).await {
                daemon.leave().await;
            }
        });
        Self::ready(spec, ready, commands, kill).await
    }

    /// Starts a plain router.
    ///
    /// # Errors
    /// When it can't start.
    pub async fn start_baseline(
        spec: &InstanceSpec,
        router: Arc<RoundRobinRouter>,
        listener: std::net::TcpListener,
    ) -> Result<Self, String> {
        let (started, ready) = oneshot::channel();
        let (commands, receiver) = mpsc::unbounded_channel();
        let (kill, killed) = watch::channel(false);
        spawn(killed, async move {
            let listener = listener
                .set_nonblocking(true)
                .and_then(|()| TcpListener::from_std(listener));
            let address = listener.and_then(|l| Ok((l.local_addr()?, l)));
            let (callers, listener) = match address {
                Ok(address) => address,
                Err(error) => {
                    let _ = started.send(Err(error.to_string()));
                    return;
                }
            };
            let addresses = Addresses {
                callers,
                operators: callers,
                peers: callers,
            };
            let _ = started.send(Ok((addresses, None)));
            tokio::select! {
                () = router.serve(listener) => {}
                _ = obey(receiver) => {}
            }
        });
        Self::ready(spec, ready, commands, kill).await
    }

    async fn ready(
        spec: &InstanceSpec,
        ready: oneshot::Receiver<Result<Started, String>>,
        commands: mpsc::UnboundedSender<Command>,
        kill: watch::Sender<bool>,
    ) -> Result<Self, String> {
        let (addresses, node) = ready.await.map_err(|e| e.to_string())??;
        Ok(Self {
            id: spec.id.clone(),
            addresses,
            node,
            commands,
            kill,
        })
    }

    /// Ends it at once, with all its connections.
    pub fn kill(&self) {
        self.kill.send_replace(true);
    }

    /// Lets it stand still for a while.
    pub fn pause(&self, time: Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }

    /// Lets it finish and leave.
    pub fn drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// The processor time that it has used.
    pub async fn cpu(&self) -> Option<Duration> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::Cpu(reply)).ok()?;
        answer.await.ok()
    }
}

/// Runs an instance in a thread of its own until it ends or is killed.
fn spawn(mut killed: watch::Receiver<bool>, run: impl Future<Output = ()> + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let Ok(runtime) = runtime else {
            return;
        };
        runtime.block_on(async {
            tokio::select! {
                () = run => {}
                _ = killed.wait_for(|k| *k) => {}
            }
        });
        runtime.shutdown_background();
    });
}

/// Obeys the bench; ends with whether the instance is to be drained.
async fn obey(mut commands: mpsc::UnboundedReceiver<Command>) -> bool {
    while let Some(command) = commands.recv().await {
        match command {
            // Blocks the instance's only thread, as a pause of its process would.
            Command::Pause(time) => std::thread::sleep(time),
            Command::Drain => return true,
            Command::Cpu(reply) => {
                let _ = reply.send(thread_cpu());
            }
        }
    }
    std::future::pending().await
}

/// Processor time of this thread.
fn thread_cpu() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}
