//! Checks that daemons learn the content of a topic through a reader, whatever the order of writes,
//! reads and queries.

use fieldhook_emulator::log::core::LogCore;
use fieldhook_log::api::{Append, KeyedRecord, Partition};
use fieldhook_log::mirror::{Mirror, ReadResult};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;

fn topic() -> Partition {
    Partition {
        topic: "topic".to_owned(),
        number: 0,
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Changes keys; `true` deletes the key.
    Write(Vec<(u16, bool)>),
    /// The log deletes its history.
    DropHistory,
    /// The reader reads new records.
    Read,
    /// The reader reads the next page of a listing, or the first one.
    ReadPage,
    /// The client queries the reader.
    Query,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..4 => {
                let count = usize::from(u8::arbitrary(g)) % 40;
                let key = |g: &mut Gen| (u16::arbitrary(g) % 1_400, u8::arbitrary(g) % 4 == 0);
                Self::Write((0..count).map(|_| key(g)).collect())
            }
            4 => Self::DropHistory,
            5..8 => Self::Read,
            8 => Self::ReadPage,
            _ => Self::Query,
        }
    }
}

type Newest = BTreeMap<Vec<u8>, Vec<u8>>;

/// A daemon that lists and then follows, like a [`Follower`](fieldhook_log::follow::Follower).
#[derive(Default)]
struct Client {
    newest: Newest,
    next: Option<u64>,
    listed: Newest,
    after: Option<Vec<u8>>,
    end: Option<u64>,
}

impl Client {
    fn query(&mut self, mirror: &Mirror) {
        match self.next {
            None => self.list(mirror),
            Some(from) => match mirror.read(from) {
                ReadResult::Records(records) => {
                    for (offset, record) in records {
                        apply(&mut self.newest, &record);
                        self.next = Some(offset + 1);
                    }
                }
                ReadResult::Truncated => self.next = None,
                ReadResult::Empty | ReadResult::Ahead => {}
            },
        }
    }

    fn list(&mut self, mirror: &Mirror) {
        let Some(page) = mirror.page(self.after.as_deref()) else {
            return;
        };
        for (_, record) in &page.records {
            apply(&mut self.listed, record);
        }
        self.end = Some(self.end.map_or(page.end, |end| end.min(page.end)));
        self.after = page.more_after;
        if self.after.is_none() {
            self.newest = std::mem::take(&mut self.listed);
            self.next = self.end.take();
        }
    }
}

fn apply(newest: &mut Newest, record: &KeyedRecord) {
    match record.value.is_empty() {
        true => newest.remove(&record.key),
        false => newest.insert(record.key.clone(), record.value.clone()),
    };
}

/// The log, the reader and the client of a test run.
#[derive(Default)]
struct Run {
    log: LogCore,
    expected: Newest,
    written: u64,
    mirror: Mirror,
    /// Key after which the next page is requested; `None` for the first page. The inner option is
    /// never `None`.
    next_page_after: Option<Option<Vec<u8>>>,
    client: Client,
}

impl Run {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(changes) => self.write(changes),
            Step::DropHistory => self.log.drop_history(),
            Step::Read => self.read(),
            Step::ReadPage => self.read_page(),
            Step::Query => self.client.query(&self.mirror),
        }
    }

    fn write(&mut self, changes: &[(u16, bool)]) {
        let records: Vec<KeyedRecord> = changes
            .iter()
            .map(|(key, deletes)| {
                self.written += 1;
                let value = match deletes {
                    true => Vec::new(),
                    false => self.written.to_be_bytes().to_vec(),
                };
                KeyedRecord {
                    key: key.to_be_bytes().to_vec(),
                    value,
                }
            })
            .collect();
        for record in &records {
            apply(&mut self.expected, record);
        }
        let append = Append {
            partition: topic(),
            records,
            producer: None,
            expected_end: None,
            timeout: Duration::ZERO,
        };
        self.log.append(&append).expect("appended");
    }

    fn read(&mut self) {
        if !self.mirror.is_complete() {
            return self.read_page();
        }
        let from = self.mirror.end();
        match self.log.read(&topic(), from) {
            Ok(batch) => self.mirror.apply_batch(from, &batch),
            Err(_) => self.mirror = Mirror::default(),
        }
    }

    fn read_page(&mut self) {
        let after = self.next_page_after.take().flatten();
        let page = self.log.newest(&topic(), after.as_deref());
        self.mirror.apply_page(after.as_deref(), &page);
        self.next_page_after = page.more_after.map(Some);
    }

    /// Whether the client knows the content of the topic after the last write.
    fn converges(&mut self) -> bool {
        for _ in 0..30 {
            self.read();
            self.client.query(&self.mirror);
        }
        self.client.newest == self.expected
    }
}

fn client_converges(steps: Vec<Step>) -> bool {
    let mut run = Run::default();
    for step in &steps {
        run.step(step);
    }
    run.converges()
}

#[test]
fn client_learns_the_content_of_the_topic() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 17))
        .tests(600)
        .quickcheck(client_converges as fn(Vec<Step>) -> bool);
}

#[test]
fn gap_between_batches_resets_the_mirror() {
    let mut run = Run::default();
    run.write(&[(1, false), (2, false)]);
    run.read();
    assert!(run.mirror.is_complete());
    run.write(&[(3, false), (4, false)]);
    let batch = run.log.read(&topic(), 3).expect("read");
    run.mirror.apply_batch(3, &batch);
    assert!(!run.mirror.is_complete());
    assert_eq!(run.mirror.read(2), ReadResult::Ahead);
    assert!(run.converges());
}
