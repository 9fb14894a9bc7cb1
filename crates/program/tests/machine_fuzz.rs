//! The program state machine against a simple oracle: lists of what was asked
//! and answered, a ledger of what really ran, and a set of keys that were told
//! that they did not run.

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

const LIMIT: u64 = 400;

/// What the oracle knows of one program.
#[derive(Clone, Default)]
struct Record {
    root: u8,
    inherited: Vec<Message>,
    turns: Vec<Message>,
    keys: Vec<String>,
}

/// What really happened outside the machine.
#[derive(Default)]
struct Oracle {
    records: BTreeMap<u8, Record>,
    really_spent: BTreeMap<u8, u64>,
    executed: BTreeMap<(u8, String), u32>,
    told_not_run: BTreeSet<(u8, String)>,
}

struct Fuzz {
    state: ShardState,
    oracle: Oracle,
    now_ms: u64,
    last: Option<TimedCommand>,
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

impl Fuzz {
    fn new() -> Self {
        Self {
            state: ShardState::default(),
            oracle: Oracle::default(),
            now_ms: 0,
            last: None,
        }
    }

    fn apply(&mut self, command: Command) -> Reply {
        let timed = TimedCommand {
            at_ms: self.now_ms,
            command,
        };
        self.last = Some(timed.clone());
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
            Operation::Next {
                program,
                ran,
                prefix,
            } => self.next(program, ran, prefix),
            Operation::RefuseKey { program, key } => self.refuse(program, key),
            Operation::End { program } => {
                self.apply(Command::EndProgram {
                    program: id(program),
                    reason: EndReason::Caller,
                });
            }
            Operation::Release { program } => self.release(program),
            Operation::Advance { span_ms } => self.now_ms += u64::from(span_ms),
            Operation::Forget => self.forget(),
            Operation::Repeat => self.repeat(),
            Operation::Snapshot => {
                let bytes = self.state.serialize_bin();
                self.state = ShardState::deserialize_bin(&bytes).expect("snapshot decodes");
            }
        }
        self.check();
    }

    fn open(&mut self, program: u8, parent: u8) {
        let parent = (parent < PROGRAMS && parent != program).then_some(parent);
        let known = self.state.programs.contains_key(&id(program));
        let inherited = parent
            .map(|parent| self.state.history(id(parent)))
            .unwrap_or_default();
        let reply = self.apply(Command::OpenProgram(OpenProgram {
            program: id(program),
            parent: parent.map(id),
            tenant: "tenant".to_owned(),
            labels: BTreeMap::new(),
            budget: LIMIT,
            deadline_ms: 1_000_000,
            max_turns: 6,
        }));
        assert_eq!(reply == Reply::AlreadyRecorded, known);
        if reply == Reply::Done {
            let root = parent.map_or(program, |parent| self.oracle.records[&parent].root);
            // A new life of the number: what ran in the old one is over.
            self.oracle
                .executed
                .retain(|(owner, _), _| *owner != program);
            self.oracle
                .told_not_run
                .retain(|(owner, _)| *owner != program);
            if root == program {
                self.oracle.really_spent.insert(program, 0);
            }
            let record = Record {
                root,
                inherited,
                ..Record::default()
            };
            self.oracle.records.insert(program, record);
        }
    }

    fn begin(&mut self, program: u8, skip: u8, key: u8, repeatable: bool, tokens: u8) {
        let calls = self
            .state
            .programs
            .get(&id(program))
            .map_or(0, |item| item.calls.len());
        // Mostly the next number; sometimes an old one or one too far.
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
                assert_eq!(number, calls as u64 + 1, "a call jumped the order");
                self.note_dispatch(program, key_name(key), repeatable);
                if let Some(record) = self.oracle.records.get_mut(&program) {
                    record.keys.push(key_name(key));
                }
            }
            Reply::AlreadyRecorded => {
                let record = &self.oracle.records[&program];
                assert_eq!(
                    record.keys[number as usize - 1],
                    key_name(key),
                    "answers crossed"
                );
            }
            Reply::Refused(error) => assert_eq!(error.executed, Executed::No),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn note_dispatch(&mut self, program: u8, key: String, repeatable: bool) {
        let entry = (program, key);
        assert!(
            !self.oracle.told_not_run.contains(&entry),
            "ran after it was refused"
        );
        let count = self.oracle.executed.entry(entry).or_insert(0);
        *count += 1;
        assert!(
            repeatable || *count == 1,
            "a request that is not repeatable ran twice"
        );
    }

    /// The running call of a program, with its attempt and reservation.
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
            "an outcome of another attempt counted"
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
            let record = self.oracle.records.get_mut(&program).expect("recorded");
            record.turns.extend(model.messages.clone());
            let role = "assistant".to_owned();
            record.turns.push(Message {
                role,
                content: answer.content,
            });
        }
    }

    fn spend(&mut self, program: u8, cost: u64) {
        let root = self.oracle.records[&program].root;
        *self.oracle.really_spent.entry(root).or_insert(0) += cost;
    }

    fn next(&mut self, program: u8, ran: bool, prefix: u8) {
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
            // The truth: this dispatch never reached anyone.
            if let Some(count) = self.oracle.executed.get_mut(&(program, key.clone())) {
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
        let refused_unrepeatable = ran && !call.repeatable;
        if ran && !refused_unrepeatable {
            self.spend(program, call.attempt.reservation);
        }
        match reply {
            Reply::Dispatch(attempt) => {
                assert!(
                    !refused_unrepeatable,
                    "a request that is not repeatable went out again"
                );
                let continues = prefix > 0;
                assert_eq!(
                    attempt.lineage == call.attempt.lineage,
                    continues,
                    "texts spliced"
                );
                self.note_dispatch(program, key, call.repeatable);
            }
            Reply::Refused(error) => assert_eq!(error.executed, Executed::Unknown),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn refuse(&mut self, program: u8, key: u8) {
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
        if reply == Reply::Done && !self.oracle.executed.contains_key(&entry) {
            self.oracle.told_not_run.insert(entry);
        }
    }

    fn release(&mut self, program: u8) {
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
                    "a running engine was taken off the list"
                );
            }
        }
    }

    fn forget(&mut self) {
        let before: Vec<ProgramId> = self.state.programs.keys().copied().collect();
        let open: Vec<ProgramId> = before
            .iter()
            .filter(|program| self.state.programs[program].is_open())
            .copied()
            .collect();
        let owing: Vec<ProgramId> = before
            .iter()
            .filter(|program| !self.state.programs[program].held_by.is_empty())
            .copied()
            .collect();
        self.apply(Command::PurgeExpired);
        for program in open.iter().chain(&owing) {
            assert!(
                self.state.programs.contains_key(program),
                "forgot a program too early"
            );
        }
        self.now_ms += RETENTION_MS / 4;
    }

    /// The same command once more, as after a lost answer.
    fn repeat(&mut self) {
        let Some(last) = self.last.clone() else {
            return;
        };
        let repeats_harmlessly = matches!(
            last.command,
            Command::BeginCall(_) | Command::FinishCall(_) | Command::OpenProgram(_)
        );
        if repeats_harmlessly {
            let before = self.state.clone();
            let reply = self.state.apply(last);
            let unchanged = before.programs == self.state.programs;
            assert!(unchanged, "a repeated command changed something: {reply:?}");
        }
    }

    fn check(&self) {
        for (number, record) in &self.oracle.records {
            let Some(program) = self.state.programs.get(&id(*number)) else {
                continue;
            };
            let older = program.calls.iter().rev().skip(1);
            assert!(
                older.clone().all(|call| !call.is_running()),
                "two calls run at once"
            );
            let keys: Vec<&String> = program.calls.iter().map(|call| &call.request_key).collect();
            assert_eq!(
                keys,
                record.keys.iter().collect::<Vec<_>>(),
                "order of calls changed"
            );
            let wanted: Vec<Message> = record
                .inherited
                .iter()
                .chain(&record.turns)
                .cloned()
                .collect();
            assert_eq!(
                self.state.history(id(*number)),
                wanted,
                "history lost or mixed"
            );
            let budget = program.budget;
            assert!(
                budget.spent + budget.reserved <= budget.limit,
                "the ledger overspent"
            );
            if record.root == *number {
                let spent = self.oracle.really_spent.get(number).copied().unwrap_or(0);
                assert!(
                    spent <= budget.limit,
                    "really spent {spent} of {}",
                    budget.limit
                );
                assert!(
                    spent <= budget.spent,
                    "spent {spent}, booked {}",
                    budget.spent
                );
            }
        }
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn holds(operations: Vec<Operation>) -> bool {
    let mut fuzz = Fuzz::new();
    for operation in operations {
        fuzz.perform(operation);
    }
    true
}

#[test]
fn fuzz_machine_agrees_with_the_oracle() {
    let cases = setting("FIELDHOOK_FUZZ_CASES", 2_000);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(
            120,
            setting("FIELDHOOK_FUZZ_SEED", 11),
        ))
        .tests(cases)
        .max_tests(cases * 2)
        .quickcheck(holds as fn(Vec<Operation>) -> bool);
}
