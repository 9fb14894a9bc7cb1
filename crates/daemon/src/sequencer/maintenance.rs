//! Periodic maintenance of owned shards: ends programs at their deadline, releases the engines'
//! caches of ended programs, purges expired records, and sweeps engines for orphaned caches.

use crate::node::Node;
use crate::shard::ShardHost;
use fieldhook_model::ids::ProgramId;
use fieldhook_placement::Rotation;
use fieldhook_program::{Command, EndReason};
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

const INTERVAL: Millis = Millis(100);
/// Number of rounds from one sweep to the next.
const ROUNDS_PER_SWEEP: u64 = 20;
/// Number of engines checked in a sweep. The next sweep checks others.
const ENGINES_PER_SWEEP: usize = 4;
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the maintenance of all shards that this daemon owns.
pub async fn run_maintenance(node: Rc<Node>) {
    let mut round = 0_u64;
    let mut rotation = Rotation::default();
    loop {
        for host in node.hosts() {
            if host.is_owned() {
                end_overdue_programs(&host).await;
                release_ended_programs(&node, &host);
                purge_expired_programs(&host).await;
            }
        }
        round += 1;
        if round.is_multiple_of(ROUNDS_PER_SWEEP) {
            sweep_orphaned_caches(&node, &mut rotation).await;
        }
        sleep(INTERVAL).await;
    }
}

async fn end_overdue_programs(host: &Rc<ShardHost>) {
    let now_ms = host.shard_now_ms();
    let expired: Vec<ProgramId> = {
        let state = host.state.borrow();
        let overdue = state
            .programs
            .iter()
            .filter(|(_, program)| program.is_open() && now_ms >= program.deadline_ms);
        overdue.map(|(id, _)| *id).collect()
    };
    for program in expired {
        let command = Command::EndProgram {
            program,
            reason: EndReason::Deadline,
        };
        let _ = host.propose(command).await;
    }
}

/// Requests the release of the cache that engines hold for ended programs. Repeated in each round
/// until the release is recorded.
fn release_ended_programs(node: &Rc<Node>, host: &Rc<ShardHost>) {
    let held: Vec<(ProgramId, String)> = {
        let state = host.state.borrow();
        let ended = state
            .programs
            .iter()
            .filter(|(_, program)| !program.is_open());
        ended
            .flat_map(|(id, program)| program.held_by.keys().map(|engine| (*id, engine.clone())))
            .collect()
    };
    for (program, engine) in held {
        if host
            .releasing
            .borrow_mut()
            .insert((program, engine.clone()))
        {
            ntex::rt::spawn(release(node.clone(), host.clone(), program, engine));
        }
    }
}

async fn release(node: Rc<Node>, host: Rc<ShardHost>, program: ProgramId, engine: String) {
    if is_unlisted(&node, &engine) || request_release(&node, program, &engine).await {
        let command = Command::CacheReleased {
            program,
            engine: engine.clone(),
        };
        let _ = host.propose(command).await;
    }
    host.releasing.borrow_mut().remove(&(program, engine));
}

async fn request_release(node: &Node, program: ProgramId, engine: &str) -> bool {
    let url = format!("http://{engine}/v1/programs/{program}");
    let response = node
        .client
        .fetch(Method::DELETE, &url, &[], Vec::new(), ENGINE_TIMEOUT)
        .await;
    response.is_ok_and(|response| response.status == 200)
}

/// Whether the platform no longer lists an engine. Its cache then counts as released.
fn is_unlisted(node: &Node, engine: &str) -> bool {
    let fleet = node.fleet.borrow();
    !fleet.machines().is_empty()
        && !fleet
            .machines()
            .iter()
            .any(|machine| machine.address == engine)
}

async fn purge_expired_programs(host: &Rc<ShardHost>) {
    let due = host
        .state
        .borrow()
        .has_expired_programs(host.shard_now_ms());
    if due {
        let _ = host.propose(Command::PurgeExpired).await;
    }
}

/// Releases cache that engines hold for programs that have ended. Covers cache that no record
/// mentions, such as that of a stream started by an owner that had already lost the shard. Each
/// owner checks the programs of its own shards.
async fn sweep_orphaned_caches(node: &Rc<Node>, rotation: &mut Rotation) {
    let all = node.fleet.borrow().engines();
    let engines = rotation.next_batch(&all, ENGINES_PER_SWEEP, |limit| fastrand::usize(..limit));
    for engine in engines {
        let url = format!("http://{engine}/v1/programs");
        let held = node
            .client
            .get_json::<BTreeMap<String, u64>>(&url, ENGINE_TIMEOUT)
            .await;
        let Ok(held) = held else { continue };
        for program in held
            .keys()
            .filter_map(|text| text.parse::<ProgramId>().ok())
        {
            if is_orphaned(node, program) {
                tracing::info!(%program, engine, "releasing orphaned cache of an ended program");
                request_release(node, program, &engine).await;
            }
        }
    }
}

/// Whether this daemon owns the shard of a program that has ended or does not exist.
fn is_orphaned(node: &Node, program: ProgramId) -> bool {
    let Some(host) = node.shard(program.shard) else {
        return false;
    };
    if !host.is_owned() {
        return false;
    }
    let state = host.state.borrow();
    state
        .programs
        .get(&program)
        .is_none_or(|record| !record.is_open())
}
