//! The targets of all services, as this host knows them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_rate::RateLimit;
use linnet_routing::RoutingConfig;

use super::{BASE_EJECTION_TIME, ChosenTarget, EJECTION_THRESHOLD, MAX_EJECTED_FRACTION, Target};
use crate::cold::ColdRate;
use crate::version_split::VersionSplit;

/// The targets of every service. The maps are ordered, so that equal inputs lead to equal choices.
#[derive(Default)]
pub(crate) struct TargetStore {
    services: HashMap<String, BTreeMap<String, Target>>,
    /// The number of targets of each service in each hall.
    hall_counts: HashMap<String, Vec<(String, u32)>>,
    /// The rate that cold targets of a service sustain, if that is less than others do.
    cold_rates: HashMap<String, ColdRate>,
    /// The services with a roll-out in progress.
    splits: HashMap<String, VersionSplit>,
    /// Rate limits of targets, by target ID.
    rate_limits: HashMap<String, RateLimit>,
}

fn count_by_service_and_hall(records: &[TargetRecord]) -> HashMap<String, Vec<(String, u32)>> {
    let mut services: HashMap<&str, Vec<&str>> = HashMap::new();
    for record in records {
        services
            .entry(&record.service)
            .or_default()
            .push(&record.hall);
    }
    let counted = services.into_iter();
    let counted =
        counted.map(|(service, halls)| (service.to_owned(), count_by_hall(halls.into_iter())));
    counted.collect()
}

fn count_by_hall<'a>(targets: impl Iterator<Item = &'a str>) -> Vec<(String, u32)> {
    let mut halls: Vec<(String, u32)> = Vec::new();
    for hall in targets {
        match halls.iter_mut().find(|(known, _)| known == hall) {
            Some((_, count)) => *count += 1,
            None => halls.push((hall.to_owned(), 1)),
        }
    }
    halls
}

impl TargetStore {
    /// Replaces the list of targets that accept work. Returns the IDs of those with a new
    /// incarnation.
    pub(crate) fn replace(&mut self, records: &[TargetRecord], now: Instant) -> Vec<String> {
        let mut restarted = Vec::new();
        let mut previous = std::mem::take(&mut self.services);
        for record in records {
            let known = previous
                .get_mut(&record.service)
                .and_then(|targets| targets.remove(&record.id));
            let mut target = match known {
                Some(known) if known.born == record.born => known,
                // A new incarnation under the same ID begins without any state.
                Some(_) => {
                    restarted.push(record.id.clone());
                    Target::new(record)
                }
                None => Target::new(record),
            };
            target.apply_record(record, now);
            let service = self.services.entry(record.service.clone()).or_default();
            service.insert(record.id.clone(), target);
        }
        self.hall_counts = count_by_service_and_hall(records);
        restarted
    }

    /// Adds or changes the `listed` targets and removes the `unlisted` ones. Returns the IDs of
    /// those with a new incarnation.
    pub(crate) fn update(
        &mut self,
        listed: &[TargetRecord],
        unlisted: &[TargetRecord],
        now: Instant,
    ) -> Vec<String> {
        for record in unlisted {
            self.remove(&record.service, &record.id);
        }
        let mut restarted = Vec::new();
        for record in listed {
            let targets = self.services.entry(record.service.clone()).or_default();
            let target = targets
                .entry(record.id.clone())
                .or_insert_with(|| Target::new(record));
            // A new incarnation under the same ID begins without any state.
            if target.born != record.born {
                restarted.push(record.id.clone());
                *target = Target::new(record);
            }
            target.apply_record(record, now);
        }
        let changed = listed.iter().chain(unlisted);
        let services: BTreeSet<&str> = changed.map(|one| one.service.as_str()).collect();
        for service in services {
            let halls = count_by_hall(self.of_service(service).map(|one| one.hall.as_str()));
            self.hall_counts.insert(service.to_owned(), halls);
        }
        restarted
    }

    /// Returns service, hall and ID of each target.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &str, &str)> {
        let services = self.services.iter();
        services.flat_map(|(service, targets)| {
            let targets = targets.values();
            targets.map(move |one| (service.as_str(), one.hall.as_str(), one.id.as_str()))
        })
    }

    /// Returns the service and the version of each target.
    pub(crate) fn service_versions(&self) -> impl Iterator<Item = (&str, &str)> {
        let services = self.services.iter();
        services.flat_map(|(service, targets)| {
            let targets = targets.values();
            targets.map(move |one| (service.as_str(), one.version.as_str()))
        })
    }

    /// Returns whether a target has this address.
    pub(crate) fn has_address(&self, address: SocketAddr) -> bool {
        let mut targets = self.services.values().flat_map(BTreeMap::values);
        targets.any(|target| target.address == address)
    }

    /// Sets or removes the rate limit of a target.
    pub(crate) fn set_rate_limit(&mut self, id: &str, limit: Option<RateLimit>) {
        match limit {
            Some(limit) => self.rate_limits.insert(id.to_owned(), limit),
            None => self.rate_limits.remove(id),
        };
    }

    /// Returns the rate limit of a target; `None` if it accepts any rate.
    pub(crate) fn rate_limit(&self, id: &str) -> Option<RateLimit> {
        self.rate_limits.get(id).copied()
    }

    /// Applies the services of a configuration.
    pub(crate) fn set_services(&mut self, config: &RoutingConfig) {
        let rates = config.services.iter().filter_map(|service| {
            let rate = ColdRate::new(service.cold_per_s)?;
            Some((service.name.clone(), rate))
        });
        self.cold_rates = rates.collect();
    }

    /// Returns the rate that a cold target of a service sustains; `None` if cold targets are not
    /// limited.
    pub(crate) fn cold_rate(&self, service: &str) -> Option<ColdRate> {
        self.cold_rates.get(service).copied()
    }

    /// Returns whether a target is cold.
    pub(crate) fn is_cold(&self, service: &str, id: &str, now: Instant) -> bool {
        let targets = self.services.get(service);
        let target = targets.and_then(|targets| targets.get(id));
        target.is_some_and(|target| target.is_cold(now))
    }

    /// Returns the cold targets of a service; none if cold targets are not limited.
    pub(crate) fn cold_targets(&self, service: &str, now: Instant) -> Vec<String> {
        if self.cold_rate(service).is_none() {
            return Vec::new();
        }
        let cold = self.of_service(service).filter(|one| one.is_cold(now));
        cold.map(|target| target.id.clone()).collect()
    }

    /// Returns the IDs of the cold targets of a service that have no capacity for a request of this
    /// host now. This host is one of `hosts` that share the capacity without coordination.
    pub(crate) fn throttled_cold_targets(
        &mut self,
        service: &str,
        hosts: usize,
        now: Instant,
    ) -> Vec<String> {
        let Some(rate) = self.cold_rate(service) else {
            return Vec::new();
        };
        let targets = self.services.get_mut(service).into_iter();
        let cold = targets
            .flat_map(BTreeMap::values_mut)
            .filter(|target| target.is_cold(now));
        let closed = cold.filter_map(|target| {
            let open = target.share.allows_send(rate, hosts, fastrand::f64(), now);
            (!open).then(|| target.id.clone())
        });
        closed.collect()
    }

    /// Records a request that this host, one of `hosts`, sends to a target, if it is cold.
    pub(crate) fn record_cold_send(&mut self, service: &str, id: &str, hosts: usize, now: Instant) {
        let Some(rate) = self.cold_rate(service) else {
            return;
        };
        if let Some(target) = self.find_mut(service, id).filter(|one| one.is_cold(now)) {
            target.share.record_send(rate, hosts, now);
        }
    }

    /// Returns the number of targets of a service in each hall, as of the latest list.
    pub(crate) fn hall_counts(&self, service: &str) -> &[(String, u32)] {
        self.hall_counts.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets of a service.
    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = &Target> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Returns the IDs of the targets of a service.
    pub(crate) fn ids_of_service(&self, service: &str) -> impl Iterator<Item = &String> {
        let targets = self.services.get(service);
        targets.into_iter().flat_map(BTreeMap::keys)
    }

    /// Sets the services with a roll-out in progress.
    pub(crate) fn set_splits(&mut self, splits: HashMap<String, VersionSplit>) {
        self.splits = splits;
    }

    /// Returns the version of a target; empty if unknown, `None` if there is no such target.
    pub(crate) fn version_of(&self, service: &str, id: &str) -> Option<&str> {
        let target = self.services.get(service)?.get(id)?;
        Some(&target.version)
    }

    /// Returns the number of requests of this host in flight at targets of other versions than the
    /// given one.
    pub(crate) fn in_flight_at_other_versions(&self, service: &str, version: &str) -> u32 {
        let others = self
            .of_service(service)
            .filter(|one| one.version != version);
        others.map(|target| target.in_flight).sum()
    }

    /// Draws the side of a roll-out for a request of a service, and returns the targets of that
    /// side, or all targets if the side has none.
    fn candidates_of_drawn_side(&self, service: &str) -> Vec<&Target> {
        let all = || self.of_service(service);
        let Some(split) = self.splits.get(service) else {
            return all().collect();
        };
        let side = split.draw_side();
        let of_side: Vec<&Target> = all()
            .filter(|one| split.side_of(&one.version) == side)
            .collect();
        match of_side.is_empty() {
            true => all().collect(),
            false => of_side,
        }
    }

    /// Returns all target IDs with their service.
    pub(crate) fn all_ids(&self) -> impl Iterator<Item = (&String, &String)> {
        let services = self.services.iter();
        services.flat_map(|(service, targets)| targets.keys().map(move |id| (service, id)))
    }

    /// Returns the targets of a service that are not avoided; if all are avoided, those that are
    /// not ejected, and if all are ejected, all of them. During a roll-out, the targets are of one
    /// side, drawn anew for each call.
    pub(crate) fn usable(&self, service: &str, now: Instant) -> Vec<&Target> {
        Self::preferred(self.candidates_of_drawn_side(service), now)
    }

    /// Same as [`TargetStore::usable`], but of the targets of a version if one is given, whatever
    /// share of the requests a roll-out gives it.
    pub(crate) fn usable_by(
        &self,
        service: &str,
        version: Option<&String>,
        now: Instant,
    ) -> Vec<&Target> {
        let Some(version) = version else {
            return self.usable(service, now);
        };
        let of_version = self.of_service(service);
        let of_version = of_version.filter(|one| one.version == *version);
        Self::preferred(of_version.collect(), now)
    }

    fn preferred(side: Vec<&Target>, now: Instant) -> Vec<&Target> {
        let all = || side.iter().copied();
        let preferred: Vec<&Target> = all().filter(|one| !one.is_avoided(now)).collect();
        if !preferred.is_empty() {
            return preferred;
        }
        let reachable: Vec<&Target> = all().filter(|one| !one.is_ejected(now)).collect();
        if !reachable.is_empty() {
            return reachable;
        }
        all().collect()
    }

    /// Returns the hall of the target at an address, written as `IP:PORT`.
    pub(crate) fn hall_at(&self, service: &str, address: &str) -> Option<String> {
        let address: SocketAddr = address.parse().ok()?;
        let mut targets = self.of_service(service);
        let target = targets.find(|target| target.address == address)?;
        Some(target.hall.clone())
    }

    /// Finds a target by service and ID.
    pub(crate) fn find(&self, service: &str, id: &str) -> Option<ChosenTarget> {
        let target = self.services.get(service)?.get(id)?;
        Some(ChosenTarget::new(target))
    }

    /// Finds a target by ID alone; returns it with its service.
    pub(crate) fn find_by_id(&self, id: &str) -> Option<(&str, &Target)> {
        let mut services = self.services.iter();
        services.find_map(|(service, targets)| Some((service.as_str(), targets.get(id)?)))
    }

    /// Returns whether a target accepts work.
    pub(crate) fn contains(&self, service: &str, id: &str) -> bool {
        let targets = self.services.get(service);
        targets.is_some_and(|targets| targets.contains_key(id))
    }

    /// Returns a target by service and ID.
    pub(crate) fn get(&self, service: &str, id: &str) -> Option<&Target> {
        self.services.get(service)?.get(id)
    }

    pub(crate) fn find_mut(&mut self, service: &str, id: &str) -> Option<&mut Target> {
        self.services.get_mut(service)?.get_mut(id)
    }

    /// Removes a target, for example one that was found to be another incarnation.
    pub(crate) fn remove(&mut self, service: &str, id: &str) {
        if let Some(targets) = self.services.get_mut(service) {
            targets.remove(id);
        }
    }

    /// Records the duration of a non-streaming request, whether it was answered or given up.
    pub(crate) fn record_duration(
        &mut self,
        service: &str,
        id: &str,
        took: Duration,
        objective: Duration,
        now: Instant,
    ) {
        if let Some(target) = self.find_mut(service, id) {
            target.slowness.record(took, objective, now);
        }
    }

    /// Records a usable response, which resets the counts of consecutive failures, ejections and
    /// refusals.
    pub(crate) fn record_success(&mut self, service: &str, id: &str) {
        if let Some(target) = self.find_mut(service, id) {
            target.failures = 0;
            target.ejections = 0;
            target.refusals = 0;
        }
    }

    /// Records that a target refused a request. A usable response resets the count of consecutive
    /// refusals.
    pub(crate) fn record_refusal(&mut self, service: &str, id: &str, now: Instant) {
        if let Some(target) = self.find_mut(service, id) {
            target.record_refusal(now);
        }
    }

    /// Records that a target could not be reached. Unlike other failures this is not a matter of
    /// chance, so the target is ejected at once, without a cap on the number of ejected targets.
    pub(crate) fn record_unreachable(&mut self, service: &str, id: &str, now: Instant) {
        if let Some(target) = self.find_mut(service, id) {
            target.eject(now);
        }
    }

    /// Records that another host could not reach a target. The target is ejected for the base time,
    /// so that this host does not have to find out for itself.
    pub(crate) fn apply_peer_unreachable(&mut self, service: &str, id: &str, now: Instant) {
        if let Some(target) = self.find_mut(service, id)
            && !target.is_ejected(now)
        {
            target.ejected_until = Some(now + BASE_EJECTION_TIME);
        }
    }

    /// Returns the time until the first of those targets of a service that `may_run` selects is no longer
    /// avoided because of a refusal; `None` if there are none.
    pub(crate) fn cooldown_left(
        &self,
        service: &str,
        may_run: impl Fn(&Target) -> bool,
        now: Instant,
    ) -> Option<Duration> {
        let targets = self.of_service(service).filter(|target| may_run(target));
        targets.map(|target| target.cooldown_left(now)).min()
    }

    /// Returns whether a target is avoided because it refused a request.
    pub(crate) fn is_full(&self, service: &str, id: &str) -> bool {
        let left = self
            .get(service, id)
            .map(|one| one.cooldown_left(Instant::now()));
        left.is_some_and(|left| !left.is_zero())
    }

    /// Returns the targets of a service that are avoided now.
    pub(crate) fn avoided(&self, service: &str, now: Instant) -> impl Iterator<Item = &Target> {
        let targets = self.of_service(service);
        targets.filter(move |target| target.is_avoided(now))
    }

    /// Records a failure; returns whether the target is ejected because of it.
    pub(crate) fn record_failure(&mut self, service: &str, id: &str, now: Instant) -> bool {
        let all = self.of_service(service).count();
        let ejected = self
            .of_service(service)
            .filter(|one| one.is_ejected(now))
            .count();
        let may_eject = ((ejected + 1) as f64) <= all as f64 * MAX_EJECTED_FRACTION;
        let Some(target) = self.find_mut(service, id) else {
            return false;
        };
        target.failures += 1;
        if target.failures < EJECTION_THRESHOLD || !may_eject {
            return false;
        }
        target.eject(now);
        true
    }
}
