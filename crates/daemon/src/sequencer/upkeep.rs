//! What an owner does between calls: deadlines, release of engine memory,
//! dropping old records, and the sweep for memory that nobody accounts for.

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

const PAUSE: Millis = Millis(100);
/// Rounds between two sweeps.
const SWEEP_ROUNDS: u64 = 20;
/// Engines looked at in a sweep; the next sweep looks at others.
const SWEPT_ENGINES: usize = 4;
const ENGINE_TIMEOUT: Duration = Duration::from_secs(1);

/// Looks after all shards owned here, for as long as the process lives.
pub async fn run_upkeep(node: Rc<Node>) {
    let mut round = 0_u64;
    let mut rotation = Rotation::default();
    loop {
        for host in node.hosts() {
            if host.owns() {
                end_overdue(&host).await;
                release_ended(&node, &host);
                forget_old(&host).await;
            }
        }
        round += 1;
        if round.is_multiple_of(SWEEP_ROUNDS) {
            sweep(&node, &mut rotation).await;
        }
        sleep(PAUSE).await;
    }
}

async fn end_overdue(host: &Rc<ShardHost>) {
    let now_ms = host.shard_now_ms();
    let overdue: Vec<ProgramId> = {
        let state = host.state.borrow();
        let late = state
            .programs
            .iter()
            .filter(|(_, program)| program.is_open() && now_ms >= program.deadline_ms);
        late.map(|(id, _)| *id).collect()
    };
    for program in overdue {
        let command = Command::EndProgram {
            program,
            reason: EndReason::Deadline,
        };
        let _ = host.propose(command).await;
    }
}

/// Tells engines to drop what they hold for ended programs, until each has
/// acknowledged.
fn release_ended(node: &Rc<Node>, host: &Rc<ShardHost>) {
    let owed: Vec<(ProgramId, String)> = {
        let state = host.state.borrow();
        let ended = state
            .programs
            .iter()
            .filter(|(_, program)| !program.is_open());
        ended
            .flat_map(|(id, program)| program.held_by.keys().map(|engine| (*id, engine.clone())))
            .collect()
    };
    for (program, engine) in owed {
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
    if is_off_the_list(&node, &engine) || ask_release(&node, program, &engine).await {
        let command = Command::CacheReleased {
            program,
            engine: engine.clone(),
        };
        let _ = host.propose(command).await;
    }
    host.releasing.borrow_mut().remove(&(program, engine));
}

async fn ask_release(node: &Node, program: ProgramId, engine: &str) -> bool {
    let url = format!("http://{engine}/v1/programs/{program}");
    let reply = node
        .client
        .fetch(Method::DELETE, &url, &[], Vec::new(), ENGINE_TIMEOUT)
        .await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// A machine that the platform no longer lists holds nothing.
fn is_off_the_list(node: &Node, engine: &str) -> bool {
    let fleet = node.fleet.borrow();
    !fleet.machines().is_empty()
        && !fleet
            .machines()
            .iter()
            .any(|machine| machine.address == engine)
}

async fn forget_old(host: &Rc<ShardHost>) {
    let due = host
        .state
        .borrow()
        .has_expired_programs(host.shard_now_ms());
    if due {
        let _ = host.propose(Command::PurgeExpired).await;
    }
}

/// Compares what engines hold with what lives, which also catches the work of
/// an owner that woke too late. Each owner answers for its own shards.
async fn sweep(node: &Rc<Node>, rotation: &mut Rotation) {
    let all = node.fleet.borrow().engines();
    let engines = rotation.next_batch(&all, SWEPT_ENGINES, |limit| fastrand::usize(..limit));
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
                tracing::info!(%program, engine, "sweeps memory of a program that has ended");
                ask_release(node, program, &engine).await;
            }
        }
    }
}

fn is_orphaned(node: &Node, program: ProgramId) -> bool {
    let Some(host) = node.shard(program.shard) else {
        return false;
    };
    if !host.owns() {
        return false;
    }
    let state = host.state.borrow();
    state
        .programs
        .get(&program)
        .is_none_or(|record| !record.is_open())
}
