//! A few instances with duties, linked without network, with a store and a platform in memory and paused time.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::{self, Future};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Poll as TaskPoll;
use std::time::Duration;

use jackdawtally::fleet::duties::clock::Clocks;
use jackdawtally::fleet::duties::lease::{Object, Reading, Write};
use jackdawtally::fleet::duties::state::Duties;
use jackdawtally::fleet::duties::store::DutyStore;
use jackdawtally::fleet::duties::{
    CallError, Duty, DutyPlatform, DutySettings, Permission, Token, UsageReport, keeper, polling,
    reporter,
};
use jackdawtally::frame::Frame;
use jackdawtally::load::scaling::Order;
use jackdawtally::membership::{InstanceRecord, InstanceState};
use jackdawtally::node::Node;
use jackdawtally::settings::Settings;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::common;

pub const LEASE: Duration = Duration::from_secs(3);
pub const WINDOW: Duration = Duration::from_secs(5);
pub const DUE: Duration = Duration::from_secs(10);
/// The time of day at the start of a test, in ms since the Unix epoch; a window begins then.
const START_MS: u64 = 1_000_000_000_000;

thread_local! {
    static START: OnceCell<Instant> = const { OnceCell::new() };
}

fn elapsed() -> Duration {
    START.with(|start| start.get_or_init(Instant::now).elapsed())
}

fn boot() -> Duration {
    Duration::from_secs(500) + elapsed()
}

pub fn wall_ms() -> u64 {
    START_MS + u64::try_from(elapsed().as_millis()).expect("short")
}

/// A clock that is a minute ahead.
fn wrong_wall_ms() -> u64 {
    wall_ms() + 60_000
}

/// What happens to the calls of some instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fate {
    #[default]
    Served,
    /// Neither call nor response arrives.
    Lost,
    /// The call is carried out, but the response is lost.
    ResponseLost,
    /// Refused without effect.
    Busy,
}

#[derive(Default)]
pub struct MemoryStore {
    content: Mutex<Content>,
}

#[derive(Default)]
struct Content {
    era: u32,
    revision: u64,
    objects: BTreeMap<Duty, Object>,
    calls: usize,
    fates: BTreeMap<SmolStr, Fate>,
    fate: Fate,
}

impl MemoryStore {
    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().expect("the mutex is not poisoned")
    }

    pub fn set_fate(&self, fate: Fate) {
        self.lock().fate = fate;
    }

    pub fn set_fate_of(&self, instance: &str, fate: Fate) {
        self.lock().fates.insert(instance.into(), fate);
    }

    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    pub fn objects(&self) -> BTreeMap<Duty, Object> {
        self.lock().objects.clone()
    }

    /// Comes back from an older copy.
    pub fn restore(&self, objects: BTreeMap<Duty, Object>) {
        let mut content = self.lock();
        content.era += 1;
        content.objects = objects;
    }

    fn fate_of(&self, instance: &str) -> Fate {
        let mut content = self.lock();
        content.calls += 1;
        let own = content.fates.get(instance).copied();
        own.unwrap_or(content.fate)
    }

    fn reading(&self, duty: Duty) -> Reading {
        let content = self.lock();
        Reading {
            era: content.era,
            object: content.objects.get(&duty).cloned(),
        }
    }

    fn replace(&self, duty: Duty, write: &Write) {
        let mut content = self.lock();
        let current = content.objects.get(&duty).map(|o| o.revision);
        if current == write.condition {
            content.revision += 1;
            let object = Object {
                revision: content.revision,
                record: write.record.clone(),
            };
            content.objects.insert(duty, object);
        }
    }
}

/// The store as one instance sees it.
struct StoreView {
    store: Arc<MemoryStore>,
    instance: SmolStr,
}

impl DutyStore for StoreView {
    type Error = &'static str;

    async fn read(&self, duty: Duty) -> Result<Reading, Self::Error> {
        match self.store.fate_of(&self.instance) {
            Fate::Served => Ok(self.store.reading(duty)),
            Fate::Busy => Err("busy"),
            Fate::Lost | Fate::ResponseLost => future::pending().await,
        }
    }

    async fn write(&self, duty: Duty, write: &Write) -> Result<Reading, Self::Error> {
        match self.store.fate_of(&self.instance) {
            Fate::Served => {
                self.store.replace(duty, write);
                Ok(self.store.reading(duty))
            }
            Fate::Busy => Err("busy"),
            Fate::Lost => future::pending().await,
            Fate::ResponseLost => {
                self.store.replace(duty, write);
                future::pending().await
            }
        }
    }
}

/// A report that arrived at the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub at: Duration,
    pub holder: SmolStr,
    pub token: Token,
    pub report: UsageReport,
}

impl Arrival {
    pub fn total(&self) -> u64 {
        self.report.counts.iter().map(|c| c.requests).sum()
    }
}

#[derive(Default)]
pub struct MemoryPlatform {
    arrivals: Mutex<Vec<Arrival>>,
    fates: Mutex<BTreeMap<SmolStr, Fate>>,
}

impl MemoryPlatform {
    pub fn arrivals(&self) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock();
        arrivals.expect("the mutex is not poisoned").clone()
    }

    pub fn set_fate_of(&self, instance: &str, fate: Fate) {
        let fates = self.fates.lock();
        let mut fates = fates.expect("the mutex is not poisoned");
        fates.insert(instance.into(), fate);
    }

    fn fate_of(&self, instance: &str) -> Fate {
        let fates = self.fates.lock();
        let fates = fates.expect("the mutex is not poisoned");
        fates.get(instance).copied().unwrap_or_default()
    }
}

impl DutyPlatform for MemoryPlatform {
    async fn report_usage(
        &self,
        permission: &impl Permission,
        report: &UsageReport,
        timeout: Duration,
    ) -> Result<(), CallError> {
        let Some((holder, token)) = permission.check(Duration::ZERO) else {
            return Err(CallError::NotHeld);
        };
        let fate = self.fate_of(&holder);
        let arrival = Arrival {
            at: elapsed(),
            holder,
            token,
            report: report.clone(),
        };
        if matches!(fate, Fate::Served | Fate::ResponseLost) {
            let arrivals = self.arrivals.lock();
            arrivals.expect("the mutex is not poisoned").push(arrival);
        }
        match fate {
            Fate::Served => Ok(()),
            Fate::Busy => Err(CallError::Busy),
            Fate::Lost | Fate::ResponseLost => {
                time::sleep(timeout).await;
                Err(CallError::NoResponse)
            }
        }
    }

    async fn order_servers(
        &self,
        _: &impl Permission,
        _: &Order,
        _: Duration,
    ) -> Result<(), CallError> {
        Err(CallError::Rejected)
    }
}

/// A running instance.
pub struct Instance {
    pub node: Arc<Node>,
    tasks: JoinSet<()>,
    paused: Arc<AtomicBool>,
}

pub struct Fleet {
    pub store: Arc<MemoryStore>,
    pub platform: Arc<MemoryPlatform>,
    pub instances: BTreeMap<SmolStr, Instance>,
    wrong: BTreeSet<SmolStr>,
}

impl Fleet {
    /// Starts instances of these names, all linked.
    pub fn start(names: &[&str]) -> Self {
        Self::start_with(names, &[])
    }

    /// Starts instances, of which those in `wrong` have a wrong clock.
    pub fn start_with(names: &[&str], wrong: &[&str]) -> Self {
        // The first call fixes the start of the clocks.
        wall_ms();
        let mut fleet = Self {
            store: Arc::default(),
            platform: Arc::default(),
            instances: BTreeMap::new(),
            wrong: wrong.iter().map(|n| SmolStr::from(*n)).collect(),
        };
        for name in names {
            fleet.join(name);
        }
        fleet
    }

    /// Starts an instance and links it to all others.
    pub fn join(&mut self, name: &str) {
        let node = node(name, self.wrong.contains(name));
        let paused = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        let store = Arc::new(StoreView {
            store: Arc::clone(&self.store),
            instance: name.into(),
        });
        let keeper = keeper::run(Arc::clone(&node), Duty::UsageReports, store);
        tasks.spawn(pausable(Arc::clone(&paused), keeper));
        let reporter = reporter::run(Arc::clone(&node), Arc::clone(&self.platform));
        tasks.spawn(pausable(Arc::clone(&paused), reporter));
        let mut instance = Instance {
            node,
            tasks,
            paused,
        };
        for other in self.instances.values_mut() {
            link(&mut instance, &other.node);
            link(other, &instance.node);
        }
        self.instances.insert(name.into(), instance);
    }

    pub fn node(&self, name: &str) -> &Arc<Node> {
        &self.instances[name].node
    }

    /// The instances that hold the duty.
    pub fn holders(&self) -> Vec<SmolStr> {
        let held = |instance: &Instance| {
            let duties = instance.node.duties.as_ref()?;
            duties.get(Duty::UsageReports)?.held.token()
        };
        let holders = self.instances.iter().filter(|(_, i)| held(i).is_some());
        holders.map(|(name, _)| name.clone()).collect()
    }

    /// The only holder.
    pub fn holder(&self) -> SmolStr {
        let holders = self.holders();
        assert_eq!(holders.len(), 1, "{holders:?}");
        holders[0].clone()
    }

    /// Kills an instance; the others find out.
    pub fn kill(&mut self, name: &str) {
        self.instances.remove(name);
        for instance in self.instances.values() {
            let membership = &instance.node.membership;
            membership.mark_unreachable(name, InstanceState::Dead);
        }
    }

    pub fn pause(&self, name: &str, paused: bool) {
        let instance = &self.instances[name];
        instance.paused.store(paused, Ordering::SeqCst);
    }

    /// Lets each instance see one begun request of an organisation every 100 ms for this time.
    pub async fn serve(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for instance in self.instances.values() {
                let duties = instance.node.duties.as_ref().expect("there are duties");
                duties.count(&"o".into());
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Checks that no two holders acted at one time, that tokens only grew, and that no window got two counts.
    pub fn check(&self) {
        let arrivals = self.platform.arrivals();
        let mut windows = BTreeMap::new();
        let mut tokens = BTreeMap::new();
        let mut highest = 0;
        for arrival in &arrivals {
            let counts = windows
                .entry(arrival.report.window)
                .or_insert(&arrival.report.counts);
            assert_eq!(*counts, &arrival.report.counts, "{arrivals:#?}");
            let holder = tokens.entry(arrival.token).or_insert(&arrival.holder);
            assert_eq!(*holder, &arrival.holder, "{arrivals:#?}");
            assert!(arrival.token >= highest, "{arrivals:#?}");
            highest = arrival.token;
        }
        for (n, last) in arrivals.iter().enumerate() {
            let recent = arrivals[..n].iter().filter(|a| a.at + LEASE > last.at);
            let mut recent = recent.skip_while(|a| a.holder != last.holder);
            let other = recent.any(|a| a.holder != last.holder);
            assert!(!other, "{arrivals:#?}");
        }
    }
}

fn node(name: &str, wrong: bool) -> Arc<Node> {
    let text = "instance = \"a\"\ndata_centre = \"north\"\n\
                [callers]\nlisten = \"127.0.0.1:0\"\n\
                [operators]\nlisten = \"127.0.0.1:0\"\ntoken_hashes = {}\n\
                [peers]\nlisten = \"127.0.0.1:0\"\nfleet_key = \"0123456789abcdef\"\n\
                [platform]\naddress = \"127.0.0.1:1\"\n";
    let mut settings = Settings::parse("f.toml", text).expect("the settings are valid");
    settings.instance = name.into();
    let record = InstanceRecord {
        incarnation: wall_ms(),
        ..common::instance_record(name, "north")
    };
    let duties = DutySettings {
        duties: [Duty::UsageReports].into(),
        lease: LEASE,
        window: WINDOW,
        due: DUE,
    };
    let clocks = Clocks {
        boot,
        wall_ms: if wrong { wrong_wall_ms } else { wall_ms },
    };
    let mut node = Node::new(settings, record.clone());
    let own = Arc::get_mut(&mut node).expect("no task has the node yet");
    own.duties = Some(Duties::new(&duties, &record, clocks));
    node
}

/// Passes the frames that an instance sends to a peer on to it.
fn link(from: &mut Instance, to: &Arc<Node>) {
    let own = from.node.membership.own();
    let peer = to.membership.own();
    from.node.membership.merge(peer.clone());
    let registered = from.node.links.register(&own.id, &peer, true, 5);
    let (_, mut frames) = registered.expect("the link is new");
    let to = Arc::clone(to);
    let paused = Arc::clone(&from.paused);
    let passing = async move {
        while let Some(frame) = frames.recv().await {
            match frame {
                Frame::PollDuty(poll) => polling::receive(&to, &poll, Some(&own.id)),
                Frame::DutyCounts(counts) => polling::pass_on(&to, counts),
                _ => {}
            }
        }
    };
    from.tasks.spawn(pausable(paused, passing));
}

/// Runs a future, but not while `paused` is set.
async fn pausable(paused: Arc<AtomicBool>, task: impl Future<Output = ()>) {
    let mut task = Box::pin(task);
    let mut tick = time::interval(Duration::from_millis(10));
    future::poll_fn(move |context| {
        if !paused.load(Ordering::SeqCst) {
            return task.as_mut().poll(context);
        }
        while tick.poll_tick(context).is_ready() {}
        TaskPoll::Pending
    })
    .await;
}
