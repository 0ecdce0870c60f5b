//! Selection of the router instances that are advertised to callers.

use std::cmp::Reverse;

use crate::fleet::membership::InstanceRecord;
use crate::rendezvous;

/// Maximum number of instances in one response, which bounds its size.
pub const MAX_INSTANCES: usize = 64;
/// Maximum number of instances from the responding instance's own data centre when instances of
/// other data centres can fill the remainder.
const MAX_LOCAL: usize = MAX_INSTANCES * 3 / 4;

/// Selects at most [`MAX_INSTANCES`] of the `alive` instances for a response from the instance
/// `own`.
///
/// Instances of its own data centre come first, followed by some from other data centres, so that
/// callers can fail over when the data centre is lost. When the list is truncated, each responding
/// instance omits different instances, so that none is omitted by all.
#[must_use]
pub fn select(alive: Vec<InstanceRecord>, own: &InstanceRecord) -> Vec<InstanceRecord> {
    let seed = rendezvous::hash(own.id.as_bytes());
    let (mut local, mut remote): (Vec<InstanceRecord>, Vec<InstanceRecord>) = alive
        .into_iter()
        .partition(|r| r.data_centre == own.data_centre);
    for part in [&mut local, &mut remote] {
        part.sort_by_key(|r| Reverse(rendezvous::weight(seed, &r.id)));
    }
    local.truncate(MAX_LOCAL.max(MAX_INSTANCES.saturating_sub(remote.len())));
    remote.truncate(MAX_INSTANCES - local.len());
    local.append(&mut remote);
    local
}
