//! All resources as of one configuration revision.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::sorted_map::SortedMap;
use super::{
    Endpoint, Error, Kind, Name, Pipeline, Priority, Resource, Role, Route, Service, Spec, Team,
};

/// Size of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;

/// A SHA-256 digest of a bearer token.
type Digest = [u8; DIGEST_BYTES];

/// All resources as of one revision; immutable once installed.
///
/// A request keeps the snapshot under which it was admitted, so a change never
/// takes effect in the middle of a response. Successive snapshots share
/// unchanged data, see `docs/design/configuration.md`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "SerializedSnapshot", into = "SerializedSnapshot")]
pub struct Snapshot {
    revision: u64,
    /// One map per kind, indexed by the discriminant of [`Kind`].
    kinds: [SortedMap<Name, Arc<Resource>>; Kind::ALL.len()],
    /// Teams by token digest.
    tokens: SortedMap<(Digest, Name), ()>,
    /// Routes by model name.
    models: SortedMap<(Arc<str>, Name), ()>,
}

/// The serialized form of a snapshot.
#[derive(Serialize, Deserialize)]
struct SerializedSnapshot {
    revision: u64,
    resources: Vec<Arc<Resource>>,
}

impl Snapshot {
    /// Builds a snapshot at `revision` from its resources.
    pub fn new(revision: u64, resources: impl IntoIterator<Item = Resource>) -> Self {
        let mut snapshot = Self { revision, ..Self::default() };
        for resource in resources {
            snapshot.insert(Arc::new(resource));
        }
        snapshot
    }

    /// The revision of the last change that it contains.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of resources.
    pub fn len(&self) -> usize {
        self.kinds.iter().map(SortedMap::len).sum()
    }

    /// Whether it contains no resources.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The resource with this kind and name.
    pub fn get(&self, kind: Kind, name: &Name) -> Option<&Resource> {
        self.kinds[kind as usize].get(name).map(Arc::as_ref)
    }

    /// The resources of a kind, sorted by name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Resource> {
        self.kinds[kind as usize].iter().map(|(_, resource)| resource.as_ref())
    }

    /// All resources, sorted by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.kinds.iter().flat_map(SortedMap::iter).map(|(_, resource)| resource.as_ref())
    }

    /// This snapshot with one change applied at `revision`; a `spec` of `None`
    /// deletes the resource.
    pub fn with(&self, revision: u64, kind: Kind, name: &Name, spec: Option<Spec>) -> Self {
        let mut next = self.clone();
        next.revision = revision;
        match spec {
            Some(spec) => next.insert(Arc::new(Resource { name: name.clone(), revision, spec })),
            None => next.remove(kind, name),
        }
        next
    }

    /// The route for the model name used by callers; the first by route name if
    /// several declare it.
    pub fn route(&self, model: &str) -> Option<(&Name, &Route)> {
        let ((found, name), ()) = self.models.lower_bound(|(m, _)| m.as_ref() < model)?;
        if found.as_ref() != model {
            return None;
        }
        match &self.get(Kind::Route, name)?.spec {
            Spec::Route(route) => Some((name, route)),
            _ => None,
        }
    }

    /// The team to which the token with this SHA-256 digest belongs; the first
    /// by name if several declare it.
    pub fn team_of_token(&self, digest: &Digest) -> Option<(&Name, &Team)> {
        let ((found, name), ()) = self.tokens.lower_bound(|(d, _)| d < digest)?;
        if found != digest {
            return None;
        }
        self.team(name).map(|team| (name, team))
    }

    /// The pipeline with this name.
    pub fn pipeline(&self, name: &Name) -> Option<&Pipeline> {
        match &self.get(Kind::Pipeline, name)?.spec {
            Spec::Pipeline(spec) => Some(spec),
            _ => None,
        }
    }

    /// The team with this name.
    pub fn team(&self, name: &Name) -> Option<&Team> {
        match &self.get(Kind::Team, name)?.spec {
            Spec::Team(spec) => Some(spec),
            _ => None,
        }
    }

    /// The priority with this name.
    pub fn priority(&self, name: &Name) -> Option<&Priority> {
        match &self.get(Kind::Priority, name)?.spec {
            Spec::Priority(spec) => Some(spec),
            _ => None,
        }
    }

    /// The service with this name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        match &self.get(Kind::Service, name)?.spec {
            Spec::Service(spec) => Some(spec),
            _ => None,
        }
    }

    /// The teams with their names.
    pub fn teams(&self) -> impl Iterator<Item = (&Name, &Team)> {
        self.list(Kind::Team).filter_map(|r| match &r.spec {
            Spec::Team(spec) => Some((&r.name, spec)),
            _ => None,
        })
    }

    /// The routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.list(Kind::Route).filter_map(|r| match &r.spec {
            Spec::Route(spec) => Some(spec),
            _ => None,
        })
    }

    /// The endpoints with their names.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Name, &Endpoint)> {
        self.list(Kind::Endpoint).filter_map(|r| match &r.spec {
            Spec::Endpoint(spec) => Some((&r.name, spec)),
            _ => None,
        })
    }

    /// Checks that every resource to which `spec` refers exists.
    pub fn check(&self, spec: &Spec) -> Result<(), Error> {
        match spec {
            Spec::Route(route) => {
                self.require_exists("pipeline", Kind::Pipeline, &route.pipeline)?;
                route
                    .teams
                    .iter()
                    .try_for_each(|team| self.require_exists("teams", Kind::Team, team))
            }
            Spec::Team(team) => self.require_exists("priority", Kind::Priority, &team.priority),
            Spec::Endpoint(endpoint) => match &endpoint.role {
                Role::Service(service) => self.require_exists("role", Kind::Service, service),
                Role::Engine(engine) => engine.holds.iter().try_for_each(|layers| {
                    self.require_exists("holds", Kind::Pipeline, &layers.pipeline)
                }),
            },
            Spec::Pipeline(_) | Spec::Priority(_) | Spec::Service(_) => Ok(()),
        }
    }

    /// Checks that no other resource refers to the one to be deleted.
    pub fn check_delete(&self, kind: Kind, name: &Name) -> Result<(), Error> {
        let without = self.with(self.revision, kind, name, None);
        for resource in without.iter() {
            if without.check(&resource.spec).is_err() {
                let referrer = resource.spec.kind();
                return Err(Error::InUse { kind: referrer, name: resource.name.clone() });
            }
        }
        Ok(())
    }

    fn insert(&mut self, resource: Arc<Resource>) {
        let kind = resource.spec.kind();
        self.remove(kind, &resource.name);
        match &resource.spec {
            Spec::Team(team) => token_digests(team)
                .for_each(|digest| self.tokens.insert((digest, resource.name.clone()), ())),
            Spec::Route(route) => {
                self.models.insert((route.model.as_str().into(), resource.name.clone()), ());
            }
            _ => {}
        }
        self.kinds[kind as usize].insert(resource.name.clone(), resource);
    }

    fn remove(&mut self, kind: Kind, name: &Name) {
        let Some(old) = self.kinds[kind as usize].get(name).cloned() else { return };
        match &old.spec {
            Spec::Team(team) => {
                token_digests(team).for_each(|digest| self.tokens.remove(&(digest, name.clone())));
            }
            Spec::Route(route) => {
                self.models.remove(&(route.model.as_str().into(), name.clone()));
            }
            _ => {}
        }
        self.kinds[kind as usize].remove(name);
    }

    fn require_exists(&self, field: &'static str, kind: Kind, name: &Name) -> Result<(), Error> {
        if self.get(kind, name).is_some() {
            return Ok(());
        }
        Err(Error::Missing { field, kind, name: name.clone() })
    }
}

impl PartialEq for Snapshot {
    fn eq(&self, other: &Self) -> bool {
        self.revision == other.revision && self.iter().eq(other.iter())
    }
}

impl From<SerializedSnapshot> for Snapshot {
    fn from(serialized: SerializedSnapshot) -> Self {
        let mut snapshot = Self { revision: serialized.revision, ..Self::default() };
        serialized.resources.into_iter().for_each(|resource| snapshot.insert(resource));
        snapshot
    }
}

impl From<Snapshot> for SerializedSnapshot {
    fn from(snapshot: Snapshot) -> Self {
        let resources = snapshot.kinds.iter().flat_map(SortedMap::iter);
        Self { revision: snapshot.revision, resources: resources.map(|(_, r)| r.clone()).collect() }
    }
}

/// The decoded token digests of a team; invalid hexadecimal is skipped, since
/// it cannot match a token.
fn token_digests(team: &Team) -> impl Iterator<Item = Digest> {
    team.token_digests.iter().filter_map(|text| {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest).ok()?;
        Some(digest)
    })
}
