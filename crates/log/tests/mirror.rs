//! What daemons learn through a reader is what the topic holds, whatever they ask when.

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
    /// Writers change keys; an empty value deletes.
    Write(Vec<(u16, bool)>),
    /// The log drops its history.
    Forget,
    /// The reader reads on.
    Read,
    /// The reader reads the next page of a listing, or its first.
    ReadPage,
    /// The asker asks for what it lacks.
    Ask,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..4 => {
                let count = usize::from(u8::arbitrary(g)) % 40;
                let key = |g: &mut Gen| (u16::arbitrary(g) % 1_400, u8::arbitrary(g) % 4 == 0);
                Self::Write((0..count).map(|_| key(g)).collect())
            }
            4 => Self::Forget,
            5..8 => Self::Read,
            8 => Self::ReadPage,
            _ => Self::Ask,
        }
    }
}

type Newest = BTreeMap<Vec<u8>, Vec<u8>>;

/// A daemon that lists and then follows, as a follower does.
#[derive(Default)]
struct Asker {
    newest: Newest,
    next: Option<u64>,
    listed: Newest,
    after: Option<Vec<u8>>,
    end: Option<u64>,
}

impl Asker {
    fn ask(&mut self, mirror: &Mirror) {
        match self.next {
            None => self.list(mirror),
            Some(from) => match mirror.read(from) {
                ReadResult::Records(records) => {
                    for (offset, record) in records {
                        take(&mut self.newest, &record);
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
            take(&mut self.listed, record);
        }
        self.end = Some(self.end.map_or(page.end, |end| end.min(page.end)));
        self.after = page.more_after;
        if self.after.is_none() {
            self.newest = std::mem::take(&mut self.listed);
            self.next = self.end.take();
        }
    }
}

fn take(newest: &mut Newest, record: &KeyedRecord) {
    match record.value.is_empty() {
        true => newest.remove(&record.key),
        false => newest.insert(record.key.clone(), record.value.clone()),
    };
}

/// The log, the reader and the asker of a run.
#[derive(Default)]
struct Run {
    log: LogCore,
    truth: Newest,
    written: u64,
    mirror: Mirror,
    page: Option<Option<Vec<u8>>>,
    asker: Asker,
}

impl Run {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(changes) => self.write(changes),
            Step::Forget => self.log.forget_history(),
            Step::Read => self.read(),
            Step::ReadPage => self.read_page(),
            Step::Ask => self.asker.ask(&self.mirror),
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
            take(&mut self.truth, record);
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
        let after = self.page.take().flatten();
        let page = self.log.newest(&topic(), after.as_deref());
        self.mirror.apply_page(after.as_deref(), &page);
        self.page = page.more_after.map(Some);
    }

    /// Once nothing happens any more, everybody knows all.
    fn settles(&mut self) -> bool {
        for _ in 0..30 {
            self.read();
            self.asker.ask(&self.mirror);
        }
        self.asker.newest == self.truth
    }
}

fn holds(steps: Vec<Step>) -> bool {
    let mut run = Run::default();
    for step in &steps {
        run.step(step);
    }
    run.settles()
}

#[test]
fn an_asker_learns_what_the_topic_holds() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 17))
        .tests(600)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn a_batch_that_leaves_a_gap_makes_a_mirror_useless_until_it_is_listed() {
    let mut run = Run::default();
    run.write(&[(1, false), (2, false)]);
    run.read();
    assert!(run.mirror.is_complete());
    run.write(&[(3, false), (4, false)]);
    let batch = run.log.read(&topic(), 3).expect("read");
    run.mirror.apply_batch(3, &batch);
    assert!(!run.mirror.is_complete());
    assert_eq!(run.mirror.read(2), ReadResult::Ahead);
    assert!(run.settles());
}
