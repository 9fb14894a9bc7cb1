//! Releasing partitions in a planned stop, so that nothing is uncertain for their next owners. See
//! docs/PLATFORM.md, "Budget and history".

use super::held::HeldPartition;
use super::owner::Owner;
use futures_util::future::join_all;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a planned stop waits for the last appends of a partition that is no longer served.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Owner {
    /// Releases all partitions, so that other daemons can claim them at once.
    pub async fn release(self: &Rc<Self>) {
        self.claims.stop_claiming();
        let partitions: Vec<u32> = self.held.borrow().keys().copied().collect();
        join_all(
            partitions
                .into_iter()
                .map(|number| self.release_partition(number)),
        )
        .await;
    }

    /// Releases a partition once everything that it granted is durable. This daemon serves the
    /// partition until a first append is durable, however long that takes: while the log is down,
    /// no other daemon could take it over. It then waits for a second append for at most
    /// [`HANDOVER_TIMEOUT`].
    async fn release_partition(&self, partition: u32) {
        self.append_handover(partition).await;
        self.stop_serving(partition);
        // Records what was granted in the meantime.
        let handover = timeout(HANDOVER_TIMEOUT, self.append_handover(partition)).await;
        let uncertainty_ms = handover.ok().flatten();
        let released = self.claims.release(partition, uncertainty_ms).await;
        if released.is_ok() {
            tracing::info!(
                event = "partition_released",
                partition,
                settled_doubt_ms = uncertainty_ms
            );
        }
        self.drop_partition(partition, None);
    }

    /// Appends the program records that the next owner of a partition needs; see
    /// `ServedPartition::append_handover`. Returns `None` if this owner was fenced or the partition
    /// is not loaded.
    fn append_handover(&self, partition: u32) -> impl Future<Output = Option<u64>> + use<> {
        let handover = match self.held.borrow().get(&partition) {
            Some(HeldPartition::Serving(served) | HeldPartition::Releasing(served)) => {
                Some(served.append_handover())
            }
            _ => None,
        };
        async move { handover?.await.ok()? }
    }

    /// Stops answering requests for a partition; it only waits for its last appends.
    fn stop_serving(&self, partition: u32) {
        let mut held = self.held.borrow_mut();
        if let Some(HeldPartition::Serving(served)) = held.remove(&partition) {
            held.insert(partition, HeldPartition::Releasing(served));
        }
    }
}
