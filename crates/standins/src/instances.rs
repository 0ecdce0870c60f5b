//! The router instances of a run. Each runs on its own thread, so that a single one can be killed or
//! paused.

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

/// A command of the bench to the thread of an instance.
enum Command {
    /// Block the thread for this time.
    Pause(Duration),
    /// Drain the instance.
    Drain,
    /// Send the CPU time used so far.
    CpuTime(oneshot::Sender<Duration>),
}

/// A running instance of the router or of the baseline.
pub struct Instance {
    /// Name of the instance.
    pub id: SmolStr,
    /// Addresses on which it listens.
    pub addresses: Addresses,
    /// Its internal state; `None` for the baseline router.
    pub node: Option<Arc<Node>>,
    commands: mpsc::UnboundedSender<Command>,
    kill: watch::Sender<bool>,
}

/// The addresses and the internal state of a started instance.
type Started = (Addresses, Option<Arc<Node>>);

/// The configuration of an instance.
#[derive(Clone)]
pub struct InstanceSpec {
    /// Name of the instance.
    pub id: SmolStr,
    /// Number of the instance, from 1; the last byte of its loopback address.
    pub number: u8,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address of the simulated platform.
    pub platform: SocketAddr,
    /// Address at which peers reach it, which is that of its relay in the simulated network.
    pub advertise: SocketAddr,
}

impl InstanceSpec {
    /// Returns the loopback address from which the instance connects to its peers.
    #[must_use]
    pub const fn peer_source(&self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 0, 1, self.number))
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
                listen: SocketAddr::new(self.peer_source(), 0),
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
            duties: None,
        }
    }
}

impl Instance {
    /// Starts an instance of the router on its own thread.
    ///
    /// # Errors
    /// If it can't start, with the reason.
    pub async fn start(spec: &InstanceSpec) -> Result<Self, String> {
        let (started, ready) = oneshot::channel();
        let (commands, receiver) = mpsc::unbounded_channel();
        let (kill, killed) = watch::channel(false);
        let settings = spec.settings();
        spawn_thread(killed, async move {
            let daemon = match Daemon::start(settings).await {
                Ok(daemon) => daemon,
                Err(error) => {
                    let _ = started.send(Err(error.to_string()));
                    return;
                }
            };
            let _ = started.send(Ok((daemon.addresses, Some(Arc::clone(&daemon.node)))));
            if run_commands(receiver).await {
                daemon.shutdown().await;
            }
        });
        Self::wait_ready(spec, ready, commands, kill).await
    }

    /// Starts an instance of the baseline router on its own thread.
    ///
    /// # Errors
    /// If it can't start, with the reason.
    pub async fn start_baseline(
        spec: &InstanceSpec,
        router: Arc<RoundRobinRouter>,
        listener: std::net::TcpListener,
    ) -> Result<Self, String> {
        let (started, ready) = oneshot::channel();
        let (commands, receiver) = mpsc::unbounded_channel();
        let (kill, killed) = watch::channel(false);
        spawn_thread(killed, async move {
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
                _ = run_commands(receiver) => {}
            }
        });
        Self::wait_ready(spec, ready, commands, kill).await
    }

    async fn wait_ready(
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

    /// Ends the instance at once and closes all its connections.
    pub fn kill(&self) {
        self.kill.send_replace(true);
    }

    /// Blocks the thread of the instance for `time`.
    pub fn pause(&self, time: Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }

    /// Drains the instance: it finishes its requests and stops.
    pub fn drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// Returns the CPU time that the instance has used; `None` if its thread has ended.
    pub async fn cpu_time(&self) -> Option<Duration> {
        let (reply, response) = oneshot::channel();
        self.commands.send(Command::CpuTime(reply)).ok()?;
        response.await.ok()
    }
}

/// Runs an instance on its own thread until it ends or is killed.
fn spawn_thread(mut killed: watch::Receiver<bool>, run: impl Future<Output = ()> + Send + 'static) {
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

/// Executes the commands of the bench. Returns true on the command to drain, and never returns
/// otherwise.
async fn run_commands(mut commands: mpsc::UnboundedReceiver<Command>) -> bool {
    while let Some(command) = commands.recv().await {
        match command {
            // Blocks the only thread of the instance, as suspending its process would.
            Command::Pause(time) => std::thread::sleep(time),
            Command::Drain => return true,
            Command::CpuTime(reply) => {
                let _ = reply.send(thread_cpu_time());
            }
        }
    }
    std::future::pending().await
}

/// Returns the CPU time of the current thread; zero if it can't be read.
fn thread_cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}
