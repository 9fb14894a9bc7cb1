//! Compacted topics over HTTP, in the binary encoding of `fieldhook_log::wire`.

use super::core::LogCore;
use crate::faults::Faults;
use fieldhook_log::api::{Append, Partition};
use fieldhook_log::wire::{NewestCall, ReadCall, StoreCall, StoreReply, TrimCall};
use nanoserde::{DeBin, SerBin};
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{HttpResponse, types};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Millis = Millis(5);

/// The topics, shared by the request handlers.
#[derive(Clone, Default)]
pub struct Topics {
    core: Rc<RefCell<LogCore>>,
}

/// Handles a call to the log service.
pub async fn handle_call(
    topics: types::State<Topics>,
    faults: types::State<Faults>,
    body: Bytes,
) -> HttpResponse {
    let Ok(call) = StoreCall::deserialize_bin(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if let Err(response) = faults.before_partition_call(call.partition()).await {
        return response;
    }
    if faults.take_history_drop() {
        topics.core.borrow_mut().drop_history();
    }
    match call {
        StoreCall::Append(call) => {
            let append = Append::from(call);
            if let Some(delay) = faults.append_delay() {
                ntex::rt::spawn(append_after(topics.core.clone(), append, delay));
                Faults::withhold().await;
                return HttpResponse::ServiceUnavailable().finish();
            }
            let appended = topics.core.borrow_mut().append(&append);
            let reply = appended.map_or_else(StoreReply::from, StoreReply::from);
            faults.finish_request(encode_reply(&reply)).await
        }
        StoreCall::Read(call) => encode_reply(&read(&topics, &call).await),
        StoreCall::Newest(call) => encode_reply(&newest(&topics, &call)),
        StoreCall::Trim(call) => encode_reply(&trim(&topics, call)),
    }
}

/// Applies an append after a delay. The result is discarded, because the caller gets no response.
async fn append_after(core: Rc<RefCell<LogCore>>, append: Append, delay: Duration) {
    sleep(Millis(delay.as_millis() as u32)).await;
    let _ = core.borrow_mut().append(&append);
}

fn encode_reply(reply: &StoreReply) -> HttpResponse {
    HttpResponse::Ok().body(reply.serialize_bin())
}

async fn read(topics: &Topics, call: &ReadCall) -> StoreReply {
    let partition = Partition {
        topic: call.topic.clone(),
        number: call.partition,
    };
    let started = Instant::now();
    let wait = Duration::from_millis(call.wait_ms);
    loop {
        let read = topics.core.borrow_mut().read(&partition, call.from);
        match read {
            Ok(batch) if batch.records.is_empty() && started.elapsed() < wait => {
                sleep(POLL_INTERVAL).await
            }
            Ok(batch) => return batch.into(),
            Err(error) => return error.into(),
        }
    }
}

fn trim(topics: &Topics, call: TrimCall) -> StoreReply {
    let partition = Partition {
        topic: call.topic,
        number: call.partition,
    };
    topics.core.borrow_mut().trim(&partition, call.before);
    StoreReply::Trimmed
}

fn newest(topics: &Topics, call: &NewestCall) -> StoreReply {
    let partition = Partition {
        topic: call.topic.clone(),
        number: call.partition,
    };
    let page = topics
        .core
        .borrow_mut()
        .newest(&partition, call.after.as_deref());
    page.into()
}
