//! The targets and the host list of a test, inside the test process, so that it can read ledgers.

use std::net::{IpAddr, SocketAddr};

use linnetdale::fakes::{
    FakeHostList, FakeTarget, FaultInjection, FaultKind, HostEntry, HostListBody, TargetBehaviour,
    TargetKind,
};
use tokio::runtime::Handle;

/// One fake target with its place.
pub struct WorldTarget {
    pub name: String,
    pub fake: FakeTarget,
    entry: HostEntry,
}

/// All that linnetdale talks to.
pub struct World {
    pub targets: Vec<WorldTarget>,
    pub host_list: SocketAddr,
    list: FakeHostList,
    ip: IpAddr,
    runtime: Handle,
}

/// Kinds, stage names and pools of the pipeline that tests use.
pub const STAGES: [(TargetKind, &str, &str); 5] = [
    (TargetKind::Stage, "encode", "encoders"),
    (TargetKind::Stage, "retrieve", "retrievers"),
    (TargetKind::Stage, "rerank", "rerankers"),
    (TargetKind::Engine, "generate", "linnet-pool"),
    (TargetKind::Service, "orders", "orders"),
];

impl World {
    /// Starts `replicas` targets of each stage and one service pool, spread over the halls.
    pub fn start(ip: IpAddr, halls: &[String], replicas: usize, runtime: &Handle) -> Self {
        let list = FakeHostList::default();
        let address = runtime
            .block_on(list.clone().spawn(SocketAddr::new(ip, 0)))
            .unwrap();
        let mut world = Self {
            targets: Vec::new(),
            host_list: address,
            list,
            ip,
            runtime: runtime.clone(),
        };
        let behaviour = TargetBehaviour {
            service_ms: 1.0,
            token_ms: 0.5,
            ..TargetBehaviour::default()
        };
        for (kind, stage, pool) in STAGES {
            for number in 0..replicas {
                let hall = &halls[number % halls.len()];
                world.add(kind, &format!("{stage}-{number}"), pool, hall, behaviour);
            }
        }
        world.publish(true);
        world
    }

    pub fn add(
        &mut self,
        kind: TargetKind,
        name: &str,
        pool: &str,
        hall: &str,
        behaviour: TargetBehaviour,
    ) {
        let fake = FakeTarget::new(kind, name, behaviour);
        let spawning = fake.clone().spawn(SocketAddr::new(self.ip, 0));
        let address = self.runtime.block_on(spawning).unwrap();
        let entry = HostEntry {
            name: name.to_owned(),
            pool: pool.to_owned(),
            address: address.to_string(),
            hall: hall.to_owned(),
            state: "live".to_owned(),
        };
        self.targets.push(WorldTarget {
            name: name.to_owned(),
            fake,
            entry,
        });
    }

    /// Publishes the list as it is now.
    pub fn publish(&self, complete: bool) {
        let hosts = self
            .targets
            .iter()
            .map(|target| target.entry.clone())
            .collect();
        self.list.set(HostListBody { complete, hosts });
    }

    /// Publishes a list of only these targets.
    pub fn publish_only(&self, names: &[&str], complete: bool) {
        let hosts = self.targets.iter().map(|target| &target.entry);
        let hosts = hosts
            .filter(|entry| names.contains(&entry.name.as_str()))
            .cloned()
            .collect();
        self.list.set(HostListBody { complete, hosts });
    }

    /// Marks a target as leaving in the list.
    pub fn list_leaving(&mut self, name: &str) {
        self.target_mut(name).entry.state = "leaving".to_owned();
        self.publish(true);
    }

    pub fn target(&self, name: &str) -> &WorldTarget {
        self.targets
            .iter()
            .find(|target| target.name == name)
            .unwrap()
    }

    fn target_mut(&mut self, name: &str) -> &mut WorldTarget {
        self.targets
            .iter_mut()
            .find(|target| target.name == name)
            .unwrap()
    }

    /// Orders a fault at every target whose name begins so.
    pub fn order_fault(&self, prefix: &str, kind: FaultKind, count: u64) {
        for target in self
            .targets
            .iter()
            .filter(|target| target.name.starts_with(prefix))
        {
            target.fake.inject_fault(FaultInjection { kind, count });
        }
    }

    pub fn end_faults(&self) {
        self.order_fault("", FaultKind::Busy, 0);
    }

    /// Returns how often any target ran an attempt of one sending.
    pub fn runs_of_request(&self, request: &str) -> usize {
        let attempts = format!("{request}/");
        let targets = self.targets.iter().flat_map(|target| target.fake.ledger());
        targets
            .filter(|run| run.attempt.starts_with(&attempts))
            .count()
    }

    /// Returns how often targets whose name begins so ran a request with this marker.
    pub fn runs(&self, prefix: &str, marker: &str) -> usize {
        let targets = self
            .targets
            .iter()
            .filter(|target| target.name.starts_with(prefix));
        targets
            .flat_map(|target| target.fake.ledger())
            .filter(|run| run.marker == marker)
            .count()
    }
}
