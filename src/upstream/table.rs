//! The upstreams of all services.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::Ordering;

use crate::id::ServiceId;
use crate::log::Host;
use crate::log::Kind;
use crate::log::State;
use crate::service::Service;

use super::Upstream;

/// The upstreams of all services, by service.
#[derive(Debug, Default)]
pub struct Table {
    by_service: RwLock<HashMap<ServiceId, Arc<Vec<Arc<Upstream>>>>>,
}

impl Table {
    /// Returns the upstreams of a service.
    ///
    /// ```
    /// assert!(pistachiohall::upstream::Table::default().of("lm").is_empty());
    /// ```
    pub fn of(&self, service: &str) -> Arc<Vec<Arc<Upstream>>> {
        let table = self.by_service.read().expect("table lock");
        table.get(service).cloned().unwrap_or_default()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let table = self.by_service.read().expect("table lock");
        table
            .values()
            .flat_map(|list| list.iter().cloned())
            .collect()
    }

    /// Updates the table from the platform's list and the configured services.
    ///
    /// An upstream in neither is marked as leaving; one with unchanged name and address keeps its
    /// state.
    pub fn refresh<'a, I>(&self, hosts: &[Host], services: I)
    where
        I: IntoIterator<Item = &'a Arc<Service>>,
    {
        let mut wanted: BTreeMap<ServiceId, Vec<Upstream>> = BTreeMap::new();
        for service in services {
            let list = wanted.entry(service.name.clone()).or_default();
            list.extend(service.upstreams.iter().map(|configured| {
                let id = configured.name.clone();
                Upstream::new(
                    id,
                    configured.address,
                    configured.domain.clone(),
                    service.name.clone(),
                )
            }));
        }
        for host in hosts.iter().filter(|host| host.kind == Kind::Upstream) {
            let Some(list) = host.service.as_ref().and_then(|name| wanted.get_mut(name)) else {
                continue;
            };
            list.retain(|other| other.id != host.name);
            let service = host.service.clone().unwrap_or_default();
            let upstream = Upstream::new(
                host.name.clone(),
                host.address,
                host.domain.clone(),
                service,
            );
            let is_leaving = host.state == State::Leaving;
            upstream.leaving.store(is_leaving, Ordering::SeqCst);
            list.push(upstream);
        }
        let merged = wanted
            .into_iter()
            .map(|(service, list)| (service.clone(), Arc::new(self.merge(&service, list))))
            .collect();
        *self.by_service.write().expect("table lock") = merged;
    }

    fn merge(&self, service: &str, wanted: Vec<Upstream>) -> Vec<Arc<Upstream>> {
        let old = self.of(service);
        let kept = |new: &Upstream| {
            old.iter()
                .find(|old| old.id == new.id && old.address == new.address)
                .cloned()
        };
        let merged: Vec<Arc<Upstream>> = wanted
            .into_iter()
            .map(|new| match kept(&new) {
                Some(old) => {
                    let is_leaving = new.leaving.load(Ordering::SeqCst);
                    let is_reported_leaving = old.report().is_some_and(|(load, _)| load.leaving);
                    old.leaving
                        .store(is_leaving || is_reported_leaving, Ordering::SeqCst);
                    old
                }
                None => Arc::new(new),
            })
            .collect();
        let is_removed = |old: &&Arc<Upstream>| !merged.iter().any(|new| Arc::ptr_eq(new, old));
        for old in old.iter().filter(is_removed) {
            old.leaving.store(true, Ordering::SeqCst);
        }
        merged
    }
}
