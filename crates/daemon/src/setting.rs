//! Checks settings all at once.

use std::fmt;
use std::process::ExitCode;

/// The exit status of a daemon whose settings are wrong.
const BAD_SETTINGS_STATUS: u8 = 2;

/// One wrong setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// The flag, as on the command line.
    pub flag: &'static str,
    /// What it was set to.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is {:?}; allowed: {}",
            self.flag, self.value, self.allowed
        )
    }
}

/// Collects the faults of a set of settings.
#[derive(Debug, Default)]
pub struct SettingCheck {
    faults: Vec<SettingFault>,
}

impl SettingCheck {
    /// Creates a check without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a fault unless `holds`.
    pub fn require(
        &mut self,
        holds: bool,
        flag: &'static str,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) {
        if !holds {
            self.faults.push(SettingFault {
                flag,
                value: value.to_string(),
                allowed: allowed.into(),
            });
        }
    }

    /// Takes a result, noting its error as a fault.
    pub fn check_result<T, E: fmt::Display>(
        &mut self,
        result: Result<T, E>,
        flag: &'static str,
        value: impl fmt::Display,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.require(false, flag, value, error.to_string());
                None
            }
        }
    }

    /// Checks a name of a host or hall.
    pub fn require_name(&mut self, flag: &'static str, value: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        let holds = (1..=64).contains(&value.len()) && value.chars().all(allowed);
        self.require(holds, flag, value, "1 to 64 of a-z, 0-9, '-', '_' and '.'");
    }

    /// Returns the faults.
    pub fn faults(&self) -> &[SettingFault] {
        &self.faults
    }

    /// Prints every fault; an exit code where there is any.
    pub fn report(&self) -> Option<ExitCode> {
        for fault in &self.faults {
            eprintln!("setting {fault}");
        }
        (!self.faults.is_empty()).then(|| ExitCode::from(BAD_SETTINGS_STATUS))
    }
}
