//! Taking a partition over.

use super::appender::LEDGER_TOPIC;
use super::owner::Owner;
use super::ownership::{OWNERS_TOPIC, Ownership};
use crate::store::api::{Append, Partition, StoreError};
use std::rc::Rc;
use std::time::Duration;

const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Claims of other partitions move the end of the topic; this many are followed.
const MOST_ROUNDS: u32 = 8;

/// Why a partition was not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// Another daemon took it first.
    Overtaken,
    /// The daemon is about to stop, or does not know the claims yet.
    NotNow,
    /// The log service did not do it.
    Store(StoreOutcome),
}

/// What the log service said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It did not append.
    NotDone,
    /// It did not answer.
    Unknown,
}

impl std::fmt::Display for StoreOutcome {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotDone => write!(formatter, "the claim was not appended"),
            Self::Unknown => write!(formatter, "the claim has no answer"),
        }
    }
}

fn outcome(error: &StoreError) -> ClaimError {
    match error {
        StoreError::Unknown => ClaimError::Store(StoreOutcome::Unknown),
        _ => ClaimError::Store(StoreOutcome::NotDone),
    }
}

/// Claims a partition for this daemon, unless its claim is no longer that of
/// `suspected_epoch`.
///
/// # Errors
/// Another daemon was first, or the log service did not do it.
pub async fn take_over(
    owner: &Rc<Owner>,
    partition: u32,
    suspected_epoch: Option<u64>,
) -> Result<(), ClaimError> {
    for _ in 0..MOST_ROUNDS {
        if owner.is_released() || !owner.ownership.borrow().is_known() {
            return Err(ClaimError::NotNow);
        }
        let current = owner.ownership.borrow().claim(partition);
        let current_epoch = current.map(|claim| claim.epoch);
        if suspected_epoch.is_some() && current_epoch != suspected_epoch {
            return Err(ClaimError::Overtaken);
        }
        if current.is_some_and(|claim| owner.is_mine(&claim) && claim.address.is_some()) {
            return Err(ClaimError::Overtaken);
        }
        match append(owner, partition, Some(owner.address)).await {
            Ok(()) => {
                tracing::info!(event = "partition_claimed", partition, topic = LEDGER_TOPIC,
                    former = ?current.and_then(|claim| claim.address), former_epoch = current_epoch);
                return Ok(());
            }
            Err(StoreError::Moved(end)) => catch_up(owner, end).await?,
            Err(error) => return Err(outcome(&error)),
        }
        if suspected_epoch.is_none()
            && owner
                .ownership
                .borrow()
                .claim(partition)
                .map(|claim| claim.epoch)
                != current_epoch
        {
            return Err(ClaimError::Overtaken);
        }
    }
    Err(ClaimError::Store(StoreOutcome::NotDone))
}

/// Appends a claim, or a release where there is no address, if the topic ends where
/// this daemon read it to.
///
/// # Errors
/// As the log service says.
pub async fn append(
    owner: &Rc<Owner>,
    partition: u32,
    address: Option<std::net::SocketAddr>,
) -> Result<(), StoreError> {
    let record = Ownership::record(partition, address, owner.incarnation);
    let end = owner.ownership.borrow().end();
    let append = Append {
        partition: Partition {
            topic: OWNERS_TOPIC.to_owned(),
            number: 0,
        },
        records: vec![record.clone()],
        producer: None,
        expected_end: Some(end),
        timeout: CLAIM_TIMEOUT,
    };
    let appended = owner.store.append(append).await?;
    owner.ownership.borrow_mut().take(appended.offset, &record);
    owner.act_on_claim(partition);
    Ok(())
}

/// Reads the claims up to an end that the log service told.
async fn catch_up(owner: &Rc<Owner>, end: u64) -> Result<(), ClaimError> {
    let from = owner.ownership.borrow().end();
    if from >= end {
        return Ok(());
    }
    let place = Partition {
        topic: OWNERS_TOPIC.to_owned(),
        number: 0,
    };
    let batch = owner
        .store
        .read(place, from, Duration::ZERO, CATCH_UP_TIMEOUT)
        .await
        .map_err(|error| outcome(&error))?;
    let changed: Vec<u32> = {
        let mut ownership = owner.ownership.borrow_mut();
        let changed = batch
            .records
            .iter()
            .filter_map(|(offset, record)| ownership.take(*offset, record))
            .collect();
        ownership.read_to(batch.next);
        changed
    };
    for partition in changed {
        owner.act_on_claim(partition);
    }
    Ok(())
}
