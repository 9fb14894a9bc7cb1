//! Life cycle of a partition that this daemon holds: loaded after its claim, served, released.

use super::load::{LoadedPartition, PartitionLoader};
use super::owner::Owner;
use super::served::ServedPartition;
use crate::daemon::unix_ms;
use fieldhook_ledger::partition::Partition;
use fieldhook_log::api::StoreError;
use fieldhook_log::appender::{AppendEnd, Appender};
use fieldhook_log::ownership::PreviousOwner;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause before a failed load is continued.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// A partition that this daemon holds, by stage.
pub(super) enum HeldPartition {
    /// Claimed with this epoch, and not loaded yet.
    Loading(u64),
    /// Loaded, and served from memory.
    Serving(ServedPartition),
    /// Waiting for its last appends before it is released. Requests are answered with
    /// `Unavailable`, and the sender has to repeat them.
    Releasing(ServedPartition),
}

impl HeldPartition {
    /// Returns the epoch of the claim by which the partition is held.
    pub(super) fn epoch(&self) -> u64 {
        match self {
            Self::Loading(epoch) => *epoch,
            Self::Serving(served) | Self::Releasing(served) => served.epoch,
        }
    }
}

/// Loads a claimed partition; returns `None` once another daemon owns it.
async fn load(owner: &Owner, partition: u32, epoch: u64) -> Option<LoadedPartition> {
    let claim = owner.claims.claim(partition);
    let state = match claim.map_or(PreviousOwner::Lost, |claim| claim.previous_owner) {
        PreviousOwner::None => Partition::first(unix_ms()),
        PreviousOwner::HandedOver { uncertainty_ms } => {
            Partition::after_handover(unix_ms(), uncertainty_ms)
        }
        PreviousOwner::Lost => Partition::after_loss(unix_ms(), owner.uncertainty_after_loss_ms()),
    };
    let mut loader = PartitionLoader::new(owner.log_partition(partition), epoch, state);
    loop {
        match load_until_error(owner, partition, epoch, &mut loader).await {
            Ok(loaded) => return loaded,
            Err(error) => {
                tracing::info!(event = "load_delayed", partition, epoch, %error);
                sleep(LOAD_RETRY_PAUSE).await;
            }
        }
    }
}

/// Continues a load until a step fails; returns `None` once another daemon owns the partition.
/// One partition is loaded at a time, because parallel loads would share the bandwidth of this
/// machine. A load that fails lets the next partition go first: the log may be able to serve
/// that one, whose programs would otherwise wait needlessly.
async fn load_until_error(
    owner: &Owner,
    partition: u32,
    epoch: u64,
    loader: &mut PartitionLoader,
) -> Result<Option<LoadedPartition>, StoreError> {
    let _guard = owner.load_lock.lock().await;
    while owner.is_loading(partition) {
        match loader.step(owner.store.as_ref()).await {
            Ok(Some(loaded)) => return Ok(Some(loaded)),
            Ok(None) => {}
            Err(StoreError::Fenced) => {
                owner.drop_partition(partition, Some(epoch));
                return Ok(None);
            }
            Err(error) => return Err(error),
        }
    }
    Ok(None)
}

/// Loads a claimed partition and serves it until it is lost or released.
pub(super) async fn load_and_serve(owner: Rc<Owner>, partition: u32, epoch: u64) {
    let started = Instant::now();
    let Some(loaded) = load(&owner, partition, epoch).await else {
        return;
    };
    let state = Rc::new(RefCell::new(loaded.state));
    let appender = Rc::new(Appender::new(
        owner.log_partition(partition),
        epoch,
        owner.store.clone(),
        owner.log_health.clone(),
    ));
    let is_current = matches!(
        owner.held.borrow().get(&partition),
        Some(HeldPartition::Loading(now)) if *now == epoch
    );
    if !is_current {
        return;
    }
    tracing::info!(
        event = "partition_owned",
        partition,
        epoch,
        turns = state.borrow().turn_count(),
        programs = state.borrow().program_count(),
        doubt_ms = state.borrow().uncertainty_ms(unix_ms()),
        took_ms = started.elapsed().as_millis() as u64,
    );
    let served = ServedPartition {
        epoch,
        state: state.clone(),
        appender: appender.clone(),
        assigner: owner.assigner.clone(),
        log_health: owner.log_health.clone(),
        known_crashes: owner.known_crashes.clone(),
        followers: owner.followers.clone(),
    };
    served.append_unrecorded_share();
    owner
        .held
        .borrow_mut()
        .insert(partition, HeldPartition::Serving(served));
    owner.publish_held(&owner.held.borrow());
    owner.claims.changed.notify_waiters();
    appender.trimmer.inherit_history(loaded.end);
    let end = tokio::select! {
        end = appender.run(|took| owner.metrics.append_seconds.observe(took.as_secs_f64())) => end,
        never = appender.trimmer.run() => match never {},
    };
    tracing::info!(event = "partition_given_up", partition, epoch, cause = ?end);
    owner.drop_partition(partition, Some(epoch));
    if end == AppendEnd::Fenced {
        // Another daemon owns the partition: requests can be forwarded only once it is known.
        let _ = owner.claims.refresh().await;
    }
}
