//! Giving partitions up in order, so that their next owners have nothing to doubt. See
//! docs/PLATFORM.md, "Budget and history".

use super::hold::Hold;
use super::owner::Owner;
use futures_util::future::join_all;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a planned stop waits for the last appends of a partition that it serves no more.
const SETTLE_LIMIT: Duration = Duration::from_millis(1_500);

impl Owner {
    /// Gives all partitions up, so that others may take them at once.
    pub async fn release(self: &Rc<Self>) {
        self.claims.stop_claiming();
        let partitions: Vec<u32> = self.held.borrow().keys().copied().collect();
        join_all(partitions.into_iter().map(|number| self.give_up(number))).await;
    }

    /// Gives a partition up once all that it granted is durable. Until then it is served
    /// here: while the log is away, nobody else could take it.
    async fn give_up(&self, partition: u32) {
        self.settle(partition).await;
        self.stop_serving(partition);
        // What was granted meanwhile.
        let settled = timeout(SETTLE_LIMIT, self.settle(partition)).await;
        let settled_doubt_ms = settled.ok().flatten();
        let released = self.claims.release(partition, settled_doubt_ms).await;
        if released.is_ok() {
            tracing::info!(event = "partition_released", partition, settled_doubt_ms);
        }
        self.drop_partition(partition, None);
    }

    /// Appends what a partition's next owner could not know otherwise. Tells, once that
    /// and all before is durable, how long that owner has to doubt what owners before this
    /// one left unsaid; `None` if another owner is in force.
    fn settle(&self, partition: u32) -> impl Future<Output = Option<u64>> + use<> {
        let settled = match self.held.borrow().get(&partition) {
            Some(Hold::Serving(owned) | Hold::Releasing(owned)) => Some(owned.settle()),
            _ => None,
        };
        async move { settled?.await.ok()? }
    }

    /// From now on a partition only waits for its last appends.
    fn stop_serving(&self, partition: u32) {
        let mut held = self.held.borrow_mut();
        if let Some(Hold::Serving(owned)) = held.remove(&partition) {
            held.insert(partition, Hold::Releasing(owned));
        }
    }
}
