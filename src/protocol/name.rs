//! Names as shared immutable strings, with one type for each kind of named object.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }
    };
}

name_type! {
    /// Identifies a node process. Unique in the fleet; stable across restarts only if the operator
    /// configures it so.
    NodeId
}
name_type! {
    /// Names a service of the mesh.
    ServiceName
}
name_type! {
    /// Names a version of a service's backend servers.
    VersionName
}
name_type! {
    /// Names a route of the configuration document.
    RouteName
}
name_type! {
    /// Names a workspace, a customer of the services with credentials of its own.
    WorkspaceName
}
name_type! {
    /// Names a region.
    RegionName
}
name_type! {
    /// Names a failure domain; unique across regions.
    DomainName
}

/// Version of the configuration: the offset of its record in the log plus one, or zero for none.
///
/// See `docs/design.md`, section 4.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// No version has been published or learned yet.
    pub const NONE: Self = Self(0);

    /// Returns the version that the log record at `offset` defines.
    #[must_use]
    pub fn from_offset(offset: u64) -> Self {
        Self(offset + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
