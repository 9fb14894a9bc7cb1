//! Following a topic: what an answer confirms.

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

/// A quiet log that answers at once, except that the process is stopped while the answer
/// of its second call lies there.
#[derive(Default)]
struct Stopping {
    waits: RefCell<Vec<Duration>>,
}

impl LogStore for Stopping {
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
fn an_answer_that_lay_there_during_a_stop_confirms_nothing() {
    let system = ntex::rt::System::new("follow-tests", ntex::rt::DefaultRuntime);
    system.block_on(async {
        let store = Rc::new(Stopping::default());
        let partition = Partition {
            topic: "topic".to_owned(),
            number: 0,
        };
        let health = Rc::new(LogHealth::default());
        // Calls made when something was confirmed.
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
        assert_eq!(updates.get(), 1, "the listing alone");
        let confirmed = confirmed.borrow();
        assert_eq!(confirmed[..3], [0, 1, 3], "not by the second read");
        let waits = store.waits.borrow();
        assert_eq!(waits[..4], [WAIT, WAIT, Duration::ZERO, WAIT]);
    });
}
