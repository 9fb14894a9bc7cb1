//! A tool or application server: answers any call, counts each execution by
//! request key, and does not deduplicate, so that a request that is sent twice
//! shows.

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
    offers_lookup: bool,
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

/// Runs the stand-in. `offers_lookup` says whether past requests can be asked
/// for by key, which not every server offers.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(address: &str, work_ms: u32, offers_lookup: bool) -> io::Result<()> {
    serve(address, move |config: &mut ServiceConfig| {
        let executions = Rc::default();
        Faults::default().configure(config);
        config
            .state(Server {
                work_ms,
                offers_lookup,
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
    if let Err(answer) = faults.before().await {
        return answer;
    }
    let key = request
        .headers()
        .get(REQUEST_KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    let Some(key) = key else {
        return text(400, "send the header x-request-key");
    };
    sleep(Millis(server.work_ms)).await;
    let answer = server.execute(key, &path, &String::from_utf8_lossy(&body));
    faults.after(text(200, answer)).await
}

async fn list_executions(server: types::State<Server>) -> HttpResponse {
    json(200, &*server.executions.borrow())
}

async fn show_execution(server: types::State<Server>, key: types::Path<String>) -> HttpResponse {
    if !server.offers_lookup {
        return text(501, "this server does not offer to look requests up");
    }
    match server.executions.borrow().get(&*key) {
        Some(execution) => json(200, execution),
        None => text(404, "not seen"),
    }
}
