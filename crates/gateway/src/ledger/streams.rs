//! Records and looks up the origins of streams at the owners of their partitions.

use super::client::LedgerClient;
use fieldhook_ledger::message::{
    FoundStream, LedgerReply, LedgerRequest, RecordStream, RequestKey,
};
use fieldhook_ledger::software::ServiceSoftware;
use fieldhook_ledger::streams::StreamOrigin;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl LedgerClient {
    /// Records the origin of a stream in the background, until it is durable or the deadline has
    /// passed. The receiver is notified once an owner has accepted it.
    pub fn record_stream(
        self: &Rc<Self>,
        request: RecordStream,
        deadline: Instant,
    ) -> oneshot::Receiver<()> {
        let stream = request.stream.name.name.clone();
        let log_health = self.log_health.clone();
        let request = LedgerRequest::RecordStream(request);
        self.record_in_background(request, deadline, move |partition| {
            tracing::info!(
                event = "stream_not_durable",
                request = stream,
                partition,
                log_age_ms = log_health.ms_since_answer()
            );
        })
    }

    /// Whether the partition that a service's name hashes to has an owner, as far as known.
    pub fn has_owner(&self, service: &str) -> bool {
        let claim = self.owner.claims.claim(self.partition_of(service));
        claim.is_some_and(|claim| claim.address.is_some())
    }

    /// Registers the software of a server; returns whether that is durable.
    pub async fn register_software(&self, origin: StreamOrigin, deadline: Instant) -> bool {
        let request = LedgerRequest::RegisterSoftware(origin);
        self.record(&request, || {}, deadline).await.is_durable()
    }

    /// Returns the software that may have begun streams of a service; `None` if no owner replied by
    /// the deadline.
    pub async fn find_software(&self, service: &str, deadline: Instant) -> Option<ServiceSoftware> {
        let request = LedgerRequest::FindSoftware(service.to_owned());
        match self.request_until_answered(&request, deadline).await {
            Some((LedgerReply::Software(software), _)) => Some(software),
            _ => None,
        }
    }

    /// Looks up the origin of a stream; `None` if no owner replied by the deadline.
    pub async fn find_stream(
        &self,
        stream: RequestKey,
        deadline: Instant,
    ) -> Option<Option<FoundStream>> {
        let request = LedgerRequest::FindStream(stream);
        match self.request_until_answered(&request, deadline).await {
            Some((LedgerReply::Stream(found), _)) => Some(found),
            _ => None,
        }
    }
}
