//! Client for the log service in the protocol of the project's emulator: the binary messages of
//! [`fieldhook_log::wire`] over HTTP.

use fieldhook_http::{HttpClient, SendError};
use fieldhook_log::api::{
    Append, Appended, LogStore, NewestPage, Partition, ReadBatch, StoreError, Trim,
};
use fieldhook_log::log_health::LogHealth;
use fieldhook_log::wire::{AppendCall, NewestCall, ReadCall, StoreCall, StoreReply, TrimCall};
use futures_util::future::LocalBoxFuture;
use std::rc::Rc;
use std::time::Duration;

/// [`LogStore`] that sends calls to a log service over HTTP.
pub struct HttpLog {
    url: String,
    client: HttpClient,
    health: Rc<LogHealth>,
}

impl HttpLog {
    /// Creates a client for the log service at an address.
    pub fn new(address: &str, client: HttpClient, health: Rc<LogHealth>) -> Self {
        Self {
            url: format!("http://{address}/v1/topics"),
            client,
            health,
        }
    }

    async fn call(&self, call: StoreCall, timeout: Duration) -> Result<StoreReply, StoreError> {
        let reply = self
            .client
            .post_binary::<StoreCall, StoreReply>(&self.url, &call, timeout)
            .await;
        match reply {
            Ok(reply) => {
                self.health.record_answer();
                Ok(reply)
            }
            Err(SendError::NotSent(_) | SendError::Status { .. }) => {
                self.health.record_failure();
                Err(StoreError::NotDone)
            }
            Err(SendError::Unknown(_)) => {
                self.health.record_failure();
                Err(StoreError::Unknown)
            }
        }
    }

    async fn append_call(&self, append: Append) -> Result<Appended, StoreError> {
        let call = StoreCall::Append(AppendCall::from(&append));
        self.call(call, append.timeout).await?.appended()
    }

    async fn read_call(&self, call: ReadCall, timeout: Duration) -> Result<ReadBatch, StoreError> {
        self.call(StoreCall::Read(call), timeout).await?.batch()
    }

    async fn newest_call(
        &self,
        call: NewestCall,
        timeout: Duration,
    ) -> Result<NewestPage, StoreError> {
        self.call(StoreCall::Newest(call), timeout).await?.page()
    }

    async fn trim_call(&self, trim: Trim) -> Result<(), StoreError> {
        let call = StoreCall::Trim(TrimCall::from(&trim));
        self.call(call, trim.timeout).await?.trimmed()
    }
}

impl LogStore for HttpLog {
    fn append(&self, append: Append) -> LocalBoxFuture<'_, Result<Appended, StoreError>> {
        Box::pin(self.append_call(append))
    }

    fn read(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>> {
        let call = ReadCall {
            topic: partition.topic,
            partition: partition.number,
            from,
            wait_ms: wait.as_millis() as u64,
        };
        Box::pin(self.read_call(call, timeout))
    }

    fn newest(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<NewestPage, StoreError>> {
        let call = NewestCall {
            topic: partition.topic,
            partition: partition.number,
            after,
        };
        Box::pin(self.newest_call(call, timeout))
    }

    fn trim(&self, trim: Trim) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        Box::pin(self.trim_call(trim))
    }
}
