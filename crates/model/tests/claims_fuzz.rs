//! Claims: whoever reads whatever prefix, one group serves a shard at a time,
//! and its epoch only grows.

use fieldhook_model::claims::{Claim, ClaimRecord, ClaimTable, ClaimedReplica, MemberRecord};
use quickcheck::{Gen, QuickCheck};

fn record(kind: u8, epoch: u8, member: u8) -> String {
    let members = vec![ClaimedReplica {
        address: "127.0.0.1:1".to_owned(),
        incarnation: u64::from(member),
    }];
    let shard = u16::from(kind % 2);
    let epoch = u64::from(epoch % 12);
    let record = if kind < 170 {
        ClaimRecord::Claims(vec![Claim {
            shard,
            replaces: epoch,
            members,
        }])
    } else {
        ClaimRecord::Members(MemberRecord {
            shard,
            epoch,
            index: u64::from(member),
            members,
        })
    };
    serde_json::to_string(&record).expect("encodes")
}

/// The oracle: a claim counts if it names the epoch before it.
fn holds(records: Vec<(u8, u8, u8)>) -> bool {
    let mut table = ClaimTable::default();
    let mut epochs = [0_u64; 2];
    for (offset, (kind, epoch, member)) in records.iter().enumerate() {
        let text = record(*kind, *epoch, *member);
        let formed = table.fold(offset as u64, &text);
        assert!(
            table.fold(offset as u64, &text).is_empty(),
            "a repeated record counted"
        );
        let shard = usize::from(kind % 2);
        let counts = *kind < 170 && u64::from(epoch % 12) == epochs[shard];
        assert_eq!(!formed.is_empty(), counts);
        if counts {
            epochs[shard] = offset as u64 + 1;
        }
        for (shard, epoch) in epochs.iter().enumerate() {
            let known = table
                .groups
                .get(&(shard as u16))
                .map_or(0, |group| group.epoch);
            assert_eq!(known, *epoch, "two groups for one shard");
        }
    }
    true
}

#[test]
fn fuzz_claims_have_one_winner() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 17))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}
