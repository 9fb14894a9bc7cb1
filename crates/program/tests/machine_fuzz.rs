//! Runs random operations on the shard's state machine and compares it with a
//! reference model: the requests and answers of every program, the cost of what
//! actually ran, and the keys of requests whose callers got an error saying that
//! they were not run.

#[path = "support/operations.rs"]
mod operations;

use fieldhook_model::api::{Answer, CallSpec, Message, ModelCall, ServerCall, Usage};
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use fieldhook_model::ids::ProgramId;
use fieldhook_program::{
    AttemptCost, BeginCall, Command, EndReason, FinishCall, NextAttempt, OpenProgram, Outcome,
    RETENTION_MS, Reply, ShardState, TimedCommand,
};
use nanoserde::{DeBin, SerBin};
use operations::{Operation, PROGRAMS};
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

/// Budget of each root program.
const BUDGET_LIMIT: u64 = 400;

/// One program in the reference model.
#[derive(Clone, Default)]
struct ProgramModel {
    root: u8,
    /// History inherited from the parent.
    inherited: Vec<Message>,
    /// Messages and answers of the program's own turns.
    turns: Vec<Message>,
    /// Request keys of the calls, in order.
    keys: Vec<String>,
}

/// Reference model: what happened outside of the state machine.
#[derive(Default)]
struct ReferenceModel {
    records: BTreeMap<u8, ProgramModel>,
    /// Cost of what actually ran, by root program.
    actual_cost: BTreeMap<u8, u64>,
    /// Number of executions, by program and request key.
    executed: BTreeMap<(u8, String), u32>,
    /// Program and request key of the requests that were refused.
    reported_not_run: BTreeSet<(u8, String)>,
}

/// The state machine and the reference model, driven by operations.
struct Harness {
    state: ShardState,
    reference: ReferenceModel,
    now_ms: u64,
    last_command: Option<TimedCommand>,
}

fn id(program: u8) -> ProgramId {
    ProgramId::root("tenant", &format!("program-{program}"), 1)
}

fn key_name(key: u8) -> String {
    format!("key-{key}")
}

fn spec(tokens: u8, key: u8) -> CallSpec {
    if tokens.is_multiple_of(3) {
        let path = format!("path-{key}");
        return CallSpec::Server(ServerCall {
            service: "tools".to_owned(),
            path,
            body: String::new(),
        });
    }
    let message = Message {
        role: "user".to_owned(),
        content: format!("question {key}"),
    };
    CallSpec::Model(ModelCall {
        model: "chat".to_owned(),
        messages: vec![message],
        max_tokens: u32::from(tokens),
    })
}

impl Harness {
    fn new() -> Self {
        Self {
            state: ShardState::default(),
            reference: ReferenceModel::default(),
            now_ms: 0,
            last_command: None,
        }
    }

    fn apply(&mut self, command: Command) -> Reply {
        let timed = TimedCommand {
            at_ms: self.now_ms,
            command,
        };
        self.last_command = Some(timed.clone());
        self.state.apply(timed)
    }

    fn perform(&mut self, operation: Operation) {
        match operation {
            Operation::Open { program, parent } => self.open(program, parent),
            Operation::Begin {
                program,
                skip,
                key,
                repeatable,
                tokens,
            } => {
                self.begin(program, skip, key, repeatable, tokens);
            }
            Operation::Finish {
                program,
                stale,
                tokens,
                failed,
            } => {
                self.finish(program, stale, tokens, failed);
            }
            Operation::NextAttempt {
                program,
                ran,
                prefix,
            } => self.next_attempt(program, ran, prefix),
            Operation::RefuseKey { program, key } => self.refuse_key(program, key),
            Operation::End { program } => {
                self.apply(Command::EndProgram {
                    program: id(program),
                    reason: EndReason::Caller,
                });
            }
            Operation::ReleaseCache { program } => self.release_cache(program),
            Operation::Advance { duration_ms } => self.now_ms += u64::from(duration_ms),
            Operation::PurgeExpired => self.purge_expired(),
            Operation::Repeat => self.repeat_last_command(),
            Operation::Snapshot => {
                let bytes = self.state.serialize_bin();
                self.state = ShardState::deserialize_bin(&bytes).expect("snapshot decodes");
            }
        }
        self.check();
    }

    fn open(&mut self, program: u8, parent: u8) {
        let parent = (parent < PROGRAMS && parent != program).then_some(parent);
        let exists = self.state.programs.contains_key(&id(program));
        let inherited = parent
            .map(|parent| self.state.history(id(parent)))
            .unwrap_or_default();
        let reply = self.apply(Command::OpenProgram(OpenProgram {
            program: id(program),
            parent: parent.map(id),
            tenant: "tenant".to_owned(),
            labels: BTreeMap::new(),
            budget: BUDGET_LIMIT,
            deadline_ms: 1_000_000,
            max_turns: 6,
        }));
        assert_eq!(reply == Reply::AlreadyRecorded, exists);
        if reply == Reply::Done {
            let root = parent.map_or(program, |parent| self.reference.records[&parent].root);
            // The record of an earlier program of this number was purged; what ran
            // for it doesn't count for the new one.
            self.reference
                .executed
                .retain(|(owner, _), _| *owner != program);
            self.reference
                .reported_not_run
                .retain(|(owner, _)| *owner != program);
            if root == program {
                self.reference.actual_cost.insert(program, 0);
            }
            let record = ProgramModel {
                root,
                inherited,
                ..ProgramModel::default()
            };
            self.reference.records.insert(program, record);
        }
    }

    fn begin(&mut self, program: u8, skip: u8, key: u8, repeatable: bool, tokens: u8) {
        let calls = self
            .state
            .programs
            .get(&id(program))
            .map_or(0, |item| item.calls.len());
        // Mostly the next call number; sometimes the previous one or one too high.
        let number = match skip {
            0 => calls as u64,
            1 => calls as u64 + 2,
            _ => calls as u64 + 1,
        };
        let reply = self.apply(Command::BeginCall(BeginCall {
            program: id(program),
            call_number: number,
            request_key: key_name(key),
            spec: spec(tokens, key),
            repeatable,
            target: "engine-a".to_owned(),
        }));
        match reply {
            Reply::Dispatch(_) => {
                assert_eq!(
                    number,
                    calls as u64 + 1,
                    "a call was dispatched out of order"
                );
                self.record_dispatch(program, key_name(key), repeatable);
                if let Some(record) = self.reference.records.get_mut(&program) {
                    record.keys.push(key_name(key));
                }
            }
            Reply::AlreadyRecorded => {
                let record = &self.reference.records[&program];
                assert_eq!(
                    record.keys[number as usize - 1],
                    key_name(key),
                    "a request was taken for the call of another request key"
                );
            }
            Reply::Refused(error) => assert_eq!(error.executed, Executed::No),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn record_dispatch(&mut self, program: u8, key: String, repeatable: bool) {
        let entry = (program, key);
        assert!(
            !self.reference.reported_not_run.contains(&entry),
            "a request was dispatched after it was refused"
        );
        let count = self.reference.executed.entry(entry).or_insert(0);
        *count += 1;
        assert!(
            repeatable || *count == 1,
            "a request that is not repeatable was dispatched twice"
        );
    }

    /// Returns the running call of a program and its number.
    fn running(&self, program: u8) -> Option<(u64, fieldhook_program::Call)> {
        let record = self.state.programs.get(&id(program))?;
        let number = record.running_call()?;
        Some((number, record.call(number)?.clone()))
    }

    fn finish(&mut self, program: u8, stale: bool, tokens: u8, failed: bool) {
        let Some((number, call)) = self.running(program) else {
            return;
        };
        let attempt = call.attempt.number + u32::from(stale);
        let usage = match &call.spec {
            CallSpec::Server(_) => Usage::default(),
            CallSpec::Model(model) => Usage {
                prompt_tokens: call.attempt.reservation - u64::from(model.max_tokens),
                cached_tokens: 0,
                completion_tokens: u64::from(tokens).min(u64::from(model.max_tokens)),
            },
        };
        let answer = Answer {
            call_number: number,
            content: format!("answer {program}.{number}"),
            status: 200,
            served_by: call.attempt.target.clone(),
            attempts: attempt,
            usage,
        };
        let error = CallError::not_run(ErrorKind::TargetFailed, "").executed(Executed::Unknown);
        let outcome = if failed {
            Outcome::Failed(error)
        } else {
            Outcome::Answered(answer.clone())
        };
        let finish = FinishCall {
            program: id(program),
            call_number: number,
            attempt,
            outcome,
        };
        let reply = self.apply(Command::FinishCall(finish));
        assert_eq!(
            reply == Reply::Stale,
            stale,
            "the outcome of an attempt that is not the newest was accepted"
        );
        if stale {
            return;
        }
        let cost = match &call.spec {
            CallSpec::Server(_) => 1,
            CallSpec::Model(_) => usage.prompt_tokens + usage.completion_tokens,
        };
        self.spend(program, cost);
        if let (CallSpec::Model(model), false) = (&call.spec, failed) {
            let record = self.reference.records.get_mut(&program).expect("recorded");
            record.turns.extend(model.messages.clone());
            let role = "assistant".to_owned();
            record.turns.push(Message {
                role,
                content: answer.content,
            });
        }
    }

    fn spend(&mut self, program: u8, cost: u64) {
        let root = self.reference.records[&program].root;
        *self.reference.actual_cost.entry(root).or_insert(0) += cost;
    }

    fn next_attempt(&mut self, program: u8, ran: bool, prefix: u8) {
        let Some((number, call)) = self.running(program) else {
            return;
        };
        let cost = if ran {
            AttemptCost::Full
        } else {
            AttemptCost::NotRun
        };
        let key = call.request_key.clone();
        if !ran {
            // The attempt did not run, so its dispatch doesn't count as an execution.
            if let Some(count) = self.reference.executed.get_mut(&(program, key.clone())) {
                *count -= 1;
            }
        }
        let reply = self.apply(Command::NextAttempt(NextAttempt {
            program: id(program),
            call_number: number,
            abandoned_attempt: call.attempt.number,
            cost,
            target: "engine-b".to_owned(),
            prefix: "x".repeat(usize::from(prefix)),
        }));
        let must_be_refused = ran && !call.repeatable;
        if ran && !must_be_refused {
            self.spend(program, call.attempt.reservation);
        }
        match reply {
            Reply::Dispatch(attempt) => {
                assert!(
                    !must_be_refused,
                    "a request that is not repeatable was dispatched again"
                );
                let continues = prefix > 0;
                assert_eq!(
                    attempt.lineage == call.attempt.lineage,
                    continues,
                    "texts of different lineages were joined"
                );
                self.record_dispatch(program, key, call.repeatable);
            }
            Reply::Refused(error) => assert_eq!(error.executed, Executed::Unknown),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn refuse_key(&mut self, program: u8, key: u8) {
        let calls = self
            .state
            .programs
            .get(&id(program))
            .map_or(0, |item| item.calls.len());
        let reply = self.apply(Command::RefuseKey {
            program: id(program),
            call_number: calls as u64 + 1,
            request_key: key_name(key),
        });
        let entry = (program, key_name(key));
        if reply == Reply::Done && !self.reference.executed.contains_key(&entry) {
            self.reference.reported_not_run.insert(entry);
        }
    }

    fn release_cache(&mut self, program: u8) {
        for engine in ["engine-a", "engine-b"] {
            self.apply(Command::CacheReleased {
                program: id(program),
                engine: engine.to_owned(),
            });
            if let Some((_, call)) = self.running(program)
                && call.attempt.target == engine
                && matches!(call.spec, CallSpec::Model(_))
            {
                let held = &self.state.programs[&id(program)].held_by;
                assert!(
                    held.contains_key(engine),
                    "the engine of a running call was removed from held_by"
                );
            }
        }
    }

    fn purge_expired(&mut self) {
        let before: Vec<ProgramId> = self.state.programs.keys().copied().collect();
        let open: Vec<ProgramId> = before
            .iter()
            .filter(|program| self.state.programs[program].is_open())
            .copied()
            .collect();
        let cached: Vec<ProgramId> = before
            .iter()
            .filter(|program| !self.state.programs[program].held_by.is_empty())
            .copied()
            .collect();
        self.apply(Command::PurgeExpired);
        for program in open.iter().chain(&cached) {
            assert!(
                self.state.programs.contains_key(program),
                "the record of a program was purged too early"
            );
        }
        self.now_ms += RETENTION_MS / 4;
    }

    /// Applies the last command again, as happens when its reply was lost.
    fn repeat_last_command(&mut self) {
        let Some(command) = self.last_command.clone() else {
            return;
        };
        let is_idempotent = matches!(
            command.command,
            Command::BeginCall(_) | Command::FinishCall(_) | Command::OpenProgram(_)
        );
        if is_idempotent {
            let before = self.state.clone();
            let reply = self.state.apply(command);
            let unchanged = before.programs == self.state.programs;
            assert!(unchanged, "a repeated command changed something: {reply:?}");
        }
    }

    fn check(&self) {
        for (number, record) in &self.reference.records {
            let Some(program) = self.state.programs.get(&id(*number)) else {
                continue;
            };
            let older = program.calls.iter().rev().skip(1);
            assert!(
                older.clone().all(|call| !call.is_running()),
                "two calls of a program are running"
            );
            let keys: Vec<&String> = program.calls.iter().map(|call| &call.request_key).collect();
            assert_eq!(
                keys,
                record.keys.iter().collect::<Vec<_>>(),
                "the order of calls changed"
            );
            let expected: Vec<Message> = record
                .inherited
                .iter()
                .chain(&record.turns)
                .cloned()
                .collect();
            assert_eq!(
                self.state.history(id(*number)),
                expected,
                "the history differs from the reference model"
            );
            let budget = program.budget;
            assert!(
                budget.spent + budget.reserved <= budget.limit,
                "spent plus reserved cost exceeds the limit"
            );
            if record.root == *number {
                let spent = self.reference.actual_cost.get(number).copied().unwrap_or(0);
                assert!(
                    spent <= budget.limit,
                    "actual cost {spent} exceeds the limit {}",
                    budget.limit
                );
                assert!(
                    spent <= budget.spent,
                    "actual cost {spent} exceeds the recorded cost {}",
                    budget.spent
                );
            }
        }
    }
}

/// Reads a number from the environment.
fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn run_operations(operations: Vec<Operation>) -> bool {
    let mut harness = Harness::new();
    for operation in operations {
        harness.perform(operation);
    }
    true
}

#[test]
fn fuzz_shard_state_matches_the_reference_model() {
    let cases = env_or("FIELDHOOK_FUZZ_CASES", 2_000);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(
            120,
            env_or("FIELDHOOK_FUZZ_SEED", 11),
        ))
        .tests(cases)
        .max_tests(cases * 2)
        .quickcheck(run_operations as fn(Vec<Operation>) -> bool);
}
