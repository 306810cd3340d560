//! Checks of settings that report all errors at once.

use std::fmt;
use std::process::ExitCode;

/// Exit status of a daemon with invalid settings.
const INVALID_SETTINGS_STATUS: u8 = 2;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The flag, as on the command line.
    pub flag: &'static str,
    /// The value that was given.
    pub value: String,
    /// The values that are allowed.
    pub allowed: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is {:?}; allowed: {}",
            self.flag, self.value, self.allowed
        )
    }
}

/// Collects the errors of a set of settings.
#[derive(Debug, Default)]
pub struct SettingCheck {
    errors: Vec<SettingError>,
}

impl SettingCheck {
    /// Creates a check without errors.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an error unless `is_valid`.
    pub fn require(
        &mut self,
        is_valid: bool,
        flag: &'static str,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) {
        if !is_valid {
            self.errors.push(SettingError {
                flag,
                value: value.to_string(),
                allowed: allowed.into(),
            });
        }
    }

    /// Returns the value of a result, or records its error.
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

    /// Checks the name of a host or data hall.
    pub fn require_name(&mut self, flag: &'static str, value: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        let is_valid = (1..=64).contains(&value.len()) && value.chars().all(allowed);
        self.require(
            is_valid,
            flag,
            value,
            "1 to 64 of a-z, 0-9, '-', '_' and '.'",
        );
    }

    /// Returns the recorded errors.
    pub fn errors(&self) -> &[SettingError] {
        &self.errors
    }

    /// Prints all errors to standard error; returns an exit code if there are any.
    pub fn report(&self) -> Option<ExitCode> {
        for error in &self.errors {
            eprintln!("setting {error}");
        }
        (!self.errors.is_empty()).then(|| ExitCode::from(INVALID_SETTINGS_STATUS))
    }
}
