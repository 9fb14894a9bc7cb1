//! Looks up the owner of a shard.

use crate::node::Node;
use crate::shard::owner_of;
use fieldhook_model::address::Address;
use fieldhook_model::ids::ShardId;
use std::rc::Rc;

/// Looks up the owner of a shard in the claims known to this daemon.
pub struct OwnerLookup {
    node: Rc<Node>,
    shard: ShardId,
}

impl OwnerLookup {
    /// Creates a lookup for a shard.
    pub fn new(node: Rc<Node>, shard: ShardId) -> Self {
        Self { node, shard }
    }

    /// Returns the address of the owner according to the newest known claim.
    pub fn current_owner(&self) -> Option<Address> {
        let claim = self.node.claims.claim(u32::from(self.shard))?;
        owner_of(&claim).map(|owner| owner.address)
    }
}
