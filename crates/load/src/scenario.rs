//! Load and target faults of a run.

use linnet_fakes::FaultKind;

/// A change to targets at the beginning of the measured time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ScenarioAction {
    /// Slows down all targets of a stage by a factor.
    SlowStage {
        /// The stage.
        stage: &'static str,
        /// The factor by which the duration of a request grows.
        factor: f64,
    },
    /// Stops a share of the targets of a stage from responding.
    FreezeTargets {
        /// The stage.
        stage: &'static str,
        /// The share of targets, from 0 to 1.
        share: f64,
    },
    /// Stops all targets of one data hall from responding; holds the number of the hall.
    FreezeHall(usize),
}

/// A scenario: the load by account and pipeline, and a change to targets.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: &'static str,
    /// The total load, as a fraction of the capacity of the bottleneck stage.
    pub load: f64,
    /// The number of an account that exceeds its share of the load, and the factor by which it does.
    pub burst: Option<(usize, f64)>,
    /// The factor by which requests to the retrieval pipeline increase.
    pub search_factor: f64,
    /// The fraction of requests that are long reports.
    pub report_share: f64,
    /// The change to targets, if any.
    pub action: Option<ScenarioAction>,
}

/// The fault that is injected into targets that stop responding.
pub(crate) const LOST_TARGET_FAULT: FaultKind = FaultKind::Freeze;

const CALM: Scenario = Scenario {
    name: "calm",
    load: 0.6,
    burst: None,
    search_factor: 1.0,
    report_share: 0.0,
    action: None,
};

fn all_scenarios() -> Vec<Scenario> {
    let slow = ScenarioAction::SlowStage {
        stage: "rerank",
        factor: 8.0,
    };
    let lose = ScenarioAction::FreezeTargets {
        stage: "generate",
        share: 0.34,
    };
    vec![
        CALM,
        Scenario {
            name: "full",
            load: 1.0,
            ..CALM
        },
        Scenario {
            name: "account-burst-10x",
            burst: Some((3, 10.0)),
            ..CALM
        },
        Scenario {
            name: "retrieval-spike-4x",
            search_factor: 4.0,
            ..CALM
        },
        Scenario {
            name: "reranker-slow-8x",
            action: Some(slow),
            ..CALM
        },
        Scenario {
            name: "generation-loses-third",
            load: 0.8,
            action: Some(lose),
            ..CALM
        },
        Scenario {
            name: "hall-lost",
            action: Some(ScenarioAction::FreezeHall(2)),
            ..CALM
        },
        Scenario {
            name: "overload-1.5x",
            load: 1.5,
            ..CALM
        },
        Scenario {
            name: "overload-3x",
            load: 3.0,
            ..CALM
        },
        Scenario {
            name: "reports-and-alerts",
            load: 0.8,
            report_share: 0.08,
            ..CALM
        },
    ]
}

/// Finds a scenario by name.
pub fn find_scenario(name: &str) -> Option<Scenario> {
    all_scenarios()
        .into_iter()
        .find(|scenario| scenario.name == name)
}

/// Returns the names of all scenarios.
pub fn scenario_names() -> Vec<&'static str> {
    all_scenarios()
        .into_iter()
        .map(|scenario| scenario.name)
        .collect()
}
