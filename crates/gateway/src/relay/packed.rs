//! Records of a followed topic as they go from daemon to daemon. Entries of servers repeat the
//! names of their fields: compressed, thousands of them fit the link of the smallest machine.

use fieldhook_log::api::KeyedRecord;
use nanoserde::{DeBin, SerBin};

#[derive(SerBin, DeBin)]
struct Record {
    offset: u64,
    key: Vec<u8>,
    value: Vec<u8>,
}

/// Packs records.
pub fn pack(records: &[(u64, KeyedRecord)]) -> Vec<u8> {
    let records: Vec<Record> = records
        .iter()
        .map(|(offset, record)| Record {
            offset: *offset,
            key: record.key.clone(),
            value: record.value.clone(),
        })
        .collect();
    lz4_flex::compress_prepend_size(&records.serialize_bin())
}

/// Unpacks records; `None` where they are not whole.
pub fn unpack(packed: &[u8]) -> Option<Vec<(u64, KeyedRecord)>> {
    let bytes = lz4_flex::decompress_size_prepended(packed).ok()?;
    let records: Vec<Record> = Vec::deserialize_bin(&bytes).ok()?;
    let keyed = records.into_iter().map(|record| {
        let keyed = KeyedRecord {
            key: record.key,
            value: record.value,
        };
        (record.offset, keyed)
    });
    Some(keyed.collect())
}
