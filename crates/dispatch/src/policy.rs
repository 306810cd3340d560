//! The dispatch policy. Baselines exist beside the default for comparison in measurements.

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRule {
    /// A usable target chosen at random.
    Random,
    /// The target with the fewest requests of this host in flight.
    LeastInFlight,
    /// The best of a sample, scored by own requests, reported load, data hall and cached prefix.
    Scored,
}

/// The order in which queued requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRule {
    /// In order of arrival.
    Fifo,
    /// By account weight, and by deadline within an account.
    Fair,
}

/// A dispatch policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyChoice {
    /// How a target is chosen.
    pub target: TargetRule,
    /// The order in which queued requests are served.
    pub queue: QueueRule,
    /// Whether requests that would miss their deadline are refused before their first stage.
    pub admission: bool,
    /// Whether the requests in flight at each target are limited by an adaptive window.
    pub windows: bool,
}

impl PolicyChoice {
    /// Creates the default policy, with every mechanism enabled.
    pub fn new() -> Self {
        Self {
            target: TargetRule::Scored,
            queue: QueueRule::Fair,
            admission: true,
            windows: true,
        }
    }

    /// Returns the policy with the given name, as used in settings and reports.
    pub fn from_name(name: &str) -> Option<Self> {
        let baseline = Self {
            target: TargetRule::Random,
            queue: QueueRule::Fifo,
            admission: false,
            windows: false,
        };
        let full = Self::new();
        let policy = match name {
            "linnetdale" => full,
            "random" => baseline,
            "least-in-flight" => Self {
                target: TargetRule::LeastInFlight,
                ..baseline
            },
            "fifo" => Self {
                target: TargetRule::LeastInFlight,
                windows: true,
                ..baseline
            },
            "no-admission" => Self {
                admission: false,
                ..full
            },
            "no-fairness" => Self {
                queue: QueueRule::Fifo,
                ..full
            },
            "no-windows" => Self {
                windows: false,
                ..full
            },
            "no-scores" => Self {
                target: TargetRule::LeastInFlight,
                ..full
            },
            _ => return None,
        };
        Some(policy)
    }

    /// The names accepted by [`PolicyChoice::from_name`].
    pub const NAMES: [&'static str; 8] = [
        "linnetdale",
        "random",
        "least-in-flight",
        "fifo",
        "no-admission",
        "no-fairness",
        "no-windows",
        "no-scores",
    ];
}

impl Default for PolicyChoice {
    fn default() -> Self {
        Self::new()
    }
}
