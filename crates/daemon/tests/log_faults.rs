//! The stand-in of the log over HTTP goes wrong in each way that the platform's does,
//! whole or for single partitions, and the client tells the ways apart.

use fieldhook_daemon::platform::log_store::HttpLog;
use fieldhook_emulator::faults::FaultPlan;
use fieldhook_http::HttpClient;
use fieldhook_log::api::{Append, Appended, KeyedRecord, LogStore, Partition, StoreError};
use ntex::http::Method;
use std::net::TcpListener;
use std::time::Duration;
use tokio::time::sleep;

const TOPIC: &str = "keyed.work";
const LIMIT: Duration = Duration::from_millis(150);

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

    async fn set(&self, plan: FaultPlan) {
        let url = format!("http://{}/control/faults", self.address);
        let body = serde_json::to_vec(&plan).expect("a plan");
        let reply = self
            .client
            .fetch(Method::POST, &url, &[], body, Duration::from_secs(2))
            .await;
        assert!(reply.is_ok_and(|reply| reply.status == 200));
    }

    async fn append(&self, partition: u32, key: &str) -> Result<Appended, StoreError> {
        let append = Append {
            partition: place(partition),
            records: vec![KeyedRecord {
                key: key.as_bytes().to_vec(),
                value: b"value".to_vec(),
            }],
            producer: None,
            expected_end: None,
            timeout: LIMIT,
        };
        self.store.append(append).await
    }

    async fn end(&self, partition: u32) -> Result<u64, StoreError> {
        let page = self.store.newest(place(partition), None, LIMIT).await?;
        Ok(page.end)
    }
}

fn place(number: u32) -> Partition {
    Partition {
        topic: TOPIC.to_owned(),
        number,
    }
}

fn run<F: Future<Output = ()> + 'static>(test: F) {
    ntex::rt::System::new("log-faults", ntex::rt::DefaultRuntime).block_on(test);
}

#[test]
fn each_way_of_failing_is_told_and_has_no_effect() {
    run(async {
        let log = Log::start().await;
        let ways = [
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
        for (plan, expected) in ways {
            log.set(plan.clone()).await;
            assert_eq!(log.append(0, "k").await, Err(expected), "{plan:?}");
        }
        log.set(FaultPlan::default()).await;
        assert_eq!(log.end(0).await, Ok(0));
    });
}

#[test]
fn a_fault_of_one_partition_leaves_the_others_alone() {
    run(async {
        let log = Log::start().await;
        let plan = FaultPlan {
            busy: true,
            partitions: vec![1],
            ..FaultPlan::default()
        };
        log.set(plan).await;
        assert_eq!(log.append(1, "k").await, Err(StoreError::NotDone));
        assert!(log.append(0, "k").await.is_ok());
    });
}

#[test]
fn an_append_may_be_done_long_after_its_caller_gave_up() {
    run(async {
        let log = Log::start().await;
        let plan = FaultPlan {
            late_ms: 300,
            ..FaultPlan::default()
        };
        log.set(plan).await;
        assert_eq!(log.append(0, "late").await, Err(StoreError::Unknown));
        assert_eq!(log.end(0).await, Ok(0));
        sleep(Duration::from_millis(400)).await;
        assert_eq!(log.end(0).await, Ok(1));
    });
}

#[test]
fn a_forgotten_history_leaves_the_newest_of_each_key() {
    run(async {
        let log = Log::start().await;
        log.append(0, "k").await.expect("appended");
        let plan = FaultPlan {
            forget: true,
            ..FaultPlan::default()
        };
        log.set(plan).await;
        assert_eq!(log.end(0).await, Ok(1));
        let read = log.store.read(place(0), 0, Duration::ZERO, LIMIT).await;
        assert_eq!(read, Err(StoreError::Gone(1)));
        let page = log
            .store
            .newest(place(0), None, LIMIT)
            .await
            .expect("a page");
        assert_eq!(page.records.len(), 1);
    });
}
