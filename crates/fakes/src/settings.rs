//! Runs a host list and any number of fake targets in one process.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;

use crate::{FakeHostList, FakeTarget, HostEntry, HostListBody, TargetBehaviour, TargetKind};

/// Fake targets and a fake host list for trying out linnetdale. Not for production use.
#[derive(Debug, Clone, Parser)]
#[command(name = "linnet-fakes", version)]
pub struct FakeSettings {
    /// Listen address of the host list, as IP:PORT
    #[arg(long, env = "LINNET_FAKES_HOST_LIST")]
    pub host_list: SocketAddr,
    /// A target, as KIND:NAME:POOL:HALL:IP:PORT; KIND is stage, engine or service. Repeatable
    #[arg(long = "target", value_parser = parse_target)]
    pub targets: Vec<TargetSpec>,
    /// Mean duration of a request at each target, in milliseconds
    #[arg(long, default_value_t = 2.0)]
    pub service_ms: f64,
    /// Time between two tokens of an engine, in milliseconds
    #[arg(long, default_value_t = 1.0)]
    pub token_ms: f64,
    /// Requests that a target runs at the same time
    #[arg(long, default_value_t = 16)]
    pub slots: u32,
}

/// One target from the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// The kind of target that it replaces.
    pub kind: TargetKind,
    /// The name of the target.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Its data hall.
    pub hall: String,
    /// The address on which it listens.
    pub address: SocketAddr,
}

fn parse_target(text: &str) -> Result<TargetSpec, String> {
    let mut parts = text.splitn(5, ':');
    let mut next = || parts.next().filter(|part| !part.is_empty());
    let usage = || "expected KIND:NAME:POOL:HALL:IP:PORT".to_owned();
    let kind = match next().ok_or_else(usage)? {
        "stage" => TargetKind::Stage,
        "engine" => TargetKind::Engine,
        "service" => TargetKind::Service,
        other => {
            return Err(format!(
                "unknown kind {other:?}; expected stage, engine or service"
            ));
        }
    };
    Ok(TargetSpec {
        kind,
        name: next().ok_or_else(usage)?.to_owned(),
        pool: next().ok_or_else(usage)?.to_owned(),
        hall: next().ok_or_else(usage)?.to_owned(),
        address: next()
            .and_then(|address| address.parse().ok())
            .ok_or_else(usage)?,
    })
}

/// Runs the fakes until the process ends; must be called within a tokio runtime.
pub async fn run_fakes(settings: FakeSettings) -> ExitCode {
    let behaviour = TargetBehaviour {
        service_ms: settings.service_ms,
        token_ms: settings.token_ms,
        slots: settings.slots,
        ..TargetBehaviour::default()
    };
    let mut hosts = Vec::new();
    for spec in &settings.targets {
        let target = FakeTarget::new(spec.kind, &spec.name, behaviour);
        if let Err(error) = target.spawn(spec.address).await {
            eprintln!(
                "cannot start target {} on {}: {error}",
                spec.name, spec.address
            );
            return ExitCode::FAILURE;
        }
        hosts.push(HostEntry {
            name: spec.name.clone(),
            pool: spec.pool.clone(),
            address: spec.address.to_string(),
            hall: spec.hall.clone(),
            state: "live".to_owned(),
        });
    }
    let list = FakeHostList::new(HostListBody {
        complete: true,
        hosts,
    });
    if let Err(error) = list.spawn(settings.host_list).await {
        eprintln!(
            "cannot start the host list on {}: {error}",
            settings.host_list
        );
        return ExitCode::FAILURE;
    }
    println!(
        "serving {} fake targets, and the host list on {}",
        settings.targets.len(),
        settings.host_list
    );
    std::future::pending().await
}
