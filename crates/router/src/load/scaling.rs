//! How many backend servers of a pool each data centre should have, decided from the demand of the whole fleet.

use smol_str::SmolStr;

/// An order for servers of one kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Name of the pool.
    pub pool: SmolStr,
    /// Name of the data centre.
    pub data_centre: SmolStr,
    /// Whether servers are meant that the platform may take back at short notice.
    pub spot: bool,
    /// Number of such servers that the data centre should have.
    pub count: u32,
}
