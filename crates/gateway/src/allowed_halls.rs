//! The data halls in which a request may run.

use std::collections::BTreeMap;
use std::rc::Rc;

/// The halls of the regions that both a route and an account allow; nothing where neither names any.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AllowedHalls(Option<Rc<[String]>>);

impl AllowedHalls {
    /// Works out the halls, given the region of each. A hall whose region is not known is in none.
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

    /// Takes halls as they were told.
    pub(crate) fn from_names(halls: Option<Vec<String>>) -> Self {
        Self(halls.map(Into::into))
    }

    /// Returns the halls in the form in which they are told; nothing where all are allowed.
    pub(crate) fn to_names(&self) -> Option<Vec<String>> {
        self.0.as_ref().map(|halls| halls.to_vec())
    }

    /// Says whether a request may run in a hall.
    pub(crate) fn allows(&self, hall: &str) -> bool {
        let halls = self.0.as_ref();
        halls.is_none_or(|halls| halls.iter().any(|one| one == hall))
    }
}

#[cfg(test)]
mod tests;
