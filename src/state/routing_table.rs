//! Look-up of the route of a request in one configuration. See `docs/platform.md`,
//! "Configuration".

use std::rc::Rc;

use crate::protocol::mesh::CallerLimits;
use crate::protocol::mesh::MeshConfig;
use crate::protocol::mesh::MeshRoute;
use crate::protocol::name::ServiceName;

/// The routes of one configuration; it replaces its predecessor as a whole.
#[derive(Debug)]
pub struct RoutingTable {
    version: u64,
    limits: CallerLimits,
    /// Sorted by host and prefix.
    routes: Vec<Rc<MeshRoute>>,
}

impl RoutingTable {
    /// Builds the table.
    #[must_use]
    pub fn new(config: MeshConfig) -> Self {
        let mut routes: Vec<Rc<MeshRoute>> = config.routes.into_iter().map(Rc::new).collect();
        routes.sort_unstable_by(|a, b| key(a).cmp(&key(b)));
        Self {
            version: config.version,
            limits: config.limits,
            routes,
        }
    }

    /// Version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits for callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Number of routes.
    #[must_use]
    pub fn routes(&self) -> usize {
        self.routes.len()
    }

    /// Returns the route of the host with the longest prefix of the path. Prefixes end with a slash,
    /// so only the parts of the path up to a slash are looked up.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<MeshRoute>> {
        let mut rest = path;
        loop {
            let end = rest.rfind('/')? + 1;
            let found = self
                .routes
                .binary_search_by(|route| key(route).cmp(&(host, &path[..end])));
            if let Ok(index) = found {
                return Some(&self.routes[index]);
            }
            rest = &path[..end - 1];
        }
    }
}

fn key(route: &MeshRoute) -> (&str, &str) {
    (&route.host, &route.prefix)
}

/// Chooses the service of a request by the weights of its route; `point` lies between 0 and 1.
#[must_use]
pub fn choose_service(route: &MeshRoute, point: f64) -> &ServiceName {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    let mut left = point * f64::from(total);
    for (service, weight) in &route.targets {
        if left < f64::from(*weight) {
            return service;
        }
        left -= f64::from(*weight);
    }
    &route.targets[route.targets.len() - 1].0
}
