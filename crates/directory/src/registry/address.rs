//! Which of several targets an address belongs to.

use std::time::Instant;

use super::Registry;
use crate::{ServiceNames, TargetRecord, TargetState};

impl Registry {
    /// Takes the services that the configuration names; nothing before there is one.
    pub(crate) fn set_services(&mut self, services: Option<ServiceNames>) {
        self.services = services;
    }

    /// Says whether a target is new and would take the address of another one, which depends on the services
    /// that are named.
    pub(crate) fn is_newcomer(&self, record: &TargetRecord) -> bool {
        !self.held.contains_key(&record.id) && self.has_live_other(record)
    }

    pub(super) fn is_named(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|names| names.contains(service))
    }

    /// Says whether a target is called silent while another one serves at its address.
    pub(super) fn is_contested(&self, id: &str) -> bool {
        let held = self.held.get(id);
        held.is_some_and(|held| held.record.silent && self.has_live_other(&held.record))
    }

    pub(super) fn has_live_other(&self, record: &TargetRecord) -> bool {
        let mut others = self.held.values().map(|held| &held.record);
        others.any(|other| {
            other.id != record.id
                && other.address == record.address
                && other.state != TargetState::Gone
                && !other.silent
        })
    }

    // An address belongs to one start at a time, so one that serves there ends the others.
    pub(super) fn retire_others(&mut self, record: &TargetRecord, now: Instant) {
        let others = self.held.values_mut().filter(|held| {
            held.record.address == record.address
                && held.record.id != record.id
                && held.record.state != TargetState::Gone
        });
        let mut retired = Vec::new();
        for held in others {
            held.record.state = TargetState::Gone;
            held.heard = now;
            retired.push(held.record.id.clone());
        }
        retired.iter().for_each(|id| self.mark_changed(id));
    }
}
