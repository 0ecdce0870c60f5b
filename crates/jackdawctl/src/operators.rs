//! The commands that call the operators' service of an instance, and the offline check of a
//! configuration file.

use std::process::ExitCode;
use std::time::Duration;

use jackdawtally::catalogue::Catalogue;
use jackdawtally::object::{Change, Declarations, Edit};
use jackdawtally_schema::operators as schema;
use jackdawtally_schema::operators::operators_client::OperatorsClient;
use serde_json::json;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status};

use crate::cli::{self, Check, Command};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

struct Client {
    service: OperatorsClient<Channel>,
    token: String,
}

/// Runs one command against the instance whose operators' service listens on `server`.
pub async fn run(server: &str, token: &str, command: Command) -> ExitCode {
    let result = match connect(server, token).await {
        Ok(client) => client.run(command).await,
        Err(status) => Err(status),
    };
    match result {
        Ok(code) => code,
        Err(status) => {
            let kind = status.metadata().get("kind").and_then(|k| k.to_str().ok());
            eprintln!(
                "jackdawctl: {}: {}",
                kind.unwrap_or("error"),
                status.message()
            );
            match status.code() {
                Code::Unavailable if kind.is_none() => ExitCode::from(cli::UNREACHABLE),
                _ => ExitCode::from(cli::REFUSED),
            }
        }
    }
}

/// Validates a configuration file offline, as a change to an empty configuration.
pub fn check(options: &Check) -> ExitCode {
    let text = match std::fs::read_to_string(&options.file) {
        Ok(text) => text,
        Err(error) => return cli::fail(&format!("{}: {error}", options.file.display())),
    };
    let declarations = match Declarations::parse(&text) {
        Ok(declarations) => declarations,
        Err(error) => return cli::fail(&format!("{}: {error}", options.file.display())),
    };
    let change = Change {
        number: 1,
        id: "check".into(),
        operator: "check".into(),
        at_ms: 0,
        edits: declarations.objects().into_iter().map(Edit::Put).collect(),
        before: Vec::new(),
    };
    match Catalogue::default().apply(&change) {
        Ok(catalogue) => {
            println!(
                "{}: valid, {} objects",
                options.file.display(),
                catalogue.objects().count()
            );
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("jackdawctl: {}: {error}", options.file.display());
            ExitCode::from(cli::REFUSED)
        }
    }
}

async fn connect(server: &str, token: &str) -> Result<Client, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{server}"))
        .map_err(|e| Status::unavailable(format!("invalid server address {server}: {e}")))?
        .connect_timeout(CONNECT_TIMEOUT);
    let channel = endpoint
        .connect()
        .await
        .map_err(|e| Status::unavailable(format!("can't connect to {server}: {e}")))?;
    Ok(Client {
        service: OperatorsClient::new(channel),
        token: token.to_owned(),
    })
}

fn read_file(file: &std::path::Path) -> Result<String, Status> {
    std::fs::read_to_string(file)
        .map_err(|e| Status::invalid_argument(format!("{}: {e}", file.display())))
}

impl Client {
    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Ok(value) = format!("Bearer {}", self.token).parse() {
            request.metadata_mut().insert("authorization", value);
        }
        request
    }

    async fn run(mut self, command: Command) -> Result<ExitCode, Status> {
        match command {
            Command::Apply(options) => return self.apply(&options).await,
            Command::Plan(options) => {
                let request = self.request(schema::PlanRequest {
                    declarations: read_file(&options.file)?,
                    prune: options.prune,
                });
                let reply = self.service.plan(request).await?.into_inner();
                print_differences(reply.number, &reply.differences, options.json);
            }
            Command::Get(options) => self.get(&options.object).await?,
            Command::Status(options) => self.status(options.json).await?,
            Command::Drain(_) => {
                let request = self.request(schema::DrainRequest {});
                let reply = self.service.drain(request).await?.into_inner();
                println!("draining; {} requests in flight", reply.requests);
            }
            Command::Audit(options) => {
                let request = self.request(schema::AuditRequest {
                    from: options.from,
                    limit: options.limit,
                });
                let reply = self.service.audit(request).await?.into_inner();
                print_audit(&reply.entries, options.json);
            }
            Command::Entries(_) => {
                let request = self.request(schema::EntriesRequest {});
                println!(
                    "{}",
                    self.service.entries(request).await?.into_inner().entries
                );
            }
            Command::Check(_)
            | Command::Explain(_)
            | Command::Demo(_)
            | Command::Bench(_)
            | Command::StandIn(_) => {}
        }
        Ok(ExitCode::SUCCESS)
    }

    async fn apply(&mut self, options: &cli::Apply) -> Result<ExitCode, Status> {
        let request = self.request(schema::ApplyRequest {
            declarations: read_file(&options.file)?,
            prune: options.prune,
            change_id: options.change_id.clone(),
            wait_ms: options.wait_ms,
        });
        let reply = self.service.apply(request).await?.into_inner();
        if options.json {
            println!(
                "{}",
                json!({
                    "number": reply.number,
                    "objects": reply.differences.iter().map(|d| &d.object).collect::<Vec<_>>(),
                    "in_force": reply.in_force,
                    "lagging": reply.lagging,
                })
            );
        } else {
            print_differences(reply.number, &reply.differences, false);
            println!("in force at: {}", reply.in_force.join(" "));
            if !reply.lagging.is_empty() {
                println!("not yet at: {}", reply.lagging.join(" "));
            }
        }
        if reply.lagging.is_empty() {
            Ok(ExitCode::SUCCESS)
        } else {
            Ok(ExitCode::from(cli::REFUSED))
        }
    }

    async fn get(&mut self, object: &str) -> Result<(), Status> {
        if object.contains('/') {
            let request = self.request(schema::GetRequest {
                object: object.into(),
            });
            println!("{}", self.service.get(request).await?.into_inner().object);
            return Ok(());
        }
        let request = self.request(schema::ListRequest {
            kind: object.into(),
        });
        for object in self.service.list(request).await?.into_inner().objects {
            println!("{object}");
        }
        Ok(())
    }

    async fn status(&mut self, as_json: bool) -> Result<(), Status> {
        let request = self.request(schema::StatusRequest {});
        let reply = self.service.status(request).await?.into_inner();
        if as_json {
            println!("{}", status_json(&reply));
            return Ok(());
        }
        println!(
            "{}: configuration {}, platform heard {} ms ago, {} requests, {} links",
            reply.instance, reply.number, reply.platform_age_ms, reply.requests, reply.links
        );
        println!(
            "{:<16}{:<10}{:<16}{:<24}{:>8}",
            "instance", "state", "data centre", "callers", "config"
        );
        for i in &reply.instances {
            println!(
                "{:<16}{:<10}{:<16}{:<24}{:>8}",
                i.id, i.state, i.data_centre, i.callers, i.number
            );
        }
        println!(
            "{:<28}{:>9}{:>11}{:>9}{:>6}",
            "pool", "waiting", "in flight", "servers", "open"
        );
        for p in &reply.pools {
            println!(
                "{:<28}{:>9}{:>11}{:>9}{:>6}",
                p.name, p.waiting, p.in_flight, p.servers, p.open
            );
        }
        Ok(())
    }
}

fn status_json(reply: &schema::StatusReply) -> serde_json::Value {
    let instances = reply.instances.iter().map(|i| {
        json!({
            "id": i.id, "state": i.state, "data_centre": i.data_centre,
            "callers": i.callers, "operators": i.operators, "number": i.number,
        })
    });
    let pools = reply.pools.iter().map(|p| {
        json!({
            "name": p.name, "waiting": p.waiting, "in_flight": p.in_flight,
            "servers": p.servers, "open": p.open,
        })
    });
    json!({
        "instance": reply.instance,
        "number": reply.number,
        "platform_age_ms": reply.platform_age_ms,
        "requests": reply.requests,
        "links": reply.links,
        "instances": instances.collect::<Vec<_>>(),
        "pools": pools.collect::<Vec<_>>(),
        "counters": reply.counters,
    })
}

fn print_differences(number: u64, differences: &[schema::Difference], as_json: bool) {
    if as_json {
        println!(
            "{}",
            json!({"number": number, "differences": differences_json(differences)})
        );
        return;
    }
    println!(
        "configuration {number}, {} objects differ",
        differences.len()
    );
    for d in differences {
        let sign = match (d.before.is_empty(), d.after.is_empty()) {
            (true, _) => '+',
            (false, true) => '-',
            (false, false) => '~',
        };
        println!("{sign} {}", d.object);
    }
}

fn differences_json(differences: &[schema::Difference]) -> Vec<serde_json::Value> {
    let differences = differences.iter();
    differences
        .map(|d| json!({"object": d.object, "before": d.before, "after": d.after}))
        .collect()
}

fn print_audit(entries: &[schema::AuditEntry], as_json: bool) {
    for e in entries {
        if as_json {
            println!(
                "{}",
                json!({
                    "number": e.number, "change_id": e.change_id, "operator": e.operator,
                    "at_ms": e.at_ms, "differences": differences_json(&e.differences),
                })
            );
        } else {
            println!(
                "{:>6}  {}  {:<16}{} ({} objects)",
                e.number,
                e.at_ms,
                e.operator,
                e.change_id,
                e.differences.len()
            );
        }
    }
}
