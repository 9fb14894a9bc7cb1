//! Turns that end after the chain that they continue has expired. The chain is stored again with
//! such a turn, since a turn that was answered completely is kept together with its chain.

use crate::support::{Act, Gateway, Server, World, config, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::ledger::owner::{HOME_TOPIC, LEDGER_TOPIC};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::Partition;
use fieldhook_ledger::partition_of;
use fieldhook_ledger::record::{Record, TurnRecord};
use fieldhook_log::api::Partition as LogPartition;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Map;
use fieldhook_traffic::config::TrafficConfig;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

const PARTITIONS: u32 = 2;
const TIMEOUT_MS: u64 = 12_000;
const RETENTION_MS: u64 = 60_000;
/// How long an owner stores a turn with that retention, in milliseconds.
const STORED_MS: u64 = RETENTION_MS + 15_000;
/// Time from the start of a test until a turn expires, in milliseconds.
const EXPIRES_AFTER_MS: u64 = 8_000;
/// Time from the start of a test until owners have deleted that turn: they look for expired turns
/// every 5 s.
const DELETED_AFTER: Duration = Duration::from_millis(11_000);
/// Time until all partitions have owners.
const OWNERS_SETTLED: Duration = Duration::from_millis(2_500);
/// Pause before each event of a stream.
const PAUSE: Duration = Duration::from_millis(150);

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("after 1970").as_millis() as u64
}

fn name(turn: &str) -> QualifiedName {
    QualifiedName::new(None, turn)
}

fn single_event() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

/// A stream that takes `time` in steps of [`PAUSE`].
fn stream_of(time: Duration) -> Act {
    let count = time.as_millis() / PAUSE.as_millis();
    Act::Paced(
        (0..count).map(|number| format!("w{number}")).collect(),
        PAUSE,
    )
}

/// Contents that [`stream_of`] adds to a chain.
fn output_of(time: Duration) -> String {
    let count = time.as_millis() / PAUSE.as_millis();
    (0..count).map(|number| format!("w{number}\n")).collect()
}

fn long_timeouts(homes: RegionSet) -> TrafficConfig {
    let mut config = config(1);
    for route in &mut config.routes {
        route.timeout_ms = TIMEOUT_MS;
        route.allowed_regions = homes.clone();
    }
    config
}

/// Two gateways, the first of which owns the partition that stores program `p`.
struct Deployment {
    world: World,
    server: Server,
    owner: Gateway,
    other: Gateway,
    log_partition: LogPartition,
    /// Header fields about the budget of the program.
    budget: &'static str,
}

impl Deployment {
    async fn start() -> Self {
        Self::start_in(RegionSet::All, None).await
    }

    /// Starts gateways whose log already contains turn t1.
    async fn start_after(t1: TurnRecord) -> Self {
        Self::start_in(RegionSet::All, Some(t1)).await
    }

    /// Starts gateways that store contents in these regions.
    async fn start_in(homes: RegionSet, t1: Option<TurnRecord>) -> Self {
        let world = World::new().await;
        world.configs.borrow_mut()[0] = long_timeouts(homes.clone());
        *world.zones.borrow_mut() = Map::new([("a1", "a")]);
        if let Some(t1) = t1 {
            let record = Record::Turn(name("t1"), Some(t1));
            let log_partition = LogPartition {
                topic: LEDGER_TOPIC.to_owned(),
                number: partition_of("p", PARTITIONS),
            };
            let (key, value) = (record.key(), record.value());
            world.put_in(&log_partition, &key, &value).await;
        }
        let server = Server::start("s1", single_event()).await;
        world.list_in(&server, "a1").await;
        let a = world.gateway_in("g1", "a1").await;
        let b = world.gateway_in("g2", "a1").await;
        for gateway in [&a, &b] {
            gateway.wait_ready(1).await;
        }
        sleep(OWNERS_SETTLED).await;
        let partition = storing_partition(&a, &homes);
        let log_partition = log_partition(&a, partition);
        let claims = &a.daemon.owner.claims;
        let is_a = claims.is_mine(&claims.claim(partition).expect("an owner"));
        let (owner, other) = if is_a { (a, b) } else { (b, a) };
        Self {
            world,
            server,
            owner,
            other,
            log_partition,
            budget: "",
        }
    }

    /// Runs a turn at the gateway that does not own the partition.
    async fn turn(&self, turn: &str, previous: Option<&str>) -> u16 {
        let previous = previous.map_or(String::new(), |turn| format!("Previous: {turn}\r\n"));
        let fields = format!("Request: {turn}\r\nProgram: p\r\n{previous}{}", self.budget);
        let mut client = self.other.client().await;
        client
            .send("POST", "/chat/1", &fields, &format!("{turn};"))
            .await;
        let reply = client.reply_within(Duration::from_millis(TIMEOUT_MS)).await;
        assert!(reply.complete, "the answer to {turn} broke off");
        reply.head.status
    }

    /// Runs turn t2, which continues t1 and takes `time`, and meanwhile `change` after its first
    /// event. Returns its status.
    async fn turn_during(&self, time: Duration, change: impl Future<Output = ()>) -> u16 {
        self.server.set(stream_of(time));
        let count = self.server.count();
        let changed = async {
            while self.server.count() == count {
                sleep(Duration::from_millis(5)).await;
            }
            sleep(PAUSE).await;
            change.await;
        };
        let (status, ()) = futures_util::future::join(self.turn("t2", Some("t1")), changed).await;
        self.server.set(single_event());
        status
    }

    /// Deletes a turn from the log, as its owner does when the turn has expired.
    async fn delete(&self, turn: &str) {
        let key = Record::Turn(name(turn), None).key();
        self.world.put_in(&self.log_partition, &key, &[]).await;
    }

    /// Contents of a chain as an owner finds them that reads the log after a loss of all daemons.
    fn contents_in_log(&self, turn: &str) -> Option<String> {
        let mut core = self.world.log.core.borrow_mut();
        let mut state = Partition::after_loss(now_ms(), 0);
        let mut after = None;
        loop {
            let page = core.newest(&self.log_partition, after.as_deref());
            for (_, record) in &page.records {
                state.load(Record::decode(&record.key, &record.value).expect("a record"));
            }
            after = page.more_after;
            if after.is_none() {
                break;
            }
        }
        state.finish_loading();
        let contents = state.chain_contents(&name(turn))?;
        Some(String::from_utf8_lossy(&contents).into_owned())
    }

    /// Until when a turn is promised to be stored, according to its record, as Unix time in
    /// milliseconds.
    fn stored_until_ms(&self, turn: &str) -> Option<u64> {
        let mut core = self.world.log.core.borrow_mut();
        let page = core.newest(&self.log_partition, None);
        let mut records = page
            .records
            .iter()
            .filter_map(|(_, record)| Record::decode(&record.key, &record.value).ok());
        records.find_map(|record| match record {
            Record::Turn(found, Some(record)) if found == name(turn) => {
                Some(record.ended_ms + record.retention_ms)
            }
            _ => None,
        })
    }

    /// Checks that t2 can be continued, now and after a loss of all daemons.
    async fn assert_continues(&self, contents: &str) {
        let found = self.contents_in_log("t2");
        let found_bytes = found.as_ref().map(String::len);
        let has_chain = found.as_deref() == Some(contents);
        assert!(has_chain, "the log has {found_bytes:?} bytes of the chain");
        assert_eq!(self.turn("t3", Some("t2")).await, 200, "t3 after t2");
        let seen = self.server.seen.borrow();
        let prompt = seen.last().map(|seen| seen.body.clone());
        let prompt = String::from_utf8_lossy(&prompt.expect("a request")).into_owned();
        let has_prompt = prompt == format!("{contents}t3;");
        assert!(has_prompt, "t3 got a prompt of {} bytes", prompt.len());
    }
}

/// Partition that stores the contents of program `p`.
fn storing_partition(gateway: &Gateway, homes: &RegionSet) -> u32 {
    let home = gateway.daemon.ledger.home_partition("p", homes);
    home.unwrap_or_else(|| partition_of("p", PARTITIONS))
}

fn log_partition(gateway: &Gateway, partition: u32) -> LogPartition {
    let location = gateway.daemon.owner.zone_state.layout.location(partition);
    LogPartition {
        topic: match location.region {
            Some(region) => format!("{HOME_TOPIC}{region}"),
            None => LEDGER_TOPIC.to_owned(),
        },
        number: location.number,
    }
}

/// The owner deletes the previous turn while it streams the next one.
#[test]
fn turn_that_outlasts_its_chain_can_be_continued() {
    run(async {
        let t1 = TurnRecord {
            program: "p".to_owned(),
            previous: None,
            input: b"t1;".to_vec(),
            output: b"one\n".to_vec(),
            ended_ms: now_ms() + EXPIRES_AFTER_MS - STORED_MS,
            retention_ms: RETENTION_MS,
        };
        let deployment = Deployment::start_after(t1).await;
        let time = DELETED_AFTER - OWNERS_SETTLED;
        let status = deployment.turn_during(time, async {}).await;
        assert_eq!(status, 200);
        assert_eq!(deployment.contents_in_log("t1"), None, "t1 has not expired");
        let contents = format!("t1;one\nt2;{}", output_of(time));
        deployment.assert_continues(&contents).await;
    });
}

/// The new owner reads the deletion of the previous turn.
#[test]
fn turn_that_outlasts_its_chain_and_a_handover_can_be_continued() {
    run(async {
        let deployment = Deployment::start().await;
        assert_eq!(deployment.turn("t1", None).await, 200);
        let time = Duration::from_millis(1_500);
        let change = async {
            deployment.delete("t1").await;
            fieldhook_gateway::drain::run(deployment.owner.daemon.clone()).await;
        };
        assert_eq!(deployment.turn_during(time, change).await, 200);
        let contents = format!("t1;one\nt2;{}", output_of(time));
        deployment.assert_continues(&contents).await;
    });
}

/// The previous owner still has the previous turn when it is replaced.
#[test]
fn turn_that_outlasts_its_chain_and_its_owner_can_be_continued() {
    run(async {
        let deployment = Deployment::start().await;
        assert_eq!(deployment.turn("t1", None).await, 200);
        let time = Duration::from_millis(900);
        let change = async {
            deployment.owner.store.set_fault(LogFault::Silent);
            deployment.delete("t1").await;
        };
        assert_eq!(deployment.turn_during(time, change).await, 200);
        let contents = format!("t1;one\nt2;{}", output_of(time));
        deployment.assert_continues(&contents).await;
    });
}

/// The log is away when the turn ends, and the owner that knew its chain is gone.
#[test]
fn turn_that_ends_without_its_chain_during_a_log_outage_can_be_continued() {
    run(async {
        let deployment = Deployment::start().await;
        assert_eq!(deployment.turn("t1", None).await, 200);
        let time = Duration::from_millis(1_500);
        let change = async {
            deployment.delete("t1").await;
            fieldhook_gateway::drain::run(deployment.owner.daemon.clone()).await;
            sleep(Duration::from_millis(1_000)).await;
            deployment.other.store.set_fault(LogFault::Silent);
            sleep(Duration::from_millis(1_200)).await;
            deployment.other.store.set_fault(LogFault::None);
        };
        assert_eq!(deployment.turn_during(time, change).await, 200);
        let contents = format!("t1;one\nt2;{}", output_of(time));
        deployment.assert_continues(&contents).await;
    });
}

/// The chain is larger than one record.
#[test]
fn turn_that_outlasts_a_long_chain_can_be_continued() {
    run(async {
        let long = "x".repeat(450 << 10);
        let t1 = TurnRecord {
            program: "p".to_owned(),
            previous: None,
            input: long.clone().into_bytes(),
            output: Vec::new(),
            ended_ms: now_ms(),
            retention_ms: RETENTION_MS,
        };
        let deployment = Deployment::start_after(t1).await;
        let time = Duration::from_millis(1_500);
        let change = async {
            deployment.delete("t1").await;
            fieldhook_gateway::drain::run(deployment.owner.daemon.clone()).await;
        };
        assert_eq!(deployment.turn_during(time, change).await, 200);
        let contents = format!("{long}t2;{}", output_of(time));
        deployment.assert_continues(&contents).await;
    });
}

/// The chain is stored in a home partition.
#[test]
fn turn_that_outlasts_its_chain_in_a_home_region_can_be_continued() {
    run(async {
        let deployment = Deployment::start_in(RegionSet::from_names(["a"]), None).await;
        assert_eq!(deployment.turn("t1", None).await, 200);
        let time = Duration::from_millis(1_500);
        let change = async {
            deployment.delete("t1").await;
            fieldhook_gateway::drain::run(deployment.owner.daemon.clone()).await;
        };
        assert_eq!(deployment.turn_during(time, change).await, 200);
        let contents = format!("t1;one\nt2;{}", output_of(time));
        deployment.assert_continues(&contents).await;
    });
}

/// The first tokens of the turn reach its client before the log has recorded the budget. The next
/// owner, which has to grant the rest, no longer knows the chain.
#[test]
fn turn_goes_on_at_the_next_owner_after_its_chain_has_expired() {
    run(async {
        let mut deployment = Deployment::start().await;
        assert_eq!(deployment.turn("t1", None).await, 200);
        // One event is granted without a record.
        deployment.budget = "Budget: 100\r\nMost: 80\r\n";
        deployment.owner.store.set_fault(LogFault::Silent);
        let change = async {
            deployment.delete("t1").await;
            // The end of another turn replaces the owner, which then learns of that.
            let fields = "Request: x\r\nProgram: p\r\n";
            let reply = deployment.other.ask("POST", "/chat/1", fields, "x;").await;
            assert!(reply.complete);
            deployment.owner.store.set_fault(LogFault::None);
        };
        let time = Duration::from_millis(600);
        assert_eq!(deployment.turn_during(time, change).await, 200);
    });
}

/// The owner accepts the end of the turn long before the log does and the client gets it.
#[test]
fn retention_counts_from_the_end_that_the_client_gets() {
    run(async {
        let deployment = Deployment::start().await;
        let stores = [&deployment.owner.store, &deployment.other.store];
        for store in stores {
            store.set_fault(LogFault::Silent);
        }
        let outage = async {
            sleep(Duration::from_millis(1_500)).await;
            for store in stores {
                store.set_fault(LogFault::None);
            }
        };
        let turn = deployment.turn("t1", None);
        let (status, ()) = futures_util::future::join(turn, outage).await;
        let ended_ms = now_ms();
        assert_eq!(status, 200);
        let stored_until_ms = deployment.stored_until_ms("t1").expect("a record");
        let retention_ms = stored_until_ms.saturating_sub(ended_ms);
        assert!(retention_ms >= RETENTION_MS, "{retention_ms} ms");
    });
}
