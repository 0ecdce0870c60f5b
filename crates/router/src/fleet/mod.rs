//! What instances tell each other: who there is, which keys are claimed, what each asks of the others.

pub mod advertisement;
pub mod claims;
pub mod frame;
pub mod leaving_servers;
pub mod link;
pub mod links;
pub mod membership;

pub use links::{desired_links, is_watcher};
