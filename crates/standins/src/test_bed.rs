//! All systems of one run: the simulated platform, servers and network, and the router instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawtally::platform::{ListedInstance, Presence};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::caller::InstanceAddress;
use crate::deployment::Deployment;
use crate::execution_log::ExecutionLog;
use crate::faults::Action;
use crate::instances::{Instance, InstanceSpec};
use crate::network::Network;
use crate::platform::Platform;
use crate::round_robin::RoundRobinRouter;
use crate::simulated_server::{Options, SimulatedServer};

/// Time until the platform removes a crashed instance from its instance list.
const CRASH_DETECTION_TIME: Duration = Duration::from_millis(500);

/// The router under test. The lower-case names of the variants appear in reports and file names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The router of this project.
    Jackdawtally,
    /// The round-robin router that serves as the baseline.
    Naive,
}

/// The systems of one run.
pub struct TestBed {
    /// The deployment. Its backend servers have the addresses of this run.
    pub deployment: Deployment,
    /// The simulated platform.
    pub platform: Arc<Platform>,
    /// The simulated servers of models and generic services, in the order of the declarations.
    pub servers: Vec<Arc<SimulatedServer>>,
    /// Execution log of the servers.
    pub log: Arc<ExecutionLog>,
    network: Network,
    policy: Policy,
    slots: Vec<InstanceSlot>,
    running: Mutex<HashMap<SmolStr, Arc<Instance>>>,
    /// Names of the drained instances, with the time of the request to drain.
    drained: Mutex<Vec<(SmolStr, Instant)>>,
    /// The drained instances. Dropping one would end its thread before it has finished its requests.
    draining: Mutex<Vec<Arc<Instance>>>,
}

/// The identity and relay of an instance, which its replacement after a restart uses as well.
struct InstanceSlot {
    spec: InstanceSpec,
    target: watch::Sender<Option<SocketAddr>>,
}

impl TestBed {
    /// Starts the platform, the servers and the instances.
    ///
    /// # Errors
    /// If one of the systems can't be started.
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
        let data_centres = deployment.data_centres();
        let mut slots = Vec::new();
        for (number, index) in (1..=u8::try_from(instances).unwrap_or(u8::MAX)).zip(0_usize..) {
            let (advertise, target) = network.relay(number).await.map_err(|e| e.to_string())?;
            let spec = InstanceSpec {
                id: format_smolstr!("entry-{number:02}"),
                number,
                data_centre: data_centres[index % data_centres.len()].clone(),
                platform: platform_address,
                advertise,
            };
            slots.push(InstanceSlot { spec, target });
        }
        let bed = Arc::new(Self {
            deployment,
            platform,
            servers,
            log,
            network,
            policy,
            slots,
            running: Mutex::default(),
            drained: Mutex::default(),
            draining: Mutex::default(),
        });
        bed.start_instances().await?;
        Ok(bed)
    }

    async fn start_instances(&self) -> Result<(), String> {
        match self.policy {
            Policy::Jackdawtally => {
                for index in 0..self.slots.len() {
                    self.start_instance(index).await?;
                }
                self.publish_instances();
            }
            Policy::Naive => self.start_baseline().await?,
        }
        Ok(())
    }

    async fn start_instance(&self, index: usize) -> Result<(), String> {
        let slot = &self.slots[index];
        let instance = Instance::start(&slot.spec).await?;
        slot.target.send_replace(Some(instance.addresses.peers));
        self.lock_running()
            .insert(instance.id.clone(), Arc::new(instance));
        Ok(())
    }

    async fn start_baseline(&self) -> Result<(), String> {
        let mut listeners = Vec::new();
        let mut entries = Vec::new();
        for slot in &self.slots {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
            let address = listener.local_addr().map_err(|e| e.to_string())?;
            entries.push(json!({"instance": slot.spec.id, "address": address.to_string()}));
            listeners.push(listener);
        }
        let entries = json!({"entries": entries});
        let mut pools: HashMap<SmolStr, Vec<SocketAddr>> = HashMap::new();
        for server in &self.deployment.declarations.backend_server {
            pools.entry(server.pool()).or_default().push(server.address);
        }
        for (slot, listener) in self.slots.iter().zip(listeners) {
            let router = RoundRobinRouter::new(pools.clone(), entries.clone());
            let instance = Instance::start_baseline(&slot.spec, router, listener).await?;
            self.lock_running()
                .insert(instance.id.clone(), Arc::new(instance));
        }
        Ok(())
    }

    /// Carries out an action of the fault schedule.
    pub async fn apply(self: &Arc<Self>, action: &Action) {
        match action {
            Action::SetStepPercent(server, n) => self.server(*server).set_step_percent(*n),
            Action::Crash(server) => self.server(*server).crash(),
            Action::Recover(server) => self.server(*server).recover(),
            Action::MarkLeaving(server) => self.server(*server).mark_leaving(),
            Action::NameLimit(server, rate) => self.server(*server).name_limit(*rate),
            Action::Outage(active) => {
                self.platform
                    .outage
                    .store(*active, std::sync::atomic::Ordering::Relaxed);
            }
            Action::Latency(ms) => {
                self.platform
                    .latency_ms
                    .store(*ms, std::sync::atomic::Ordering::Relaxed);
            }
            Action::Kill(index) => self.kill(*index),
            Action::Pause(index, time) => {
                if let Some(instance) = self.instance(*index) {
                    instance.pause(*time);
                }
            }
            Action::Drain(index) => self.drain(*index),
            Action::Replace(index) => {
                if self.policy == Policy::Jackdawtally && self.start_instance(*index).await.is_ok()
                {
                    self.publish_instances();
                }
            }
            Action::Partition => {
                let (left, right) = self.partition_sides();
                self.network.partition(&left, &right);
            }
            Action::HealPartition => self.network.heal(),
        }
    }

    /// Returns the numbers of the instances in the first data centre, and of those in the other ones.
    fn partition_sides(&self) -> (Vec<u8>, Vec<u8>) {
        let first = self.slots.first().map(|s| s.spec.data_centre.clone());
        let (left, right): (Vec<_>, Vec<_>) = self
            .slots
            .iter()
            .partition(|s| Some(&s.spec.data_centre) == first.as_ref());
        let numbers = |side: Vec<&InstanceSlot>| side.iter().map(|s| s.spec.number).collect();
        (numbers(left), numbers(right))
    }

    fn server(&self, index: usize) -> &SimulatedServer {
        &self.servers[index]
    }

    fn instance(&self, index: usize) -> Option<Arc<Instance>> {
        let id = &self.slots.get(index)?.spec.id;
        self.lock_running().get(id).cloned()
    }

    fn kill(self: &Arc<Self>, index: usize) {
        if let Some(instance) = self.instance(index) {
            instance.kill();
            self.lock_running().remove(&instance.id);
            let bed = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(CRASH_DETECTION_TIME).await;
                bed.publish_instances();
            });
        }
    }

    fn drain(&self, index: usize) {
        if let Some(instance) = self.instance(index) {
            self.lock_drained()
                .push((instance.id.clone(), Instant::now()));
            instance.drain();
            self.lock_running().remove(&instance.id);
            let mut draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
            draining.push(instance);
            self.publish_instances();
        }
    }

    /// Kills all running instances.
    pub fn stop(&self) {
        for instance in self.lock_running().values() {
            instance.kill();
        }
    }

    fn publish_instances(&self) {
        let running = self.lock_running();
        let listed = self
            .slots
            .iter()
            .filter(|s| running.contains_key(&s.spec.id));
        let listed = listed.map(|s| ListedInstance {
            id: s.spec.id.clone(),
            peers: s.spec.advertise,
            presence: Presence::Live,
        });
        self.platform.set_instances(listed.collect());
    }

    /// Returns the addresses of the running instances for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<InstanceAddress> {
        let running = self.lock_running();
        let addresses = running.values().map(|i| InstanceAddress {
            instance: i.id.clone(),
            address: i.addresses.callers,
        });
        addresses.collect()
    }

    /// Returns the addresses of the running instances for operators, sorted.
    #[must_use]
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<_> = self
            .lock_running()
            .values()
            .map(|i| i.addresses.operators)
            .collect();
        addresses.sort();
        addresses
    }

    /// Returns the number of the last configuration change that each running instance has applied.
    /// Instances of the baseline router are left out.
    #[must_use]
    pub fn config_numbers(&self) -> Vec<((SmolStr, SocketAddr), u64)> {
        let running = self.lock_running();
        let numbers = running.values().filter_map(|i| {
            let number = i.node.as_ref()?.membership.own().config;
            Some(((i.id.clone(), i.addresses.callers), number))
        });
        numbers.collect()
    }

    /// Returns the running instances, in no particular order.
    #[must_use]
    pub fn instances(&self) -> Vec<Arc<Instance>> {
        self.lock_running().values().cloned().collect()
    }

    /// Returns the instances that were drained, with the time of the request to drain.
    #[must_use]
    pub fn drained(&self) -> Vec<(SmolStr, Instant)> {
        self.lock_drained().clone()
    }

    fn lock_drained(&self) -> MutexGuard<'_, Vec<(SmolStr, Instant)>> {
        self.drained.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_running(&self) -> MutexGuard<'_, HashMap<SmolStr, Arc<Instance>>> {
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
        let simulated = SimulatedServer::start(options, any, Arc::clone(log)).await;
        let simulated = simulated.map_err(|e| e.to_string())?;
        server.address = simulated.address;
        servers.push(simulated);
    }
    Ok(servers)
}
