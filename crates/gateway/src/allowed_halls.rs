//! The data halls in which a request may run.

use std::collections::BTreeMap;
use std::rc::Rc;

/// The data halls of the regions that both the route and the account of a request allow; `None` if
/// neither names any region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AllowedHalls(Option<Rc<[String]>>);

impl AllowedHalls {
    /// Computes the data halls from the region of each. A hall whose region is unknown is not
    /// allowed if regions are named.
    pub(crate) fn new(
        halls: &BTreeMap<String, String>,
        route: &[String],
        account: &[String],
    ) -> Self {
        if route.is_empty() && account.is_empty() {
            return Self(None);
        }
        let allows = |regions: &[String], region| regions.is_empty() || regions.contains(region);
        let allowed = halls
            .iter()
            .filter(|(_, region)| allows(route, region) && allows(account, region));
        Self(Some(allowed.map(|(hall, _)| hall.clone()).collect()))
    }

    /// Creates the set from the names in a message.
    pub(crate) fn from_names(halls: Option<Vec<String>>) -> Self {
        Self(halls.map(Into::into))
    }

    /// Returns the names for a message; `None` if all halls are allowed.
    pub(crate) fn to_names(&self) -> Option<Vec<String>> {
        self.0.as_ref().map(|halls| halls.to_vec())
    }

    /// Returns whether a request may run in a data hall.
    pub(crate) fn allows(&self, hall: &str) -> bool {
        let halls = self.0.as_ref();
        halls.is_none_or(|halls| halls.iter().any(|one| one == hall))
    }
}

#[cfg(test)]
mod tests;
