//! All resources as of one configuration revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    Endpoint, Error, Kind, Name, Pipeline, Priority, Resource, Role, Route, Service, Spec, Team,
};

/// Every resource as of one revision; immutable once installed.
///
/// A request keeps the snapshot that admitted it, so that a change never
/// takes effect halfway through an answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    revision: u64,
    resources: BTreeMap<(Kind, Name), Arc<Resource>>,
}

impl Snapshot {
    /// Builds a snapshot at `revision` from its resources.
    pub fn new(revision: u64, resources: impl IntoIterator<Item = Resource>) -> Self {
        let key = |r: &Resource| (r.spec.kind(), r.name.clone());
        Self {
            revision,
            resources: resources.into_iter().map(|r| (key(&r), Arc::new(r))).collect(),
        }
    }

    /// The revision of the last change it contains.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The resource of a kind and name.
    pub fn get(&self, kind: Kind, name: &Name) -> Option<&Resource> {
        self.resources.get(&(kind, name.clone())).map(Arc::as_ref)
    }

    /// The resources of a kind, in order of name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Resource> {
        self.iter().filter(move |r| r.spec.kind() == kind)
    }

    /// Every resource, by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.resources.values().map(Arc::as_ref)
    }

    /// This snapshot with one change applied at `revision`; `None` deletes.
    pub fn with(&self, revision: u64, kind: Kind, name: &Name, spec: Option<Spec>) -> Self {
        let mut next = self.clone();
        next.revision = revision;
        let key = (kind, name.clone());
        match spec {
            Some(spec) => {
                let resource = Resource { name: name.clone(), revision, spec };
                next.resources.insert(key, Arc::new(resource));
            }
            None => {
                next.resources.remove(&key);
            }
        }
        next
    }

    /// The route under which callers know `model`.
    pub fn route(&self, model: &str) -> Option<(&Name, &Route)> {
        self.list(Kind::Route).find_map(|r| match &r.spec {
            Spec::Route(route) if route.model == model => Some((&r.name, route)),
            _ => None,
        })
    }

    /// The pipeline of a name.
    pub fn pipeline(&self, name: &Name) -> Option<&Pipeline> {
        match &self.get(Kind::Pipeline, name)?.spec {
            Spec::Pipeline(spec) => Some(spec),
            _ => None,
        }
    }

    /// The team of a name.
    pub fn team(&self, name: &Name) -> Option<&Team> {
        match &self.get(Kind::Team, name)?.spec {
            Spec::Team(spec) => Some(spec),
            _ => None,
        }
    }

    /// The priority of a name.
    pub fn priority(&self, name: &Name) -> Option<&Priority> {
        match &self.get(Kind::Priority, name)?.spec {
            Spec::Priority(spec) => Some(spec),
            _ => None,
        }
    }

    /// The service of a name.
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

    /// The endpoints with their names.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Name, &Endpoint)> {
        self.list(Kind::Endpoint).filter_map(|r| match &r.spec {
            Spec::Endpoint(spec) => Some((&r.name, spec)),
            _ => None,
        })
    }

    /// Checks that every resource that `spec` names exists.
    pub fn check(&self, spec: &Spec) -> Result<(), Error> {
        match spec {
            Spec::Route(route) => {
                self.require("pipeline", Kind::Pipeline, &route.pipeline)?;
                route.teams.iter().try_for_each(|team| self.require("teams", Kind::Team, team))
            }
            Spec::Team(team) => self.require("priority", Kind::Priority, &team.priority),
            Spec::Endpoint(endpoint) => match &endpoint.role {
                Role::Service(service) => self.require("role", Kind::Service, service),
                Role::Engine(engine) => engine
                    .holds
                    .iter()
                    .try_for_each(|held| self.require("holds", Kind::Pipeline, &held.pipeline)),
            },
            Spec::Pipeline(_) | Spec::Priority(_) | Spec::Service(_) => Ok(()),
        }
    }

    /// Checks that no other resource names the one to be deleted.
    pub fn check_delete(&self, kind: Kind, name: &Name) -> Result<(), Error> {
        let without = self.with(self.revision, kind, name, None);
        for resource in without.iter() {
            if without.check(&resource.spec).is_err() {
                let user = resource.spec.kind();
                return Err(Error::InUse { kind: user, name: resource.name.clone() });
            }
        }
        Ok(())
    }

    fn require(&self, field: &'static str, kind: Kind, name: &Name) -> Result<(), Error> {
        if self.get(kind, name).is_some() {
            return Ok(());
        }
        Err(Error::Missing { field, kind, name: name.clone() })
    }
}
