//! Restricts the partitions that a daemon may own.

use crate::ownership::Claim;
use std::cell::RefCell;
use std::rc::Rc;

/// Decides for a partition and its current claim whether this daemon may claim it.
pub type Predicate = Rc<dyn Fn(u32, Option<&Claim>) -> bool>;

/// Optional restriction of the partitions that this daemon may own; without one, all are allowed.
#[derive(Default)]
pub struct Eligibility {
    predicate: RefCell<Option<Predicate>>,
}

impl Eligibility {
    /// Sets the predicate that decides.
    pub fn set(&self, predicate: Predicate) {
        *self.predicate.borrow_mut() = Some(predicate);
    }

    /// Whether this daemon may claim a partition whose current claim is `claim`.
    pub fn allows(&self, partition: u32, claim: Option<&Claim>) -> bool {
        let predicate = self.predicate.borrow().clone();
        predicate.is_none_or(|predicate| predicate(partition, claim))
    }
}
