//! The fake targets and host list of a test, in the test process, so that it can read their ledgers.

use std::net::{IpAddr, SocketAddr};

use linnetdale::fakes::{
    FakeHostList, FakeTarget, FaultInjection, FaultKind, HostEntry, HostListBody, TargetBehaviour,
    TargetKind,
};
use tokio::runtime::Handle;

/// A fake target with its entry in the host list.
pub struct TestbedTarget {
    pub name: String,
    pub fake: FakeTarget,
    entry: HostEntry,
}

/// The targets and the host list that the system uses.
pub struct Testbed {
    pub targets: Vec<TestbedTarget>,
    pub host_list: SocketAddr,
    list: FakeHostList,
    ip: IpAddr,
    runtime: Handle,
}

/// Kinds, names and pools of the targets of the tests.
pub const STAGES: [(TargetKind, &str, &str); 5] = [
    (TargetKind::Stage, "encode", "encoders"),
    (TargetKind::Stage, "retrieve", "retrievers"),
    (TargetKind::Stage, "rerank", "rerankers"),
    (TargetKind::Engine, "generate", "linnet-pool"),
    (TargetKind::Service, "orders", "orders"),
];

impl Testbed {
    /// Starts `replicas` targets of each stage and of one service pool, distributed over the halls.
    pub fn start(ip: IpAddr, halls: &[String], replicas: usize, runtime: &Handle) -> Self {
        let list = FakeHostList::default();
        let address = runtime
            .block_on(list.clone().spawn(SocketAddr::new(ip, 0)))
            .unwrap();
        let mut testbed = Self {
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
                testbed.add(kind, &format!("{stage}-{number}"), pool, hall, behaviour);
            }
        }
        testbed.publish(true);
        testbed
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
        self.targets.push(TestbedTarget {
            name: name.to_owned(),
            fake,
            entry,
        });
    }

    /// Publishes the list of all targets.
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

    pub fn target(&self, name: &str) -> &TestbedTarget {
        self.targets
            .iter()
            .find(|target| target.name == name)
            .unwrap()
    }

    fn target_mut(&mut self, name: &str) -> &mut TestbedTarget {
        self.targets
            .iter_mut()
            .find(|target| target.name == name)
            .unwrap()
    }

    /// Injects a fault at every target with a name prefix.
    pub fn inject_faults(&self, prefix: &str, kind: FaultKind, count: u64) {
        for target in self
            .targets
            .iter()
            .filter(|target| target.name.starts_with(prefix))
        {
            target.fake.inject_fault(FaultInjection { kind, count });
        }
    }

    pub fn clear_faults(&self) {
        self.inject_faults("", FaultKind::Busy, 0);
    }

    /// Counts the runs of all attempts of one request id.
    pub fn runs_of_request(&self, request: &str) -> usize {
        let attempts = format!("{request}/");
        let targets = self.targets.iter().flat_map(|target| target.fake.ledger());
        targets
            .filter(|run| run.attempt.starts_with(&attempts))
            .count()
    }

    /// Counts the runs of a marker at targets with a name prefix.
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
