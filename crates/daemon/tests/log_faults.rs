//! Faults of the emulated log service, for all or for single partitions, and how the HTTP client
//! reports them.

use fieldhook_daemon::platform::log_store::HttpLog;
use fieldhook_emulator::faults::FaultPlan;
use fieldhook_http::HttpClient;
use fieldhook_log::api::{Append, Appended, KeyedRecord, LogStore, Partition, StoreError};
use ntex::http::Method;
use std::net::TcpListener;
use std::time::Duration;
use tokio::time::sleep;

const TOPIC: &str = "keyed.work";
const TIMEOUT: Duration = Duration::from_millis(150);

/// Emulated log service and a client for it.
struct Log {
    address: String,
    client: HttpClient,
    store: HttpLog,
}

impl Log {
    async fn start() -> Self {
        let port = TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .expect("a free port")
            .port();
        let address = format!("127.0.0.1:{port}");
        let served = address.clone();
        ntex::rt::spawn(async move { fieldhook_emulator::log::run(&served).await });
        let client = HttpClient::new().await;
        let store = HttpLog::new(&address, client.clone(), Default::default());
        let log = Self {
            address,
            client,
            store,
        };
        while log.append(9, "start").await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
        log
    }

    async fn set_faults(&self, plan: FaultPlan) {
        let url = format!("http://{}/control/faults", self.address);
        let body = serde_json::to_vec(&plan).expect("a plan");
        let response = self
            .client
            .fetch(Method::POST, &url, &[], body, Duration::from_secs(2))
            .await;
        assert!(response.is_ok_and(|response| response.status == 200));
    }

    async fn append(&self, partition: u32, key: &str) -> Result<Appended, StoreError> {
        let append = Append {
            partition: log_partition(partition),
            records: vec![KeyedRecord {
                key: key.as_bytes().to_vec(),
                value: b"value".to_vec(),
            }],
            producer: None,
            expected_end: None,
            timeout: TIMEOUT,
        };
        self.store.append(append).await
    }

    async fn end(&self, partition: u32) -> Result<u64, StoreError> {
        let page = self
            .store
            .newest(log_partition(partition), None, TIMEOUT)
            .await?;
        Ok(page.end)
    }
}

fn log_partition(number: u32) -> Partition {
    Partition {
        topic: TOPIC.to_owned(),
        number,
    }
}

fn run<F: Future<Output = ()> + 'static>(test: F) {
    ntex::rt::System::new("log-faults", ntex::rt::DefaultRuntime).block_on(test);
}

/// `NotDone` must mean that the append had no effect, and `Unknown` that it may have had one: only
/// after the latter must a retry guard against appending twice.
#[test]
fn faults_are_reported_and_append_nothing() {
    run(async {
        let log = Log::start().await;
        let faults = [
            (
                FaultPlan {
                    down: true,
                    ..FaultPlan::default()
                },
                StoreError::NotDone,
            ),
            (
                FaultPlan {
                    busy: true,
                    ..FaultPlan::default()
                },
                StoreError::NotDone,
            ),
            (
                FaultPlan {
                    reset: true,
                    ..FaultPlan::default()
                },
                StoreError::Unknown,
            ),
            (
                FaultPlan {
                    silent: true,
                    ..FaultPlan::default()
                },
                StoreError::Unknown,
            ),
        ];
        for (plan, expected) in faults {
            log.set_faults(plan.clone()).await;
            assert_eq!(log.append(0, "k").await, Err(expected), "{plan:?}");
        }
        log.set_faults(FaultPlan::default()).await;
        assert_eq!(log.end(0).await, Ok(0));
    });
}

#[test]
fn fault_of_a_partition_does_not_affect_others() {
    run(async {
        let log = Log::start().await;
        let plan = FaultPlan {
            busy: true,
            partitions: vec![1],
            ..FaultPlan::default()
        };
        log.set_faults(plan).await;
        assert_eq!(log.append(1, "k").await, Err(StoreError::NotDone));
        assert!(log.append(0, "k").await.is_ok());
    });
}

#[test]
fn append_can_take_effect_after_its_timeout() {
    run(async {
        let log = Log::start().await;
        let plan = FaultPlan {
            late_ms: 300,
            ..FaultPlan::default()
        };
        log.set_faults(plan).await;
        assert_eq!(log.append(0, "late").await, Err(StoreError::Unknown));
        assert_eq!(log.end(0).await, Ok(0));
        sleep(Duration::from_millis(400)).await;
        assert_eq!(log.end(0).await, Ok(1));
    });
}

#[test]
fn truncated_history_keeps_the_newest_record_of_each_key() {
    run(async {
        let log = Log::start().await;
        log.append(0, "k").await.expect("appended");
        let plan = FaultPlan {
            forget: true,
            ..FaultPlan::default()
        };
        log.set_faults(plan).await;
        assert_eq!(log.end(0).await, Ok(1));
        let read = log
            .store
            .read(log_partition(0), 0, Duration::ZERO, TIMEOUT)
            .await;
        assert_eq!(read, Err(StoreError::Gone(1)));
        let page = log
            .store
            .newest(log_partition(0), None, TIMEOUT)
            .await
            .expect("a page");
        assert_eq!(page.records.len(), 1);
    });
}
