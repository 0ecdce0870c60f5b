//! The example deployments that the bench runs: their declarations from `examples/` and their traffic.

use jackdawtally::object::{self, BackendServer, Class, Declarations, Level, Organisation};
use smol_str::SmolStr;

/// The target of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model, with a streamed response.
    Stream(&'static str),
    /// A model, with the complete response in one body.
    NonStreaming(&'static str),
    /// A generic service.
    Service(&'static str),
}

impl Target {
    /// Returns the name of the pool of backend servers that serves it.
    #[must_use]
    pub fn pool(self) -> SmolStr {
        match self {
            Self::Stream(model) | Self::NonStreaming(model) => object::model_pool(model),
            Self::Service(service) => object::service_pool(service),
        }
    }
}

/// The traffic of one class to one target.
#[derive(Clone, Copy, Debug)]
pub struct ClassTraffic {
    /// Name of the class.
    pub class: &'static str,
    /// Target of the requests.
    pub target: Target,
    /// Share of the capacity of the pool that it uses at load 1.
    pub share: f64,
    /// Shortest and longest response, in tokens; for a service, in steps.
    pub length: (u64, u64),
}

const FAIR: &[ClassTraffic] = &[
    ClassTraffic {
        class: "steward-query",
        target: Target::Stream("intake"),
        share: 0.06,
        length: (10, 40),
    },
    ClassTraffic {
        class: "kiosk-lookup",
        target: Target::Stream("intake"),
        share: 0.10,
        length: (15, 60),
    },
    ClassTraffic {
        class: "entry-intake",
        target: Target::Stream("intake"),
        share: 0.12,
        length: (30, 90),
    },
    ClassTraffic {
        class: "pedigree-review",
        target: Target::Stream("intake"),
        share: 0.32,
        length: (100, 400),
    },
    ClassTraffic {
        class: "produce-catalogue",
        target: Target::NonStreaming("intake"),
        share: 0.40,
        length: (80, 300),
    },
    ClassTraffic {
        class: "steward-query",
        target: Target::Stream("records"),
        share: 0.06,
        length: (10, 40),
    },
    ClassTraffic {
        class: "kiosk-lookup",
        target: Target::NonStreaming("records"),
        share: 0.10,
        length: (15, 60),
    },
    ClassTraffic {
        class: "pedigree-review",
        target: Target::Stream("records"),
        share: 0.40,
        length: (100, 400),
    },
    ClassTraffic {
        class: "produce-catalogue",
        target: Target::NonStreaming("records"),
        share: 0.44,
        length: (80, 300),
    },
    ClassTraffic {
        class: "ring-seat",
        target: Target::Service("registry"),
        share: 0.10,
        length: (4, 20),
    },
];

const PAUTA: &[ClassTraffic] = &[
    ClassTraffic {
        class: "cue-sheet",
        target: Target::Stream("console"),
        share: 0.12,
        length: (15, 40),
    },
    ClassTraffic {
        class: "schedule-query",
        target: Target::Stream("console"),
        share: 0.20,
        length: (30, 90),
    },
    ClassTraffic {
        class: "affidavit-reconciliation",
        target: Target::NonStreaming("console"),
        share: 0.68,
        length: (100, 300),
    },
    ClassTraffic {
        class: "cue-sheet",
        target: Target::NonStreaming("pauta"),
        share: 0.03,
        length: (15, 40),
    },
    ClassTraffic {
        class: "billing-entry",
        target: Target::Stream("pauta"),
        share: 0.07,
        length: (30, 80),
    },
    ClassTraffic {
        class: "affidavit-reconciliation",
        target: Target::Stream("pauta"),
        share: 0.30,
        length: (100, 300),
    },
    ClassTraffic {
        class: "pauta-draft",
        target: Target::Stream("pauta"),
        share: 0.60,
        length: (200, 600),
    },
    ClassTraffic {
        class: "invoice-post",
        target: Target::Service("ledger"),
        share: 0.10,
        length: (4, 20),
    },
];

/// An example deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Declarations of its classes, organisations and backend servers.
    pub declarations: Declarations,
    /// Traffic of its classes.
    pub traffic: &'static [ClassTraffic],
    /// Duration of one step of its simulated servers, in ms.
    pub step_ms: u64,
}

impl Deployment {
    /// Returns the deployment with that name.
    ///
    /// # Errors
    /// If there is none, or its declarations can't be parsed.
    pub fn named(name: &str) -> Result<Self, String> {
        let (name, text, traffic, step_ms) = match name {
            "fair" => ("fair", include_str!("../../../examples/fair.toml"), FAIR, 8),
            "pauta" => (
                "pauta",
                include_str!("../../../examples/pauta.toml"),
                PAUTA,
                12,
            ),
            other => {
                return Err(format!(
                    "unknown deployment {other}; known deployments are fair and pauta"
                ));
            }
        };
        Ok(Self {
            name,
            declarations: Declarations::parse(text)?,
            traffic,
            step_ms,
        })
    }

    /// Returns the class with that name.
    ///
    /// # Panics
    /// If it is not declared.
    #[must_use]
    pub fn class(&self, name: &str) -> &Class {
        let mut classes = self.declarations.class.iter();
        classes
            .find(|c| c.name == name)
            .expect("the class is declared")
    }

    /// Returns the priority level of a class, or the lowest priority if its tier is not declared.
    #[must_use]
    pub fn level(&self, class: &str) -> Level {
        let tier = &self.class(class).tier;
        let mut tiers = self.declarations.tier.iter();
        tiers
            .find(|t| t.name == *tier)
            .map_or(Level::MAX, |t| t.level)
    }

    /// Returns the organisations that may use a class.
    #[must_use]
    pub fn organisations(&self, class: &str) -> Vec<&Organisation> {
        let all = self.declarations.organisation.iter();
        all.filter(|o| o.classes.iter().any(|c| c == class))
            .collect()
    }

    /// Returns the backend servers of a pool.
    #[must_use]
    pub fn servers(&self, pool: &str) -> Vec<&BackendServer> {
        let all = self.declarations.backend_server.iter();
        all.filter(|s| s.pool() == pool).collect()
    }

    /// Returns the names of the data centres, sorted and without duplicates.
    #[must_use]
    pub fn data_centres(&self) -> Vec<SmolStr> {
        let mut names: Vec<_> = self
            .declarations
            .backend_server
            .iter()
            .map(|s| s.data_centre.clone())
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// Returns the capacity of a pool, in steps per second over all its slots.
    #[must_use]
    pub fn capacity(&self, pool: &str) -> f64 {
        let slots: u32 = self.servers(pool).iter().map(|s| s.slots).sum();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let step = self.step_ms as f64 / 1_000.0;
        f64::from(slots) / step
    }
}

/// Returns the API key of an organisation of the example deployments.
#[must_use]
pub fn api_key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

/// Operator token of the example deployments.
pub const OPERATOR_TOKEN: &str = "demo-operator";
