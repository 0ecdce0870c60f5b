//! Which instances callers are told of.

use std::cmp::Reverse;

use crate::fleet::membership::InstanceRecord;
use crate::rendezvous;

/// Instances in one answer at most, so that an answer stays small.
pub const MAX_INSTANCES: usize = 64;
/// Instances of the answering one's own data centre, where others could fill the rest.
const NEAR: usize = MAX_INSTANCES * 3 / 4;

/// Chooses among the instances that take work, as the one with the facts `own` tells callers of them:
/// those in its own data centre first, and some of the others, so that callers can turn to them when the
/// data centre is lost. Where there are too many, each instance leaves out different ones, so that none
/// is left out by all.
#[must_use]
pub fn select(alive: Vec<InstanceRecord>, own: &InstanceRecord) -> Vec<InstanceRecord> {
    let seed = rendezvous::hash(own.id.as_bytes());
    let (mut near, mut far): (Vec<InstanceRecord>, Vec<InstanceRecord>) = alive
        .into_iter()
        .partition(|f| f.data_centre == own.data_centre);
    for part in [&mut near, &mut far] {
        part.sort_by_key(|f| Reverse(rendezvous::weight(seed, &f.id)));
    }
    near.truncate(NEAR.max(MAX_INSTANCES.saturating_sub(far.len())));
    far.truncate(MAX_INSTANCES - near.len());
    near.append(&mut far);
    near
}
