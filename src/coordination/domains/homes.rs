//! Home regions: the regions that may serve a call and receive its body. See
//! `docs/design/homes-and-evacuation.md`.

use crate::protocol::mesh::MeshConfig;
use crate::protocol::name::RegionName;

/// Regions whose backend servers may serve a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum AllowedRegions {
    /// All regions.
    #[default]
    Any,
    /// Only these regions, sorted. If there are none, nobody may serve the call.
    Only(Vec<RegionName>),
}

/// Returns the regions that the home regions of a route and of a workspace allow together. An empty list names
/// none and does not restrict.
#[must_use]
pub fn allowed_regions(
    route_homes: &[RegionName],
    workspace_homes: &[RegionName],
) -> AllowedRegions {
    AllowedRegions::Any
        .restricted_to(route_homes)
        .restricted_to(workspace_homes)
}

impl AllowedRegions {
    /// Restricts the regions further to home regions. An empty list does not restrict.
    #[must_use]
    pub fn restricted_to(self, homes: &[RegionName]) -> Self {
        if homes.is_empty() {
            return self;
        }
        Self::Only(match self {
            Self::Any => homes.to_vec(),
            Self::Only(mut regions) => {
                regions.retain(|region| homes.contains(region));
                regions
            }
        })
    }

    /// Whether backend servers of a region may serve the call.
    #[must_use]
    pub fn allows(&self, region: &RegionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }
}

/// Returns a description of the first home region in a configuration that is not known, with the field that
/// names it; `None` if all are known.
///
/// A misspelt home region would make every call of its route or workspace fail, so the whole configuration is
/// refused instead.
#[must_use]
pub fn unknown_home(config: &MeshConfig, is_known: impl Fn(&RegionName) -> bool) -> Option<String> {
    let of_routes = config
        .routes
        .iter()
        .map(|route| ("route", route.name.as_str(), &route.homes));
    let of_workspaces = config
        .workspaces
        .iter()
        .map(|workspace| ("workspace", workspace.name.as_str(), &workspace.homes));
    of_routes
        .chain(of_workspaces)
        .find_map(|(kind, name, homes)| {
            let unknown = homes.iter().find(|region| !is_known(region))?;
            Some(format!(
                "{kind} {name}: home-regions: the region {unknown} is not in the settings' domains"
            ))
        })
}
