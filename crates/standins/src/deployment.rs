//! The users' deployments as the bench runs them: the declarations under `examples/`, and their traffic.

use jackdawtally::object::{self, BackendServer, Class, Declarations, Level, Organisation};
use smol_str::SmolStr;

/// What a class asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model, token by token.
    Stream(&'static str),
    /// A model, in one piece.
    NonStreaming(&'static str),
    /// A plain service.
    Service(&'static str),
}

impl Target {
    /// The pool that serves it.
    #[must_use]
    pub fn pool(self) -> SmolStr {
        match self {
            Self::Stream(model) | Self::NonStreaming(model) => object::model_pool(model),
            Self::Service(service) => object::service_pool(service),
        }
    }
}

/// A class's part in the traffic.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// The class.
    pub class: &'static str,
    /// What it asks for.
    pub target: Target,
    /// Its share of its pool's capacity at load 1.
    pub share: f64,
    /// Shortest and longest answer, in tokens or steps.
    pub length: (u64, u64),
}

const FAIR: &[Mix] = &[
    Mix {
        class: "steward-query",
        target: Target::Stream("intake"),
        share: 0.06,
        length: (10, 40),
    },
    Mix {
        class: "kiosk-lookup",
        target: Target::Stream("intake"),
        share: 0.10,
        length: (15, 60),
    },
    Mix {
        class: "entry-intake",
        target: Target::Stream("intake"),
        share: 0.12,
        length: (30, 90),
    },
    Mix {
        class: "pedigree-review",
        target: Target::Stream("intake"),
        share: 0.32,
        length: (100, 400),
    },
    Mix {
        class: "produce-catalogue",
        target: Target::NonStreaming("intake"),
        share: 0.40,
        length: (80, 300),
    },
    Mix {
        class: "steward-query",
        target: Target::Stream("records"),
        share: 0.06,
        length: (10, 40),
    },
    Mix {
        class: "kiosk-lookup",
        target: Target::NonStreaming("records"),
        share: 0.10,
        length: (15, 60),
    },
    Mix {
        class: "pedigree-review",
        target: Target::Stream("records"),
        share: 0.40,
        length: (100, 400),
    },
    Mix {
        class: "produce-catalogue",
        target: Target::NonStreaming("records"),
        share: 0.44,
        length: (80, 300),
    },
    Mix {
        class: "ring-seat",
        target: Target::Service("registry"),
        share: 0.10,
        length: (4, 20),
    },
];

const PAUTA: &[Mix] = &[
    Mix {
        class: "cue-sheet",
        target: Target::Stream("console"),
        share: 0.12,
        length: (15, 40),
    },
    Mix {
        class: "schedule-query",
        target: Target::Stream("console"),
        share: 0.20,
        length: (30, 90),
    },
    Mix {
        class: "affidavit-reconciliation",
        target: Target::NonStreaming("console"),
        share: 0.68,
        length: (100, 300),
    },
    Mix {
        class: "cue-sheet",
        target: Target::NonStreaming("pauta"),
        share: 0.03,
        length: (15, 40),
    },
    Mix {
        class: "billing-entry",
        target: Target::Stream("pauta"),
        share: 0.07,
        length: (30, 80),
    },
    Mix {
        class: "affidavit-reconciliation",
        target: Target::Stream("pauta"),
        share: 0.30,
        length: (100, 300),
    },
    Mix {
        class: "pauta-draft",
        target: Target::Stream("pauta"),
        share: 0.60,
        length: (200, 600),
    },
    Mix {
        class: "invoice-post",
        target: Target::Service("ledger"),
        share: 0.10,
        length: (4, 20),
    },
];

/// A user's deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its declarations.
    pub declarations: Declarations,
    /// Its traffic.
    pub mix: &'static [Mix],
    /// Time of one step of its engines, in ms.
    pub step_ms: u64,
}

impl Deployment {
    /// The deployment of that name.
    ///
    /// # Errors
    /// When there is none, or its declarations can't be read.
    pub fn named(name: &str) -> Result<Self, String> {
        let (name, text, mix, step_ms) = match name {
            "fair" => ("fair", include_str!("../../../examples/fair.toml"), FAIR, 8),
            "pauta" => (
                "pauta",
                include_str!("../../../examples/pauta.toml"),
                PAUTA,
                12,
            ),
            other => {
                return Err(format!(
                    "there is no deployment {other}; fair and pauta are"
                ));
            }
        };
        Ok(Self {
            name,
            declarations: Declarations::parse(text)?,
            mix,
            step_ms,
        })
    }

    /// A class.
    ///
    /// # Panics
    /// When the declarations don't have it.
    #[must_use]
    pub fn class(&self, name: &str) -> &Class {
        let mut classes = self.declarations.class.iter();
        classes.find(|c| c.name == name).expect("a declared class")
    }

    /// The level of a class.
    #[must_use]
    pub fn level(&self, class: &str) -> Level {
        let tier = &self.class(class).tier;
        let mut tiers = self.declarations.tier.iter();
        tiers
            .find(|t| t.name == *tier)
            .map_or(Level::MAX, |t| t.level)
    }

    /// The organisations that may use a class.
    #[must_use]
    pub fn organisations(&self, class: &str) -> Vec<&Organisation> {
        let all = self.declarations.organisation.iter();
        all.filter(|o| o.classes.iter().any(|c| c == class))
            .collect()
    }

    /// The backend servers of a pool.
    #[must_use]
    pub fn servers(&self, pool: &str) -> Vec<&BackendServer> {
        let all = self.declarations.backend_server.iter();
        all.filter(|s| s.pool() == pool).collect()
    }

    /// The data centres, each once.
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

    /// Steps per second of a pool's slots together.
    #[must_use]
    pub fn rate(&self, pool: &str) -> f64 {
        let slots: u32 = self.servers(pool).iter().map(|s| s.slots).sum();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let step = self.step_ms as f64 / 1_000.0;
        f64::from(slots) / step
    }
}

/// The key of an organisation of the examples.
#[must_use]
pub fn key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

/// The operator's token of the examples.
pub const OPERATOR_TOKEN: &str = "demo-operator";
