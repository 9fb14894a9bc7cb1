//! Encoding of the records of a followed topic for transfer between daemons. Server entries repeat
//! their field names; compressed, thousands of them fit the network link of the smallest machine.

use fieldhook_log::api::KeyedRecord;
use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};
use nanoserde::{DeBin, SerBin};
use std::io::Read;

/// Maximum size of an unpacked page or batch, in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 << 20;

#[derive(SerBin, DeBin)]
struct Record {
    offset: u64,
    key: Vec<u8>,
    value: Vec<u8>,
}

/// Serializes and compresses records.
pub fn pack(records: &[(u64, KeyedRecord)]) -> Vec<u8> {
    let records: Vec<Record> = records
        .iter()
        .map(|(offset, record)| Record {
            offset: *offset,
            key: record.key.clone(),
            value: record.value.clone(),
        })
        .collect();
    let bytes = records.serialize_bin();
    let mut packed = Vec::with_capacity(bytes.len() / 4);
    let read = ZlibEncoder::new(bytes.as_slice(), Compression::fast()).read_to_end(&mut packed);
    // Reading from memory cannot fail.
    debug_assert!(read.is_ok());
    packed
}

/// Decompresses and deserializes records. Returns `None` if the data is truncated or malformed.
pub fn unpack(packed: &[u8]) -> Option<Vec<(u64, KeyedRecord)>> {
    let mut bytes = Vec::with_capacity(packed.len() * 4);
    let mut reader = ZlibDecoder::new(packed).take(MAX_UNPACKED_BYTES);
    reader.read_to_end(&mut bytes).ok()?;
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
