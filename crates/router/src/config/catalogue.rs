//! The catalogue of declared objects after some change, and the validation of the next change.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use smol_str::SmolStr;

use crate::config::object::{
    BackendServer, Change, ChangeNumber, Class, Edit, Level, Object, ObjectKey, ObjectKind,
    Organisation, Tier,
};
use crate::error::{Fault, Kind};

/// The declared objects after the change with a certain number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    number: ChangeNumber,
    objects: BTreeMap<ObjectKey, Arc<Object>>,
    organisations_by_key: HashMap<SmolStr, SmolStr>,
}

/// The effect of one edit on an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The key of the object.
    pub key: ObjectKey,
    /// The object before the edit; `None` if it doesn't exist.
    pub before: Option<Arc<Object>>,
    /// The object after the edit; `None` if it is deleted.
    pub after: Option<Arc<Object>>,
}

impl Catalogue {
    /// Rebuilds the catalogue as of the change `number` from its objects, without validation.
    #[must_use]
    pub fn restore(number: ChangeNumber, objects: Vec<Object>) -> Self {
        let mut catalogue = Self {
            number,
            ..Self::default()
        };
        for object in objects {
            catalogue.put(object);
        }
        catalogue
    }

    /// The number of the last change included; 0 for the empty catalogue.
    #[must_use]
    pub const fn number(&self) -> ChangeNumber {
        self.number
    }

    /// All objects, sorted by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = &Arc<Object>> {
        self.objects.values()
    }

    /// The object with this key.
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

    /// The tier with this name.
    #[must_use]
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        match self.find(ObjectKind::Tier, name) {
            Some(Object::Tier(tier)) => Some(tier),
            _ => None,
        }
    }

    /// The class with this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        match self.find(ObjectKind::Class, name) {
            Some(Object::Class(class)) => Some(class),
            _ => None,
        }
    }

    /// The priority level of the class's tier; `Level::MAX` if the tier is unknown.
    #[must_use]
    pub fn level(&self, class: &Class) -> Level {
        self.tier(&class.tier).map_or(Level::MAX, |t| t.level)
    }

    /// The organisation that owns the bearer key with this hash.
    #[must_use]
    pub fn organisation(&self, hash: &str) -> Option<&Organisation> {
        let name = self.organisations_by_key.get(hash)?;
        match self.find(ObjectKind::Organisation, name) {
            Some(Object::Organisation(organisation)) => Some(organisation),
            _ => None,
        }
    }

    /// All backend servers, sorted by name.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.objects.values().filter_map(|o| match o.as_ref() {
            Object::BackendServer(server) => Some(server),
            _ => None,
        })
    }

    /// All classes, sorted by name.
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

    /// The differences that `edits` would make; edits without effect are left out.
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

    /// The current object of each edit; `None` if it doesn't exist.
    #[must_use]
    pub fn previous_objects(&self, edits: &[Edit]) -> Vec<Option<Object>> {
        let objects = edits.iter().map(|e| self.objects.get(&e.key()));
        objects.map(|o| o.map(|o| o.as_ref().clone())).collect()
    }

    /// The catalogue after `change`, which must have the next number.
    ///
    /// # Errors
    /// `change_refused` with the reason if the number isn't the next or the result would be
    /// invalid.
    pub fn apply(&self, change: &Change) -> Result<Self, Fault> {
        let next = self.replay(change)?;
        next.validate(self)?;
        Ok(next)
    }

    /// The catalogue after a change that was accepted earlier, so that it isn't validated again.
    ///
    /// # Errors
    /// `change_refused` if the number isn't the next.
    pub fn replay(&self, change: &Change) -> Result<Self, Fault> {
        if change.number != self.number + 1 {
            return Err(change_refused(format!(
                "change {} does not directly follow change {}",
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
                self.organisations_by_key
                    .insert(hash.clone(), organisation.name.clone());
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
                self.organisations_by_key.remove(hash);
            }
        }
    }

    fn validate(&self, previous: &Self) -> Result<(), Fault> {
        self.objects
            .values()
            .try_for_each(|o| self.check_object(o))?;
        self.check_levels()?;
        self.check_keys()?;
        self.check_pools(previous)
    }

    fn check_object(&self, object: &Object) -> Result<(), Fault> {
        let key = object.key();
        check_range(&key, "name (length)", key.name.len() as u64, 1, 128)?;
        match object {
            Object::Tier(_) => Ok(()),
            Object::Class(class) => self.check_class(&key, class),
            Object::Organisation(organisation) => self.check_organisation(&key, organisation),
            Object::BackendServer(server) => check_server(&key, server),
        }
    }

    fn check_class(&self, key: &ObjectKey, class: &Class) -> Result<(), Fault> {
        if self.tier(&class.tier).is_none() {
            return Err(change_refused(format!(
                "{key} refers to the unknown tier {}",
                class.tier
            )));
        }
        check_range(key, "starvation_ms", class.starvation_ms, 100, 86_400_000)?;
        check_range(key, "wait_ms", class.wait_ms, 100, 86_400_000)
    }

    fn check_organisation(
        &self,
        key: &ObjectKey,
        organisation: &Organisation,
    ) -> Result<(), Fault> {
        check_range(key, "share", organisation.share.into(), 1, 1_000)?;
        check_range(
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
            return Err(change_refused(format!(
                "{key} refers to the unknown class {class}"
            )));
        }
        let default = organisation.default_class.iter();
        let unlisted = default.clone().find(|d| !organisation.classes.contains(d));
        if let Some(class) = unlisted {
            return Err(change_refused(format!(
                "{key}: default_class {class} is not one of its classes"
            )));
        }
        organisation
            .key_hashes
            .iter()
            .try_for_each(|h| check_range(key, "key_hashes (length)", h.len() as u64, 64, 64))
    }

    fn check_levels(&self) -> Result<(), Fault> {
        let mut levels: HashMap<Level, &SmolStr> = HashMap::new();
        for object in self.objects.values() {
            let Object::Tier(tier) = object.as_ref() else {
                continue;
            };
            if let Some(other) = levels.insert(tier.level, &tier.name) {
                return Err(change_refused(format!(
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
                    return Err(change_refused(format!(
                        "organisations {owner} and {} share a key",
                        organisation.name
                    )));
                }
            }
        }
        Ok(())
    }

    /// Rejects a change after which a pool has no available backend server any more.
    fn check_pools(&self, previous: &Self) -> Result<(), Fault> {
        let available = |c: &Self| -> std::collections::BTreeSet<SmolStr> {
            c.servers()
                .filter(|s| !s.leaving)
                .map(BackendServer::pool)
                .collect()
        };
        match available(previous).difference(&available(self)).next() {
            Some(pool) => Err(change_refused(format!(
                "pool {pool} would lose its last available backend server"
            ))),
            None => Ok(()),
        }
    }
}

fn check_server(key: &ObjectKey, server: &BackendServer) -> Result<(), Fault> {
    if server.model.is_some() == server.service.is_some() {
        return Err(change_refused(format!(
            "{key} must have exactly one of model and service"
        )));
    }
    check_range(key, "slots", server.slots.into(), 1, 4_096)
}

fn check_range(key: &ObjectKey, field: &str, value: u64, min: u64, max: u64) -> Result<(), Fault> {
    if value < min || value > max {
        return Err(change_refused(format!(
            "{key}: {field} = {value} is outside the allowed range {min} to {max}"
        )));
    }
    Ok(())
}

fn change_refused(message: String) -> Fault {
    Fault::new(Kind::ChangeRefused, message)
}
