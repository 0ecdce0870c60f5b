//! Passes requests for counts and their replies on over the links of this instance.

use super::Duty;
use super::poll::{Destination, InstanceCounts, Poll};
use crate::fleet::frame::Frame;
use crate::fleet::membership::InstanceId;
use crate::node::Node;

/// Passes a request on and replies to it, unless it was seen before. `from` is the instance that it came from, `None`
/// if this instance makes it.
pub fn receive(node: &Node, poll: &Poll, from: Option<&InstanceId>) {
    let Some(duties) = &node.duties else { return };
    let Some(state) = duties.get(poll.duty) else {
        return;
    };
    if !state.polls.hear(poll, from) {
        return;
    }
    let frame = Frame::PollDuty(poll.clone());
    node.links.broadcast(&frame, from.map(InstanceId::as_str));
    if let Some(reply) = duties.reply(poll) {
        pass_on(node, reply);
    }
}

/// Passes the counts of an instance on towards the holder.
pub fn pass_on(node: &Node, counts: InstanceCounts) {
    let duties = node.duties.as_ref();
    let Some(state) = duties.and_then(|d| d.get(Duty::UsageReports)) else {
        return;
    };
    match state.polls.destination(&counts) {
        Destination::Peer(peer) => node.links.send(&peer, Frame::DutyCounts(counts)),
        Destination::Own => state.polls.deliver(counts),
        Destination::Unknown => {}
    }
}
