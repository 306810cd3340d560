//! Which rule decides what; baselines stand beside the default so that they can be measured.

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRule {
    /// Any usable target, by chance.
    Random,
    /// The target with the least requests of this host in flight.
    LeastInFlight,
    /// A small sample scored by own requests, reported load, hall and prefix.
    Scored,
}

/// In which order waiting requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRule {
    /// By arrival.
    Fifo,
    /// By account weight, and by deadline inside an account.
    Fair,
}

/// The rules in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyChoice {
    /// How a target is chosen.
    pub target: TargetRule,
    /// In which order waiting requests are served.
    pub queue: QueueRule,
    /// Whether requests that cannot be met are refused before their first stage.
    pub admission: bool,
    /// Whether the requests in flight at each target are bounded by an adapted window.
    pub windows: bool,
}

impl PolicyChoice {
    /// Creates the default: every mechanism on.
    pub fn new() -> Self {
        Self {
            target: TargetRule::Scored,
            queue: QueueRule::Fair,
            admission: true,
            windows: true,
        }
    }

    /// Finds a choice by its name, as settings and reports write it.
    pub fn find(name: &str) -> Option<Self> {
        let bare = Self {
            target: TargetRule::Random,
            queue: QueueRule::Fifo,
            admission: false,
            windows: false,
        };
        let full = Self::new();
        let choice = match name {
            "linnetdale" => full,
            "random" => bare,
            "least-in-flight" => Self {
                target: TargetRule::LeastInFlight,
                ..bare
            },
            "fifo" => Self {
                target: TargetRule::LeastInFlight,
                windows: true,
                ..bare
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
        Some(choice)
    }

    /// The names that [`PolicyChoice::find`] knows.
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
