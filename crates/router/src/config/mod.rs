//! The declared configuration: its objects, the catalogue of the current ones, and the change log.

pub mod catalogue;
pub mod changelog;
pub mod object;
