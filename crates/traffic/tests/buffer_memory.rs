//! Memory for slow peers never exceeds its limit, and only buffers of stalled clients are dropped.

use fieldhook_traffic::buffer_memory::{BufferId, BufferMemory, GrowResult, Purpose, STALLED_MS};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::HashMap;

const LIMIT: u64 = 1_000;

#[test]
fn the_longest_stalled_client_is_dropped_first() {
    let mut memory = BufferMemory::new(LIMIT);
    let early = memory.open(Purpose::Delivery, 0);
    let late = memory.open(Purpose::Delivery, 0);
    assert_eq!(memory.grow(early, 400, 0), GrowResult::Granted);
    assert_eq!(memory.grow(late, 400, 100), GrowResult::Granted);
    memory.shrink(late, 10, 200);
    let new = memory.open(Purpose::Delivery, STALLED_MS);
    let result = memory.grow(new, 500, STALLED_MS);
    assert_eq!(result, GrowResult::GrantedByEvicting(vec![early]));
    assert_eq!(memory.used(), 890);
}

#[test]
fn reading_clients_and_requests_are_never_dropped() {
    let mut memory = BufferMemory::new(LIMIT);
    let request = memory.open(Purpose::InProgress, 0);
    assert_eq!(memory.grow(request, 600, 0), GrowResult::Granted);
    let reading = memory.open(Purpose::Delivery, 0);
    assert_eq!(memory.grow(reading, 400, 0), GrowResult::Granted);
    let now_ms = STALLED_MS * 4;
    memory.shrink(reading, 1, now_ms - 10);
    let new = memory.open(Purpose::Delivery, now_ms);
    assert_eq!(memory.grow(new, 2, now_ms), GrowResult::Refused);
    assert_eq!(memory.grow(new, 1, now_ms), GrowResult::Granted);
    memory.close(request);
    assert_eq!(memory.grow(new, 600, now_ms), GrowResult::Granted);
}

#[test]
fn an_incoming_response_is_dropped_only_after_its_client_stalls() {
    let mut memory = BufferMemory::new(LIMIT);
    let response = memory.open(Purpose::InProgress, 0);
    assert_eq!(memory.grow(response, LIMIT, 0), GrowResult::Granted);
    let new = memory.open(Purpose::InProgress, 0);
    let delivery_ms = STALLED_MS * 2;
    assert_eq!(memory.grow(new, 1, delivery_ms), GrowResult::Refused);
    memory.start_delivery(response, delivery_ms);
    assert_eq!(memory.grow(new, 1, delivery_ms + 1), GrowResult::Refused);
    let result = memory.grow(new, 1, delivery_ms + STALLED_MS);
    assert_eq!(result, GrowResult::GrantedByEvicting(vec![response]));
}

#[derive(Clone, Debug)]
enum Step {
    Open(bool),
    Close(usize),
    Grow(usize, u64),
    Shrink(usize, u64),
    StartDelivery(usize),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = usize::arbitrary(g) % 12;
        let bytes = u64::arbitrary(g) % 500;
        match u8::arbitrary(g) % 8 {
            0 => Self::Open(bool::arbitrary(g)),
            1 => Self::Close(which),
            2 | 3 => Self::Grow(which, bytes),
            4 | 5 => Self::Shrink(which, bytes),
            6 => Self::StartDelivery(which),
            _ => Self::Wait(u64::arbitrary(g) % STALLED_MS),
        }
    }
}

/// Reference model: purpose, bytes and time of the last read of each buffer.
type Oracle = HashMap<BufferId, (Purpose, u64, u64)>;

fn holds(steps: Vec<Step>) -> bool {
    let mut memory = BufferMemory::new(LIMIT);
    let mut oracle = Oracle::new();
    let mut ids = Vec::new();
    let mut now_ms = 0;
    steps.iter().all(|step| {
        let id = |which: &usize| ids.get(*which % ids.len().max(1)).copied();
        match step {
            Step::Open(is_delivery) => {
                let purpose = match is_delivery {
                    true => Purpose::Delivery,
                    false => Purpose::InProgress,
                };
                let id = memory.open(purpose, now_ms);
                ids.push(id);
                oracle.insert(id, (purpose, 0, now_ms));
            }
            Step::Close(which) => {
                if let Some(id) = id(which) {
                    memory.close(id);
                    oracle.remove(&id);
                }
            }
            Step::Grow(which, bytes) => {
                if let Some(id) = id(which)
                    && !grow_agrees_with_oracle(&mut memory, &mut oracle, id, *bytes, now_ms)
                {
                    return false;
                }
            }
            Step::Shrink(which, bytes) => {
                if let Some(id) = id(which) {
                    memory.shrink(id, *bytes, now_ms);
                    if let Some(known) = oracle.get_mut(&id) {
                        *known = (known.0, known.1.saturating_sub(*bytes), now_ms);
                    }
                }
            }
            Step::StartDelivery(which) => {
                if let Some(id) = id(which) {
                    memory.start_delivery(id, now_ms);
                    let known = oracle.get_mut(&id);
                    if let Some(known) = known {
                        *known = (Purpose::Delivery, known.1, now_ms);
                    }
                }
            }
            Step::Wait(time_ms) => now_ms += time_ms,
        }
        let used: u64 = oracle.values().map(|known| known.1).sum();
        memory.used() == used && used <= LIMIT
    })
}

fn grow_agrees_with_oracle(
    memory: &mut BufferMemory,
    oracle: &mut Oracle,
    id: BufferId,
    bytes: u64,
    now_ms: u64,
) -> bool {
    let used: u64 = oracle.values().map(|known| known.1).sum();
    let stalled = |known: &(Purpose, u64, u64)| {
        known.0 == Purpose::Delivery && known.1 > 0 && now_ms >= known.2 + STALLED_MS
    };
    let droppable: u64 = oracle
        .iter()
        .filter(|(other, known)| **other != id && stalled(known))
        .map(|(_, known)| known.1)
        .sum();
    let fits = used + bytes <= LIMIT;
    match memory.grow(id, bytes, now_ms) {
        GrowResult::Refused => !oracle.contains_key(&id) || used + bytes > LIMIT + droppable,
        GrowResult::Granted => {
            oracle.entry(id).and_modify(|known| known.1 += bytes);
            fits
        }
        GrowResult::GrantedByEvicting(others) => {
            let all_stalled = others.iter().all(|other| stalled(&oracle[other]));
            for other in &others {
                oracle.remove(other);
            }
            oracle.entry(id).and_modify(|known| known.1 += bytes);
            !fits && all_stalled && !others.contains(&id)
        }
    }
}

#[test]
fn the_limit_always_holds() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 5))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
