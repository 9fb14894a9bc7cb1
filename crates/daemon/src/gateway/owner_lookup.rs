//! Where the owner of a shard is.

use crate::node::Node;
use crate::shard::owner_of;
use fieldhook_model::address::Address;
use fieldhook_model::ids::ShardId;
use std::rc::Rc;

/// Where to ask for a shard's owner: the newest claim known here says so.
pub struct OwnerLookup {
    node: Rc<Node>,
    shard: ShardId,
}

impl OwnerLookup {
    /// Starts from what this daemon knows.
    pub fn new(node: Rc<Node>, shard: ShardId) -> Self {
        Self { node, shard }
    }

    /// Whom to ask next.
    pub fn current_owner(&self) -> Option<Address> {
        let claim = self.node.claims.claim(u32::from(self.shard))?;
        owner_of(&claim).map(|owner| owner.address)
    }
}
