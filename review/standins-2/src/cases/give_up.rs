//! A client with 32 open requests withdraws four and sends four new ones in one write. By the page it never has more than
//! 32 open.

use super::Platform;
use crate::client::{Answer, Client, Request, wait_until};
use crate::record::Record;
use crate::router::{Router, Settings};
use crate::{CaseError, Verdict};
use std::time::Duration;

/// Requests that may be open on one connection.
const MAX_OPEN: usize = 32;
/// Requests that the client withdraws and replaces.
const REPLACED: usize = 4;

/// Runs the case.
pub fn run(with_trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let platform = Platform::start(Duration::from_millis(400), record)?;
    let settings = Settings::default();
    let mut router = Router::start(&settings, platform.bulletin.address, &platform.workers, record)?;
    let mut client = Client::connect("client", router.address, record)?;
    let new_request = |client: &mut Client, n: usize| {
        let function = n % 8 + 1;
        let params = format!(
            "\"d\":3000,\"t\":\"acme\",\"o\":\"{function:016x}\",\
             \"info\":\"memory_mb:512;lanes:8;load_ms:640\""
        );
        client.request("refill-check", &params)
    };
    let mut requests: Vec<Request> = (0..MAX_OPEN).map(|n| new_request(&mut client, n)).collect();
    let lines: String = requests.iter().map(|request| request.line.as_str()).collect();
    client.send(&lines)?;
    let all_begun = || requests.iter().all(|request| platform.runs.has_begun(request.id));
    if !wait_until(Duration::from_millis(350), all_begun) {
        return Err(format!("only {} of 32 requests began to run", platform.runs.begun_count()).into());
    }
    if requests.iter().any(|request| !client.answers(request).is_empty()) {
        return Err("a request was answered before the disruption".into());
    }
    // Without the disruption the client sends its new requests once it has room for them.
    if !with_trouble {
        for request in &requests[..REPLACED] {
            client.wait_for(request, Duration::from_millis(3600));
        }
    }
    let new: Vec<_> = (0..REPLACED).map(|n| new_request(&mut client, MAX_OPEN + n)).collect();
    let mut lines = String::new();
    if with_trouble {
        record.line("the client withdraws four requests and sends four: 32 are open");
        lines.extend(requests.drain(..REPLACED).map(|request| Client::give_up(&request)));
    }
    lines.extend(new.iter().map(|request| request.line.as_str()));
    client.send(&lines)?;
    requests.extend(new);
    let mut lost = 0;
    for request in &requests {
        // Their time of 3 s and the half second in which an answer only earns nothing.
        let answer = client.wait_for(request, Duration::from_millis(3600));
        let fate = match &answer {
            Some(Answer::Served) => "served".to_owned(),
            Some(Answer::Refused) => "refused".to_owned(),
            Some(Answer::Failed(line)) => format!("failed: {line}"),
            None => {
                lost += 1;
                format!("LOST: no answer, connection ended by the router: {}", client.has_ended())
            }
        };
        let (runs, given_up) = (platform.runs.has_begun(request.id), platform.runs.is_given_up(request.id));
        let id = request.id;
        record
            .line(&format!("{id:016x}: run by a worker: {runs}; given up by the router: {given_up}; {fate}"));
    }
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    record.line(&format!("{lost} of {} requests that the client waits for were lost", requests.len()));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
