//! Route lookup in one configuration. See `docs/platform.md`, "Configuration".

use std::rc::Rc;

use crate::coordination::workspaces::credentials::Credentials;
use crate::protocol::mesh::CallerLimits;
use crate::protocol::mesh::MeshConfig;
use crate::protocol::mesh::MeshRoute;
use crate::protocol::mesh::MeshService;
use crate::protocol::mesh::Workspace;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::WorkspaceName;

/// The routes of one configuration. A new configuration gets a new table.
#[derive(Debug)]
pub struct RoutingTable {
    version: u64,
    limits: CallerLimits,
    /// Routes, sorted by host and prefix.
    routes: Vec<Rc<MeshRoute>>,
    /// The same, sorted by name.
    routes_by_name: Vec<Rc<MeshRoute>>,
    /// Services, sorted by name.
    services: Vec<MeshService>,
    /// Workspaces, sorted by name.
    workspaces: Vec<Workspace>,
    credentials: Credentials,
}

impl RoutingTable {
    /// Builds the table of a configuration.
    #[must_use]
    pub fn new(config: MeshConfig) -> Self {
        let mut routes: Vec<Rc<MeshRoute>> = config.routes.into_iter().map(Rc::new).collect();
        routes.sort_unstable_by(|a, b| key(a).cmp(&key(b)));
        let mut routes_by_name = routes.clone();
        routes_by_name.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        Self {
            version: config.version,
            limits: config.limits,
            routes,
            routes_by_name,
            services: config.services,
            credentials: Credentials::new(&config.workspaces),
            workspaces: config.workspaces,
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the names of all routes, sorted.
    #[must_use]
    pub fn route_names(&self) -> Vec<RouteName> {
        let routes = self.routes_by_name.iter();
        routes.map(|route| route.name.clone()).collect()
    }

    /// Returns the route of this name.
    #[must_use]
    pub fn route(&self, name: &RouteName) -> Option<&Rc<MeshRoute>> {
        let routes = &self.routes_by_name;
        let index = routes.binary_search_by(|route| route.name.cmp(name));
        Some(&routes[index.ok()?])
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&MeshService> {
        let services = &self.services;
        let index = services.binary_search_by(|service| service.name.cmp(name));
        Some(&services[index.ok()?])
    }

    /// Returns all workspaces, sorted by name. Without any, requests need no credential.
    #[must_use]
    pub fn workspaces(&self) -> &[Workspace] {
        &self.workspaces
    }

    /// Returns the workspace of this name.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        let workspaces = &self.workspaces;
        let index = workspaces.binary_search_by(|workspace| workspace.name.cmp(name));
        Some(&workspaces[index.ok()?])
    }

    /// Returns the credentials of the workspaces.
    #[must_use]
    pub fn credentials(&self) -> &Credentials {
        &self.credentials
    }

    /// Returns the route of the host with the longest matching path prefix. Prefixes end with a
    /// slash, so only prefixes of the path that end with a slash are looked up.
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

/// Chooses the service of a request by the weights of its route. `point` is a number in the range
/// 0 to 1, usually a random one.
#[must_use]
pub fn choose_service(route: &MeshRoute, point: f64) -> &ServiceName {
    let weights = route.targets.iter().map(|(_, weight)| f64::from(*weight));
    let mut remaining = point * weights.sum::<f64>();
    for (service, weight) in &route.targets {
        if remaining < f64::from(*weight) {
            return service;
        }
        remaining -= f64::from(*weight);
    }
    &route.targets[route.targets.len() - 1].0
}
