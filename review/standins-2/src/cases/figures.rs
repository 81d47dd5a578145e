//! Bad clients send figures that are out of range or not numbers.

use super::Platform;
use crate::client::{Answer, Client};
use crate::record::Record;
use crate::router::{Router, Settings};
use crate::{CaseError, Verdict};
use std::time::Duration;

/// The figures of a usual request.
const USUAL: &str = "memory_mb:512;lanes:2;load_ms:640;hint:12000";

/// Figures of bad clients: a copy that runs nothing at a time, and expected work that is no number or less than none.
const BAD: [&str; 4] = [
    "memory_mb:512;lanes:0;load_ms:640;hint:12000",
    "memory_mb:512;lanes:2;load_ms:640;hint:many",
    "memory_mb:512;lanes:2;load_ms:640;hint:-12000",
    "memory_mb:512;lanes;load_ms:640;hint:12000",
];

/// Runs the case.
pub fn run(with_trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let platform = Platform::start(Duration::from_millis(50), record)?;
    let settings = Settings::default();
    let mut router = Router::start(&settings, platform.bulletin.address, &platform.workers, record)?;
    let params =
        |info: &str| format!("\"d\":3000,\"t\":\"acme\",\"o\":\"00000000000000a1\",\"info\":\"{info}\"");
    let mut usual = Client::connect("usual client", router.address, record)?;
    let request = usual.request("refill-check", &params(USUAL));
    usual.send(&request.line)?;
    if usual.wait_for(&request, Duration::from_millis(3600)) != Some(Answer::Served) {
        return Err("a usual request was not served".into());
    }
    let mut served = 0;
    for (n, bad) in BAD.into_iter().enumerate() {
        let mut client = Client::connect(&format!("client {n}"), router.address, record)?;
        let request = client.request("refill-check", &params(if with_trouble { bad } else { USUAL }));
        client.send(&request.line)?;
        let answer = client.wait_for(&request, Duration::from_millis(3600));
        record.line(&format!(
            "client {n}, bad: {with_trouble}: {answer:?}, a worker ran it: {}",
            platform.runs.has_begun(request.id)
        ));
        if with_trouble && answer == Some(Answer::Served) {
            served += 1;
        }
    }
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    record.line(&format!("{served} bad clients were answered 'served'"));
    Ok(if served > 0 { Verdict::Broken } else { Verdict::Held })
}
