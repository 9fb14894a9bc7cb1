//! When a follower reports that it has caught up.

use fieldhook_log::api::{
    Append, Appended, LogStore, NewestPage, Partition, ReadBatch, StoreError, Trim,
};
use fieldhook_log::follow::Follower;
use fieldhook_log::log_health::LogHealth;
use futures_util::future::LocalBoxFuture;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const WAIT: Duration = Duration::from_millis(50);

/// A log without new records that answers at once, except that the process is stopped while the
/// answer to the second call is in the receive buffer.
#[derive(Default)]
struct PausingLog {
    waits: RefCell<Vec<Duration>>,
}

impl LogStore for PausingLog {
    fn append(&self, _: Append) -> LocalBoxFuture<'_, Result<Appended, StoreError>> {
        Box::pin(async { Err(StoreError::NotDone) })
    }

    fn read(
        &self,
        _: Partition,
        from: u64,
        wait: Duration,
        limit: Duration,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>> {
        Box::pin(async move {
            self.waits.borrow_mut().push(wait);
            let calls = self.waits.borrow().len();
            match calls {
                2 => std::thread::sleep(limit + Duration::from_millis(50)),
                _ => tokio::time::sleep(wait.min(WAIT)).await,
            }
            Ok(ReadBatch {
                end: from,
                records: Vec::new(),
                next: from,
                age_ms: 0,
            })
        })
    }

    fn newest(
        &self,
        _: Partition,
        _: Option<Vec<u8>>,
        _: Duration,
    ) -> LocalBoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(async { Ok(NewestPage::default()) })
    }

    fn trim(&self, _: Trim) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Err(StoreError::NotDone) })
    }
}

#[test]
fn answer_buffered_while_the_process_was_stopped_does_not_confirm() {
    let system = ntex::rt::System::new("follow-tests", ntex::rt::DefaultRuntime);
    system.block_on(async {
        let store = Rc::new(PausingLog::default());
        let partition = Partition {
            topic: "topic".to_owned(),
            number: 0,
        };
        let health = Rc::new(LogHealth::default());
        // Number of calls made at the time of each report.
        let confirmed = Rc::new(RefCell::new(Vec::new()));
        let (calls, seen) = (store.clone(), confirmed.clone());
        let mut follower = Follower::new(store.clone(), health, partition, WAIT).on_caught_up(
            Box::new(move |_| seen.borrow_mut().push(calls.waits.borrow().len())),
        );
        let updates = Cell::new(0);
        let follow = async {
            loop {
                follower.next_update().await;
                updates.set(updates.get() + 1);
            }
        };
        let _ = timeout(Duration::from_millis(1_100), follow).await;
        assert_eq!(updates.get(), 1, "only the listing");
        let confirmed = confirmed.borrow();
        assert_eq!(
            confirmed[..3],
            [0, 1, 3],
            "confirmed after the listing and after reads 1 and 3, but not by the late answer to 2"
        );
        let waits = store.waits.borrow();
        assert_eq!(waits[..4], [WAIT, WAIT, Duration::ZERO, WAIT]);
    });
}
