//! What befalls the system during a run.

use linnet_fakes::FaultKind;

/// Something that happens to targets at the beginning of the measured time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ScenarioAction {
    /// Targets of a stage get slower by a factor.
    SlowStage {
        /// The stage.
        stage: &'static str,
        /// How many times slower.
        factor: f64,
    },
    /// A share of the targets of a stage answers nothing any more.
    FreezeTargets {
        /// The stage.
        stage: &'static str,
        /// The share, from 0 to 1.
        share: f64,
    },
    /// Every target of one hall answers nothing any more.
    FreezeHall(usize),
}

/// A scenario: load by account and pipeline, and what happens.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// The load as a whole, as a share of what the bottleneck carries.
    pub load: f64,
    /// The account that asks for more than its share, with how many times as much.
    pub burst: Option<(usize, f64)>,
    /// How many times more requests go to the retrieval pipeline.
    pub search_factor: f64,
    /// The share of requests that are long reports.
    pub report_share: f64,
    /// What happens to targets.
    pub action: Option<ScenarioAction>,
}

/// The fault that a lost target shows.
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

/// Finds a scenario by its name.
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
