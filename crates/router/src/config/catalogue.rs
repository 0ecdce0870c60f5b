//! The configuration in force at one number, and the check of each change against it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use smol_str::SmolStr;

use crate::config::object::{
    BackendServer, Change, Class, Edit, Level, Number, Object, ObjectKey, ObjectKind, Organisation,
    Tier,
};
use crate::error::{Fault, Kind};

/// The configuration at one number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    number: Number,
    objects: BTreeMap<ObjectKey, Arc<Object>>,
    keys: HashMap<SmolStr, SmolStr>,
}

/// One line of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The object.
    pub key: ObjectKey,
    /// What it is now.
    pub before: Option<Arc<Object>>,
    /// What it would be.
    pub after: Option<Arc<Object>>,
}

impl Catalogue {
    /// Rebuilds the configuration that was stored under `number`.
    #[must_use]
    pub fn restore(number: Number, objects: Vec<Object>) -> Self {
        let mut catalogue = Self {
            number,
            ..Self::default()
        };
        for object in objects {
            catalogue.put(object);
        }
        catalogue
    }

    /// The number of the last change.
    #[must_use]
    pub const fn number(&self) -> Number {
        self.number
    }

    /// All objects, by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = &Arc<Object>> {
        self.objects.values()
    }

    /// One object.
    #[must_use]
    pub fn get(&self, key: &ObjectKey) -> Option<&Arc<Object>> {
        self.objects.get(key)
    }

    fn find(&self, kind: ObjectKind, name: &str) -> Option<&Object> {
        let key = ObjectKey {
            kind,
            name: name.into(),
        };
        self.objects.get(&key).map(AsRef::as_ref)
    }

    /// The tier of that name.
    #[must_use]
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        match self.find(ObjectKind::Tier, name) {
            Some(Object::Tier(tier)) => Some(tier),
            _ => None,
        }
    }

    /// The class of that name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        match self.find(ObjectKind::Class, name) {
            Some(Object::Class(class)) => Some(class),
            _ => None,
        }
    }

    /// The level of a class's tier.
    #[must_use]
    pub fn level(&self, class: &Class) -> Level {
        self.tier(&class.tier).map_or(Level::MAX, |t| t.level)
    }

    /// The organisation that a bearer key's hash belongs to.
    #[must_use]
    pub fn organisation(&self, hash: &str) -> Option<&Organisation> {
        let name = self.keys.get(hash)?;
        match self.find(ObjectKind::Organisation, name) {
            Some(Object::Organisation(organisation)) => Some(organisation),
            _ => None,
        }
    }

    /// All backend servers, by name.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.objects.values().filter_map(|o| match o.as_ref() {
            Object::BackendServer(server) => Some(server),
            _ => None,
        })
    }

    /// All classes, by name.
    pub fn classes(&self) -> impl Iterator<Item = &Class> {
        self.objects.values().filter_map(|o| match o.as_ref() {
            Object::Class(class) => Some(class),
            _ => None,
        })
    }

    fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.objects.values().filter_map(|o| match o.as_ref() {
            Object::Organisation(organisation) => Some(organisation),
            _ => None,
        })
    }

    /// What `edits` would alter, without the steps that alter nothing.
    #[must_use]
    pub fn plan(&self, edits: &[Edit]) -> Vec<Difference> {
        let mut differences: Vec<Difference> = edits
            .iter()
            .map(|edit| {
                let key = edit.key();
                let before = self.objects.get(&key).cloned();
                let after = match edit {
                    Edit::Put(object) => Some(Arc::new(object.clone())),
                    Edit::Delete(_) => None,
                };
                Difference { key, before, after }
            })
            .collect();
        differences.retain(|d| d.before != d.after);
        differences
    }

    /// What each step's object is now.
    #[must_use]
    pub fn before(&self, edits: &[Edit]) -> Vec<Option<Object>> {
        let now = edits.iter().map(|e| self.objects.get(&e.key()));
        now.map(|o| o.map(|o| o.as_ref().clone())).collect()
    }

    /// The configuration after `change`, whose number must be the next.
    ///
    /// # Errors
    /// `change_refused` with the reason when the result wouldn't hold together.
    pub fn apply(&self, change: &Change) -> Result<Self, Fault> {
        let next = self.replay(change)?;
        next.check(self)?;
        Ok(next)
    }

    /// The configuration after a change that has been accepted before.
    ///
    /// # Errors
    /// `change_refused` when the number isn't the next.
    pub fn replay(&self, change: &Change) -> Result<Self, Fault> {
        if change.number != self.number + 1 {
            return Err(refused(format!(
                "change {} doesn't follow {}",
                change.number, self.number
            )));
        }
        let mut next = self.clone();
        next.number = change.number;
        for edit in &change.edits {
            match edit {
                Edit::Put(object) => next.put(object.clone()),
                Edit::Delete(key) => next.delete(key),
            }
        }
        Ok(next)
    }

    fn put(&mut self, object: Object) {
        let key = object.key();
        self.delete(&key);
        if let Object::Organisation(organisation) = &object {
            for hash in &organisation.key_hashes {
                self.keys.insert(hash.clone(), organisation.name.clone());
            }
        }
        self.objects.insert(key, Arc::new(object));
    }

    fn delete(&mut self, key: &ObjectKey) {
        let Some(object) = self.objects.remove(key) else {
            return;
        };
        if let Object::Organisation(organisation) = object.as_ref() {
            for hash in &organisation.key_hashes {
                self.keys.remove(hash);
            }
        }
    }

    fn check(&self, before: &Self) -> Result<(), Fault> {
        self.objects
            .values()
            .try_for_each(|o| self.check_object(o))?;
        self.check_levels()?;
        self.check_keys()?;
        self.check_pools(before)
    }

    fn check_object(&self, object: &Object) -> Result<(), Fault> {
        let key = object.key();
        within(&key, "name (length)", key.name.len() as u64, 1, 128)?;
        match object {
            Object::Tier(_) => Ok(()),
            Object::Class(class) => self.check_class(&key, class),
            Object::Organisation(organisation) => self.check_organisation(&key, organisation),
            Object::BackendServer(server) => check_server(&key, server),
        }
    }

    fn check_class(&self, key: &ObjectKey, class: &Class) -> Result<(), Fault> {
        if self.tier(&class.tier).is_none() {
            return Err(refused(format!(
                "{key} names the unknown tier {}",
                class.tier
            )));
        }
        within(key, "starvation_ms", class.starvation_ms, 100, 86_400_000)?;
        within(key, "wait_ms", class.wait_ms, 100, 86_400_000)
    }

    fn check_organisation(
        &self,
        key: &ObjectKey,
        organisation: &Organisation,
    ) -> Result<(), Fault> {
        within(key, "share", organisation.share.into(), 1, 1_000)?;
        within(
            key,
            "classes (number)",
            organisation.classes.len() as u64,
            1,
            1_000,
        )?;
        let unknown = organisation
            .classes
            .iter()
            .find(|c| self.class(c).is_none());
        if let Some(class) = unknown {
            return Err(refused(format!("{key} names the unknown class {class}")));
        }
        let default = organisation.default_class.iter();
        let foreign = default.clone().find(|d| !organisation.classes.contains(d));
        if let Some(class) = foreign {
            return Err(refused(format!(
                "{key}: default_class {class} isn't among its classes"
            )));
        }
        organisation
            .key_hashes
            .iter()
            .try_for_each(|h| within(key, "key_hashes (length)", h.len() as u64, 64, 64))
    }

    fn check_levels(&self) -> Result<(), Fault> {
        let mut levels: HashMap<Level, &SmolStr> = HashMap::new();
        for object in self.objects.values() {
            let Object::Tier(tier) = object.as_ref() else {
                continue;
            };
            if let Some(other) = levels.insert(tier.level, &tier.name) {
                return Err(refused(format!(
                    "tiers {other} and {} both have level {}",
                    tier.name, tier.level
                )));
            }
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), Fault> {
        let mut owners: HashMap<&SmolStr, &SmolStr> = HashMap::new();
        for organisation in self.organisations() {
            for hash in &organisation.key_hashes {
                if let Some(owner) = owners.insert(hash, &organisation.name) {
                    return Err(refused(format!(
                        "organisations {owner} and {} share a key",
                        organisation.name
                    )));
                }
            }
        }
        Ok(())
    }

    /// A pool that could take work before must be able to afterwards.
    fn check_pools(&self, before: &Self) -> Result<(), Fault> {
        let open = |c: &Self| -> std::collections::BTreeSet<SmolStr> {
            c.servers()
                .filter(|s| !s.leaving)
                .map(BackendServer::pool)
                .collect()
        };
        match open(before).difference(&open(self)).next() {
            Some(pool) => Err(refused(format!(
                "{pool} would lose its last backend server that takes work"
            ))),
            None => Ok(()),
        }
    }
}

fn check_server(key: &ObjectKey, server: &BackendServer) -> Result<(), Fault> {
    if server.model.is_some() == server.service.is_some() {
        return Err(refused(format!("{key} needs either a model or a service")));
    }
    within(key, "slots", server.slots.into(), 1, 4_096)
}

fn within(key: &ObjectKey, field: &str, value: u64, min: u64, max: u64) -> Result<(), Fault> {
    if value < min || value > max {
        return Err(refused(format!(
            "{key}: {field} = {value} is outside the allowed range {min} to {max}"
        )));
    }
    Ok(())
}

fn refused(message: String) -> Fault {
    Fault::new(Kind::ChangeRefused, message)
}
