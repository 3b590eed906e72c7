//! Resources declared by operators, validated before they are stored.
//!
//! The terms are defined in `docs/GLOSSARY.md`; the operator API is described
//! in `docs/API.md`.

use std::fmt;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

mod check;
mod layers;
mod name;
mod snapshot;
mod sorted_map;
mod spec;

pub use layers::Layers;
pub use name::{MAX_NAME_BYTES, Name};
pub use snapshot::Snapshot;
pub use spec::{Endpoint, Engine, ModelLayers, Pipeline, Priority, Role, Route, Service, Team};

quick_error! {
    /// Why a resource was rejected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// A field has a value that its rule does not allow.
        Invalid { field: &'static str, value: String, rule: &'static str } {
            display("field {:?} has value {:?}, must be {}", field, value, rule)
        }
        /// The JSON text is not a specification of the given kind.
        Malformed { kind: Kind, reason: String } {
            display("{} is malformed: {}", kind, reason)
        }
        /// The kind in the request does not exist.
        UnknownKind(kind: String) {
            display("kind {:?} does not exist, must be one of {:?}", kind, Kind::ALL.map(Kind::as_str))
        }
        /// A field refers to a resource that does not exist.
        Missing { field: &'static str, kind: Kind, name: Name } {
            display("field {:?} names {} {:?}, which does not exist", field, kind, name.as_str())
        }
        /// Another resource still refers to the one to be deleted.
        InUse { kind: Kind, name: Name } {
            display("{} {:?} still refers to it", kind, name.as_str())
        }
    }
}

/// The kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// See [`Route`].
    Route,
    /// See [`Pipeline`].
    Pipeline,
    /// See [`Team`].
    Team,
    /// See [`Priority`].
    Priority,
    /// See [`Endpoint`].
    Endpoint,
    /// See [`Service`].
    Service,
}

/// A validated specification of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spec {
    /// A route.
    Route(Route),
    /// A pipeline.
    Pipeline(Pipeline),
    /// A team.
    Team(Team),
    /// A priority.
    Priority(Priority),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A service.
    Service(Service),
}

/// A stored resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Name, unique within its kind.
    pub name: Name,
    /// Configuration revision that last changed it.
    pub revision: u64,
    /// The specification.
    pub spec: Spec,
}

impl Kind {
    /// All kinds, in the order in which to apply files: a kind comes after those
    /// that it refers to.
    pub const ALL: [Self; 6] =
        [Self::Priority, Self::Team, Self::Pipeline, Self::Service, Self::Endpoint, Self::Route];

    /// The name of the kind in URLs and files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Pipeline => "pipeline",
            Self::Team => "team",
            Self::Priority => "priority",
            Self::Endpoint => "endpoint",
            Self::Service => "service",
        }
    }
}

impl Spec {
    /// Decodes and validates the JSON specification of a resource of `kind`.
    ///
    /// References to other resources are checked by [`Snapshot::check`].
    pub fn decode(kind: Kind, body: &[u8]) -> Result<Self, Error> {
        let malformed = |e: serde_json::Error| Error::Malformed { kind, reason: e.to_string() };
        let spec = match kind {
            Kind::Route => Self::Route(serde_json::from_slice(body).map_err(malformed)?),
            Kind::Pipeline => Self::Pipeline(serde_json::from_slice(body).map_err(malformed)?),
            Kind::Team => Self::Team(serde_json::from_slice(body).map_err(malformed)?),
            Kind::Priority => Self::Priority(serde_json::from_slice(body).map_err(malformed)?),
            Kind::Endpoint => Self::Endpoint(serde_json::from_slice(body).map_err(malformed)?),
            Kind::Service => Self::Service(serde_json::from_slice(body).map_err(malformed)?),
        };
        check::check_values(&spec)?;
        Ok(spec)
    }

    /// The kind of this specification.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Route(_) => Kind::Route,
            Self::Pipeline(_) => Kind::Pipeline,
            Self::Team(_) => Kind::Team,
            Self::Priority(_) => Kind::Priority,
            Self::Endpoint(_) => Kind::Endpoint,
            Self::Service(_) => Kind::Service,
        }
    }

    /// The specification as JSON, without the enclosing kind.
    pub fn to_json(&self) -> serde_json::Value {
        let value = match self {
            Self::Route(spec) => serde_json::to_value(spec),
            Self::Pipeline(spec) => serde_json::to_value(spec),
            Self::Team(spec) => serde_json::to_value(spec),
            Self::Priority(spec) => serde_json::to_value(spec),
            Self::Endpoint(spec) => serde_json::to_value(spec),
            Self::Service(spec) => serde_json::to_value(spec),
        };
        value.expect("a specification is always serializable as JSON")
    }
}

impl TryFrom<&str> for Kind {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| Error::UnknownKind(text.to_owned()))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
