//! gRPC API for operators.

use std::sync::Arc;
use std::time::Duration;

use jackdawtally_schema::operators as schema;
use jackdawtally_schema::operators::operators_server::Operators;
use smol_str::SmolStr;
use tokio::time::Instant;
use tonic::{Request, Response, Status};

use crate::adapters::callers;
use crate::config::catalogue::Difference;
use crate::config::changelog::Proposal;
use crate::config::object::{self, Declarations, Edit, Object, ObjectKey, ObjectKind};
use crate::error::{Fault, Kind};
use crate::node::Node;

/// Maximum size of the declarations in one call.
const MAX_DECLARATIONS_BYTES: usize = 900_000;
/// Upper bound on the time that an Apply call waits for the other instances.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Interval at which an Apply call checks which instances have applied its change.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of changes that one Audit call returns.
const MAX_AUDIT_CHANGES: u32 = 1_000;

/// The gRPC service for operators of one instance.
pub struct Service(Arc<Node>);

impl Service {
    /// Creates the service for `node`.
    #[must_use]
    pub const fn new(node: Arc<Node>) -> Self {
        Self(node)
    }

    /// Authenticates the calling operator by its bearer token and returns its name.
    fn authenticate<T>(&self, request: &Request<T>) -> Result<SmolStr, Status> {
        let token = request
            .metadata()
            .get("authorization")
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.strip_prefix("Bearer "))
            .map(object::key_hash);
        let hashes = &self.0.settings.operators.token_hashes;
        let known = hashes
            .iter()
            .find(|(_, hash)| Some(*hash) == token.as_ref());
        known.map(|(name, _)| name.clone()).ok_or_else(|| {
            status(&Fault::new(
                Kind::Unauthorized,
                "missing or invalid operator token",
            ))
        })
    }

    /// Parses declarations into edits. With `prune`, objects that they don't contain are deleted.
    fn edits(&self, text: &str, prune: bool) -> Result<Vec<Edit>, Fault> {
        if text.len() > MAX_DECLARATIONS_BYTES {
            let message =
                format!("the declarations are larger than {MAX_DECLARATIONS_BYTES} bytes");
            return Err(Fault::new(Kind::ChangeRefused, message));
        }
        let declarations =
            Declarations::parse(text).map_err(|e| Fault::new(Kind::ChangeRefused, e))?;
        let objects = declarations.objects();
        let mut keys: Vec<ObjectKey> = objects.iter().map(Object::key).collect();
        keys.sort();
        if let Some([key, _]) = keys.array_windows().find(|[a, b]| a == b) {
            let message = format!("{key} is declared more than once");
            return Err(Fault::new(Kind::ChangeRefused, message));
        }
        let mut edits: Vec<Edit> = objects.into_iter().map(Edit::Put).collect();
        if prune {
            let catalogue = self.0.changelog.catalogue();
            let present = catalogue.objects().map(|o| o.key());
            let undeclared = present.filter(|key| keys.binary_search(key).is_err());
            edits.extend(undeclared.map(Edit::Delete));
        }
        Ok(edits)
    }

    /// Waits until the change `number` is in effect on every running instance, at most for `wait`. Returns the
    /// names of the instances that have applied it and of those that haven't.
    async fn wait_in_effect(&self, number: u64, wait: Duration) -> (Vec<String>, Vec<String>) {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        loop {
            let running = self.0.membership.running();
            let (applied, lagging): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|f| f.config >= number);
            if lagging.is_empty() || Instant::now() >= deadline {
                let names = |all: Vec<crate::fleet::membership::InstanceRecord>| {
                    all.into_iter().map(|f| f.id.to_string()).collect()
                };
                return (names(applied), names(lagging));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Converts an error into a gRPC status, with the name of its kind under `kind` in the metadata.
fn status(fault: &Fault) -> Status {
    let code = match fault.kind {
        Kind::Unauthorized => tonic::Code::Unauthenticated,
        Kind::ChangeRefused | Kind::BadRequest => tonic::Code::FailedPrecondition,
        Kind::UnknownObject => tonic::Code::NotFound,
        Kind::PlatformUnavailable => tonic::Code::Unavailable,
        Kind::OutcomeUnknown => tonic::Code::Unknown,
        _ => tonic::Code::Internal,
    };
    let mut status = Status::new(code, fault.message.clone());
    if let Ok(value) = fault.kind.spec().name.parse() {
        status.metadata_mut().insert("kind", value);
    }
    status
}

fn json(object: Option<&Arc<Object>>) -> String {
    object
        .and_then(|o| serde_json::to_string(o.as_ref()).ok())
        .unwrap_or_default()
}

fn difference(difference: &Difference) -> schema::Difference {
    schema::Difference {
        object: difference.key.to_string(),
        before: json(difference.before.as_ref()),
        after: json(difference.after.as_ref()),
    }
}

fn parse_kind(word: &str) -> Result<ObjectKind, Fault> {
    let kinds = [
        ObjectKind::Tier,
        ObjectKind::Class,
        ObjectKind::Organisation,
        ObjectKind::BackendServer,
    ];
    kinds
        .into_iter()
        .find(|s| s.as_str() == word)
        .ok_or_else(|| {
            let message = format!(
                "unknown kind {word}; expected tier, class, organisation or backend_server"
            );
            Fault::new(Kind::UnknownObject, message)
        })
}

fn parse_key(text: &str) -> Result<ObjectKey, Fault> {
    let (kind, name) = text.split_once('/').ok_or_else(|| {
        Fault::new(
            Kind::UnknownObject,
            format!("{text} is not of the form KIND/NAME"),
        )
    })?;
    Ok(ObjectKey {
        kind: parse_kind(kind)?,
        name: name.into(),
    })
}

fn unavailable(error: &crate::platform::Error) -> Status {
    status(&Fault::new(Kind::PlatformUnavailable, error.to_string()))
}

#[tonic::async_trait]
impl Operators for Service {
    async fn apply(
        &self,
        request: Request<schema::ApplyRequest>,
    ) -> Result<Response<schema::ApplyReply>, Status> {
        let operator = self.authenticate(&request)?;
        let request = request.into_inner();
        let edits = self
            .edits(&request.declarations, request.prune)
            .map_err(|f| status(&f))?;
        let differences = self.0.changelog.plan(&edits);
        let id = match request.change_id.as_str() {
            "" => uuid::Uuid::new_v4().to_string().into(),
            id => SmolStr::from(id),
        };
        let proposal = Proposal {
            id,
            operator: operator.clone(),
            edits,
        };
        let number = self
            .0
            .changelog
            .propose(&proposal)
            .await
            .map_err(|f| status(&f))?;
        log::info!(
            "change={number} operator={operator} edits={}",
            differences.len()
        );
        let wait = Duration::from_millis(request.wait_ms.into());
        let (in_force, lagging) = self.wait_in_effect(number, wait).await;
        Ok(Response::new(schema::ApplyReply {
            number,
            differences: differences.iter().map(difference).collect(),
            in_force,
            lagging,
        }))
    }

    async fn plan(
        &self,
        request: Request<schema::PlanRequest>,
    ) -> Result<Response<schema::PlanReply>, Status> {
        let operator = self.authenticate(&request)?;
        let request = request.into_inner();
        let edits = self
            .edits(&request.declarations, request.prune)
            .map_err(|f| status(&f))?;
        let catalogue = self.0.changelog.catalogue();
        let differences = catalogue.plan(&edits);
        let preview = object::Change {
            number: catalogue.number() + 1,
            id: SmolStr::default(),
            operator,
            at_ms: 0,
            before: Vec::new(),
            edits,
        };
        catalogue.apply(&preview).map_err(|f| status(&f))?;
        Ok(Response::new(schema::PlanReply {
            number: catalogue.number(),
            differences: differences.iter().map(difference).collect(),
        }))
    }

    async fn get(
        &self,
        request: Request<schema::GetRequest>,
    ) -> Result<Response<schema::GetReply>, Status> {
        self.authenticate(&request)?;
        let key = parse_key(&request.into_inner().object).map_err(|f| status(&f))?;
        let catalogue = self.0.changelog.catalogue();
        let object = catalogue.get(&key).ok_or_else(|| {
            status(&Fault::new(
                Kind::UnknownObject,
                format!("{key} does not exist"),
            ))
        })?;
        Ok(Response::new(schema::GetReply {
            object: json(Some(object)),
            number: catalogue.number(),
        }))
    }

    async fn list(
        &self,
        request: Request<schema::ListRequest>,
    ) -> Result<Response<schema::ListReply>, Status> {
        self.authenticate(&request)?;
        let word = request.into_inner().kind;
        let kind = match word.as_str() {
            "" => None,
            word => Some(parse_kind(word).map_err(|f| status(&f))?),
        };
        let catalogue = self.0.changelog.catalogue();
        let selected = catalogue
            .objects()
            .filter(|o| kind.is_none_or(|s| o.key().kind == s));
        Ok(Response::new(schema::ListReply {
            objects: selected.map(|o| json(Some(o))).collect(),
            number: catalogue.number(),
        }))
    }

    async fn status(
        &self,
        request: Request<schema::StatusRequest>,
    ) -> Result<Response<schema::StatusReply>, Status> {
        self.authenticate(&request)?;
        Ok(Response::new(status_reply(&self.0)))
    }

    async fn drain(
        &self,
        request: Request<schema::DrainRequest>,
    ) -> Result<Response<schema::DrainReply>, Status> {
        let operator = self.authenticate(&request)?;
        log::info!("drain=asked operator={operator}");
        self.0.drain_requested.notify_one();
        Ok(Response::new(schema::DrainReply {
            requests: self.0.requests.count() as u64,
        }))
    }

    async fn audit(
        &self,
        request: Request<schema::AuditRequest>,
    ) -> Result<Response<schema::AuditReply>, Status> {
        self.authenticate(&request)?;
        let request = request.into_inner();
        let limit = request.limit.clamp(1, MAX_AUDIT_CHANGES) as usize;
        let changes = self.0.changelog.audit(request.from, limit).await;
        let changes = changes.map_err(|e| unavailable(&e))?;
        Ok(Response::new(schema::AuditReply {
            entries: audit_entries(&changes),
        }))
    }

    async fn entries(
        &self,
        request: Request<schema::EntriesRequest>,
    ) -> Result<Response<schema::EntriesReply>, Status> {
        self.authenticate(&request)?;
        Ok(Response::new(schema::EntriesReply {
            entries: callers::entries_json(&self.0).to_string(),
        }))
    }
}

/// Converts changes into audit entries that hold each object before and after the change.
fn audit_entries(changes: &[object::Change]) -> Vec<schema::AuditEntry> {
    let entries = changes.iter().map(|change| {
        let before = change
            .before
            .iter()
            .map(Option::as_ref)
            .chain(std::iter::repeat(None));
        let edits = change.edits.iter().zip(before);
        schema::AuditEntry {
            number: change.number,
            change_id: change.id.to_string(),
            operator: change.operator.to_string(),
            at_ms: change.at_ms,
            differences: edits
                .map(|(edit, before)| edit_difference(edit, before))
                .collect(),
        }
    });
    entries.collect()
}

fn edit_difference(edit: &Edit, before: Option<&Object>) -> schema::Difference {
    let json = |o: &Object| serde_json::to_string(o).unwrap_or_default();
    let after = match edit {
        Edit::Put(object) => json(object),
        Edit::Delete(_) => String::new(),
    };
    schema::Difference {
        object: edit.key().to_string(),
        before: before.map(json).unwrap_or_default(),
        after,
    }
}

fn status_reply(node: &Arc<Node>) -> schema::StatusReply {
    let instances = node.membership.all().into_iter().map(|f| schema::Instance {
        id: f.id.to_string(),
        state: f.state.as_str().into(),
        data_centre: f.data_centre.to_string(),
        callers: f.callers.to_string(),
        operators: f.operators.to_string(),
        number: f.config,
    });
    let pools = node.pools.all().into_iter().map(|pool| {
        let stats = pool.stats();
        schema::Pool {
            name: pool.name().to_string(),
            waiting: stats.waiting as u64,
            in_flight: stats.in_flight as u64,
            servers: stats.servers as u64,
            open: stats.available as u64,
        }
    });
    let counters = node.metrics.totals().into_iter();
    schema::StatusReply {
        instance: node.settings.instance.to_string(),
        number: node.changelog.catalogue().number(),
        platform_age_ms: node.platform_age_ms(),
        requests: node.requests.count() as u64,
        instances: instances.collect(),
        pools: pools.collect(),
        counters: counters.map(|(name, n)| (name.to_owned(), n)).collect(),
        links: u32::try_from(node.links.count()).unwrap_or(u32::MAX),
    }
}
