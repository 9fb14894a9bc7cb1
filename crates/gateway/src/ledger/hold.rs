//! A partition from its claim to its loss: read, served, given up.

use super::load::{Load, Loaded};
use super::owned::Owned;
use super::owner::Owner;
use crate::daemon::unix_ms;
use fieldhook_ledger::partition::Partition;
use fieldhook_log::api::StoreError;
use fieldhook_log::appender::{AppendEnd, Appender};
use fieldhook_log::ownership::PreviousOwner;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const LOAD_PAUSE: Duration = Duration::from_millis(30);

/// What this daemon does with a partition.
pub(super) enum Hold {
    /// Claimed with this epoch, and not read yet.
    Loading(u64),
    /// Read, and served from memory.
    Serving(Owned),
    /// About to be given up: asked now, others would have to ask again.
    Releasing(Owned),
}

impl Hold {
    /// Epoch of its claim.
    pub(super) fn epoch(&self) -> u64 {
        match self {
            Self::Loading(epoch) => *epoch,
            Self::Serving(owned) | Self::Releasing(owned) => owned.epoch,
        }
    }
}

/// Reads a claimed partition; `None` once it is another's.
async fn read(owner: &Owner, partition: u32, epoch: u64) -> Option<Loaded> {
    let claim = owner.claims.claim(partition);
    let state = match claim.map_or(PreviousOwner::Lost, |claim| claim.previous_owner) {
        PreviousOwner::None => Partition::default(),
        PreviousOwner::Settled { doubt_ms } => Partition::after_handover(unix_ms(), doubt_ms),
        PreviousOwner::Lost => Partition::after_loss(unix_ms(), owner.doubt_after_loss_ms()),
    };
    let mut load = Load::new(owner.place(partition), epoch, state);
    loop {
        match read_on(owner, partition, epoch, &mut load).await {
            Ok(loaded) => return loaded,
            Err(error) => {
                tracing::info!(event = "load_delayed", partition, epoch, %error);
                sleep(LOAD_PAUSE).await;
            }
        }
    }
}

/// Reads on until a step fails; `None` once the partition is another's. Partitions that are read
/// at once would share this machine's link, so one at a time is read. One that fails lets the
/// next go first: the log may serve that, and would keep its programs waiting for nothing.
async fn read_on(
    owner: &Owner,
    partition: u32,
    epoch: u64,
    load: &mut Load,
) -> Result<Option<Loaded>, StoreError> {
    let _turn = owner.reading.lock().await;
    while owner.is_loading(partition) {
        match load.step(owner.store.as_ref()).await {
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

/// Reads a claimed partition and serves it until it is lost.
pub(super) async fn hold(owner: Rc<Owner>, partition: u32, epoch: u64) {
    let started = Instant::now();
    let Some(loaded) = read(&owner, partition, epoch).await else {
        return;
    };
    let state = Rc::new(RefCell::new(loaded.state));
    let appender = Rc::new(Appender::new(
        owner.place(partition),
        epoch,
        owner.store.clone(),
        owner.log_health.clone(),
    ));
    let current =
        matches!(owner.held.borrow().get(&partition), Some(Hold::Loading(now)) if *now == epoch);
    if !current {
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
    let owned = Owned {
        epoch,
        state: state.clone(),
        appender: appender.clone(),
        assigner: owner.assigner.clone(),
    };
    owned.claim_part();
    owner
        .held
        .borrow_mut()
        .insert(partition, Hold::Serving(owned));
    owner.note_held(&owner.held.borrow());
    owner.claims.changed.notify_waiters();
    appender.trimmer.inherit_history(loaded.end);
    let end = tokio::select! {
        end = appender.run(|took| owner.metrics.append_seconds.observe(took.as_secs_f64())) => end,
        never = appender.trimmer.run() => match never {},
    };
    tracing::info!(event = "partition_given_up", partition, epoch, cause = ?end);
    owner.drop_partition(partition, Some(epoch));
    if end == AppendEnd::Fenced {
        // There is a newer owner: until it is known, its turns could not be served here.
        let _ = owner.claims.refresh().await;
    }
}
