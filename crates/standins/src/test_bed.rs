//! Everything that one run consists of: platform, servers, network and instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawtally::platform::{Listed, Presence};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::caller::InstanceAddress;
use crate::deployment::Deployment;
use crate::execution_log::ExecutionLog;
use crate::faults::Action;
use crate::instances::{Blueprint, Instance};
use crate::naive::Naive;
use crate::network::Network;
use crate::platform::Platform;
use crate::simulated_server::{Options, SimulatedServer};

/// Time after which the platform notices that an instance has died.
const NOTICE: Duration = Duration::from_millis(500);

/// Which router runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product.
    Jackdawtally,
    /// The baseline.
    Naive,
}

/// One run's systems.
pub struct TestBed {
    /// The deployment, with the addresses of this run.
    pub deployment: Deployment,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The model engines and the servers of plain services, in the order of the declarations.
    pub servers: Vec<Arc<SimulatedServer>>,
    /// What they ran.
    pub log: Arc<ExecutionLog>,
    network: Network,
    policy: Policy,
    places: Vec<Place>,
    running: Mutex<HashMap<SmolStr, Arc<Instance>>>,
    drained: Mutex<Vec<(SmolStr, Instant)>>,
    leaving: Mutex<Vec<Arc<Instance>>>,
}

/// A place for an instance, which is kept when the instance is replaced.
struct Place {
    blueprint: Blueprint,
    target: watch::Sender<Option<SocketAddr>>,
}

impl TestBed {
    /// Starts platform, servers and instances.
    ///
    /// # Errors
    /// When something can't be started.
    pub async fn start(
        mut deployment: Deployment,
        policy: Policy,
        seed: u64,
        instances: usize,
    ) -> Result<Arc<Self>, String> {
        let platform = Platform::new(seed);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.map_err(|e| e.to_string())?;
        let platform_address = listener.local_addr().map_err(|e| e.to_string())?;
        tokio::spawn(Arc::clone(&platform).serve(listener));
        let log = Arc::new(ExecutionLog::default());
        let servers = start_servers(&mut deployment, seed, &log).await?;
        let network = Network::default();
        let centres = deployment.data_centres();
        let mut places = Vec::new();
        for (place, number) in (1..=u8::try_from(instances).unwrap_or(u8::MAX)).zip(0_usize..) {
            let (advertise, target) = network.relay(place).await.map_err(|e| e.to_string())?;
            let blueprint = Blueprint {
                id: format_smolstr!("entry-{place:02}"),
                place,
                data_centre: centres[number % centres.len()].clone(),
                platform: platform_address,
                advertise,
            };
            places.push(Place { blueprint, target });
        }
        let bed = Arc::new(Self {
            deployment,
            platform,
            servers,
            log,
            network,
            policy,
            places,
            running: Mutex::default(),
            drained: Mutex::default(),
            leaving: Mutex::default(),
        });
        bed.start_instances().await?;
        Ok(bed)
    }

    async fn start_instances(&self) -> Result<(), String> {
        match self.policy {
            Policy::Jackdawtally => {
                for place in 0..self.places.len() {
                    self.start_instance(place).await?;
                }
                self.tell_platform();
            }
            Policy::Naive => self.start_naive().await?,
        }
        Ok(())
    }

    async fn start_instance(&self, place: usize) -> Result<(), String> {
        let place = &self.places[place];
        let instance = Instance::start(&place.blueprint).await?;
        place.target.send_replace(Some(instance.addresses.peers));
        self.running()
            .insert(instance.id.clone(), Arc::new(instance));
        Ok(())
    }

    async fn start_naive(&self) -> Result<(), String> {
        let mut listeners = Vec::new();
        let mut entries = Vec::new();
        for place in &self.places {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
            let address = listener.local_addr().map_err(|e| e.to_string())?;
            entries.push(json!({"instance": place.blueprint.id, "address": address.to_string()}));
            listeners.push(listener);
        }
        let entries = json!({"entries": entries});
        let mut pools: HashMap<SmolStr, Vec<SocketAddr>> = HashMap::new();
        for server in &self.deployment.declarations.backend_server {
            pools.entry(server.pool()).or_default().push(server.address);
        }
        for (place, listener) in self.places.iter().zip(listeners) {
            let naive = Naive::new(pools.clone(), entries.clone());
            let instance = Instance::start_naive(&place.blueprint, naive, listener).await?;
            self.running()
                .insert(instance.id.clone(), Arc::new(instance));
        }
        Ok(())
    }

    /// Does what the schedule says.
    pub async fn act(self: &Arc<Self>, action: &Action) {
        match action {
            Action::Slow(engine, percent) => self.engine(*engine).set_step_percent(*percent),
            Action::Crash(engine) => self.engine(*engine).crash(),
            Action::Recover(engine) => self.engine(*engine).recover(),
            Action::Leave(engine) => self.engine(*engine).mark_leaving(),
            Action::Outage(out) => {
                self.platform
                    .outage
                    .store(*out, std::sync::atomic::Ordering::Relaxed);
            }
            Action::Latency(ms) => {
                self.platform
                    .latency_ms
                    .store(*ms, std::sync::atomic::Ordering::Relaxed);
            }
            Action::Kill(place) => self.kill(*place),
            Action::Pause(place, time) => {
                if let Some(instance) = self.instance(*place) {
                    instance.pause(*time);
                }
            }
            Action::Drain(place) => self.drain(*place),
            Action::Replace(place) => {
                if self.policy == Policy::Jackdawtally && self.start_instance(*place).await.is_ok()
                {
                    self.tell_platform();
                }
            }
            Action::Cut => {
                let (one, other) = self.sides();
                self.network.cut(&one, &other);
            }
            Action::Heal => self.network.heal(),
        }
    }

    /// The places in the first data centre, and those in the others.
    fn sides(&self) -> (Vec<u8>, Vec<u8>) {
        let first = self.places.first().map(|p| p.blueprint.data_centre.clone());
        let (one, other): (Vec<_>, Vec<_>) = self
            .places
            .iter()
            .partition(|p| Some(&p.blueprint.data_centre) == first.as_ref());
        let places = |side: Vec<&Place>| side.iter().map(|p| p.blueprint.place).collect();
        (places(one), places(other))
    }

    fn engine(&self, place: usize) -> &SimulatedServer {
        &self.servers[place]
    }

    fn instance(&self, place: usize) -> Option<Arc<Instance>> {
        let id = &self.places.get(place)?.blueprint.id;
        self.running().get(id).cloned()
    }

    fn kill(self: &Arc<Self>, place: usize) {
        if let Some(instance) = self.instance(place) {
            instance.kill();
            self.running().remove(&instance.id);
            let bed = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(NOTICE).await;
                bed.tell_platform();
            });
        }
    }

    fn drain(&self, place: usize) {
        if let Some(instance) = self.instance(place) {
            self.lock_drained()
                .push((instance.id.clone(), Instant::now()));
            instance.drain();
            self.running().remove(&instance.id);
            let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
            leaving.push(instance);
            self.tell_platform();
        }
    }

    /// Ends every instance.
    pub fn stop(&self) {
        for instance in self.running().values() {
            instance.kill();
        }
    }

    fn tell_platform(&self) {
        let running = self.running();
        let listed = self
            .places
            .iter()
            .filter(|p| running.contains_key(&p.blueprint.id));
        let listed = listed.map(|p| Listed {
            id: p.blueprint.id.clone(),
            peers: p.blueprint.advertise,
            presence: Presence::Live,
        });
        self.platform.list(listed.collect());
    }

    /// The addresses for callers.
    #[must_use]
    pub fn entries(&self) -> Vec<InstanceAddress> {
        let running = self.running();
        let entries = running.values().map(|i| InstanceAddress {
            instance: i.id.clone(),
            address: i.addresses.callers,
        });
        entries.collect()
    }

    /// The addresses for operators.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self
            .running()
            .values()
            .map(|i| i.addresses.operators)
            .collect();
        addresses.sort();
        addresses
    }

    /// The number that each running instance has in force.
    #[must_use]
    pub fn numbers(&self) -> Vec<((SmolStr, SocketAddr), u64)> {
        let running = self.running();
        let numbers = running.values().filter_map(|i| {
            let number = i.node.as_ref()?.membership.own().config;
            Some(((i.id.clone(), i.addresses.callers), number))
        });
        numbers.collect()
    }

    /// The running instances.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Instance>> {
        self.running().values().cloned().collect()
    }

    /// Instances that were asked to leave, and when.
    #[must_use]
    pub fn drained(&self) -> Vec<(SmolStr, Instant)> {
        self.lock_drained().clone()
    }

    fn lock_drained(&self) -> MutexGuard<'_, Vec<(SmolStr, Instant)>> {
        self.drained.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn running(&self) -> MutexGuard<'_, HashMap<SmolStr, Arc<Instance>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn start_servers(
    deployment: &mut Deployment,
    seed: u64,
    log: &Arc<ExecutionLog>,
) -> Result<Vec<Arc<SimulatedServer>>, String> {
    let mut servers = Vec::new();
    let step = Duration::from_millis(deployment.step_ms);
    for (number, server) in (0..).zip(&mut deployment.declarations.backend_server) {
        let options = Options {
            name: server.name.clone(),
            model: server
                .model
                .clone()
                .or(server.service.clone())
                .unwrap_or_default(),
            slots: server.slots as usize,
            step,
            seed: seed.wrapping_mul(1_000) + number,
        };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = SimulatedServer::start(options, any, Arc::clone(log)).await;
        let engine = engine.map_err(|e| e.to_string())?;
        server.address = engine.address;
        servers.push(engine);
    }
    Ok(servers)
}
