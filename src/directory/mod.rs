//! Directory of the active services, parsed for use by requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use log::error;

use crate::fold::config::Config;
use crate::id::Offset;
use crate::id::ServiceId;
use crate::service::Kind;
use crate::service::Service;

/// Active services, by name and by model.
#[derive(Debug, Default)]
pub struct Directory {
    /// Revision of the configuration.
    pub revision: Option<Offset>,
    services: BTreeMap<ServiceId, (Offset, Arc<Service>)>,
    by_model: HashMap<CompactString, ServiceId>,
}

impl Directory {
    /// Builds the directory of `config`; unchanged services are reused from `old`.
    ///
    /// ```
    /// use pistachiohall::directory::Directory;
    /// let directory = Directory::build(&Default::default(), &Directory::default());
    /// assert!(directory.service("lm").is_none());
    /// ```
    pub fn build(config: &Config, old: &Directory) -> Self {
        let mut directory = Directory {
            revision: config.revision,
            ..Directory::default()
        };
        for (name, version) in &config.services {
            let Some(text) = &version.text else { continue };
            let unchanged = old.services.get(name);
            let unchanged = unchanged.filter(|(revision, _)| *revision == version.revision);
            let service = unchanged.map(|(_, service)| Arc::clone(service));
            if let Some(service) = service.or_else(|| parse(name, text)) {
                directory.add(version.revision, service);
            }
        }
        directory
    }

    fn add(&mut self, revision: Offset, service: Arc<Service>) {
        let name = service.name.clone();
        if let Kind::Model(model) = &service.kind {
            self.by_model.insert(model.clone(), name.clone());
        }
        self.services.insert(name, (revision, service));
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name).map(|(_, service)| service)
    }

    /// Returns the service that serves a model.
    pub fn of_model(&self, model: &str) -> Option<&Arc<Service>> {
        self.service(self.by_model.get(model)?)
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values().map(|(_, service)| service)
    }
}

fn parse(name: &str, text: &str) -> Option<Arc<Service>> {
    match Service::parse(&format!("{name}.hall.ini"), text) {
        Ok(service) => Some(Arc::new(service)),
        Err(faults) => {
            error!(service:% = name, cause:% = faults; "published file is invalid");
            None
        }
    }
}
