//! Emulator of a tool or application server. It accepts any call and counts
//! executions by request key without deduplication, so that a request that was
//! sent twice is visible in the count.

use crate::faults::Faults;
use crate::serve::serve;
use fieldhook_http::{json, text};
use fieldhook_model::platform::{Execution, REQUEST_KEY_HEADER};
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig, types};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone)]
struct Server {
    work_ms: u32,
    supports_lookup: bool,
    executions: Rc<RefCell<BTreeMap<String, Execution>>>,
}

impl Server {
    fn execute(&self, key: &str, path: &str, body: &str) -> String {
        let mut executions = self.executions.borrow_mut();
        let execution = executions.entry(key.to_owned()).or_default();
        execution.count += 1;
        execution.answer = format!("{path} done for {key} ({} bytes)", body.len());
        execution.answer.clone()
    }
}

/// Serves the emulated server on an address. `supports_lookup` enables the
/// lookup of executed requests by key, which not every real server supports.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(address: &str, work_ms: u32, supports_lookup: bool) -> io::Result<()> {
    serve(address, move |config: &mut ServiceConfig| {
        let executions = Rc::default();
        Faults::default().configure(config);
        config
            .state(Server {
                work_ms,
                supports_lookup,
                executions,
            })
            .route("/call/{path}*", web::post().to(execute_request))
            .route("/v1/executions", web::get().to(list_executions))
            .route("/v1/executions/{key}", web::get().to(show_execution));
    })
    .await
}

async fn execute_request(
    server: types::State<Server>,
    faults: types::State<Faults>,
    request: HttpRequest,
    path: types::Path<String>,
    body: Bytes,
) -> HttpResponse {
    if let Err(response) = faults.before_request().await {
        return response;
    }
    let key = request
        .headers()
        .get(REQUEST_KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    let Some(key) = key else {
        return text(400, "send the header x-request-key");
    };
    sleep(Millis(server.work_ms)).await;
    let response = server.execute(key, &path, &String::from_utf8_lossy(&body));
    faults.finish_request(text(200, response)).await
}

async fn list_executions(server: types::State<Server>) -> HttpResponse {
    json(200, &*server.executions.borrow())
}

async fn show_execution(server: types::State<Server>, key: types::Path<String>) -> HttpResponse {
    if !server.supports_lookup {
        return text(501, "this server does not offer to look requests up");
    }
    match server.executions.borrow().get(&*key) {
        Some(execution) => json(200, execution),
        None => text(404, "not seen"),
    }
}
