//! Decides which of several targets an address belongs to.

use std::time::Instant;

use super::Registry;
use crate::{ServiceNames, TargetRecord, TargetState};

impl Registry {
    /// Sets the services that the configuration names; `None` before there is a configuration.
    pub(crate) fn set_services(&mut self, services: Option<ServiceNames>) {
        self.services = services;
    }

    /// Returns whether a target is new and claims the address of a live one. Only then do the
    /// configured services decide whether it is accepted.
    pub(crate) fn is_new_at_used_address(&self, record: &TargetRecord) -> bool {
        !self.targets.contains_key(&record.id) && self.shares_live_address(record)
    }

    pub(super) fn is_configured(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Returns whether a target is silent while another one is live at its address.
    pub(super) fn is_address_taken(&self, id: &str) -> bool {
        let entry = self.targets.get(id);
        entry.is_some_and(|entry| entry.record.silent && self.shares_live_address(&entry.record))
    }

    pub(super) fn shares_live_address(&self, record: &TargetRecord) -> bool {
        let mut others = self.targets.values().map(|entry| &entry.record);
        others.any(|other| {
            other.id != record.id
                && other.address == record.address
                && other.state != TargetState::Gone
                && !other.silent
        })
    }

    // An address belongs to one incarnation at a time, so one that is live there ends the others.
    pub(super) fn retire_others_at_address(&mut self, record: &TargetRecord, now: Instant) {
        let others = self.targets.values_mut().filter(|entry| {
            entry.record.address == record.address
                && entry.record.id != record.id
                && entry.record.state != TargetState::Gone
        });
        let mut retired = Vec::new();
        for entry in others {
            entry.record.state = TargetState::Gone;
            entry.last_heartbeat = now;
            retired.push(entry.record.id.clone());
        }
        retired.iter().for_each(|id| self.mark_changed(id));
    }
}
