//! A bad client names a tenant that does not exist, at a site whose settings have no tenants.

use super::Platform;
use crate::client::{Answer, Client};
use crate::record::Record;
use crate::router::{Router, Settings};
use crate::{CaseError, Verdict};
use std::time::Duration;

/// Runs the case.
pub fn run(with_trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    let platform = Platform::start(Duration::from_millis(50), record)?;
    let settings = Settings { tenants: "[]", ..Settings::default() };
    let mut router = Router::start(&settings, platform.bulletin.address, &platform.workers, record)?;
    let common = "\"d\":3000,\"o\":\"00000000000000a1\",\"info\":\"memory_mb:512;lanes:2;load_ms:640\"";
    let mut usual = Client::connect("usual client", router.address, record)?;
    let request = usual.request("refill-check", common);
    usual.send(&request.line)?;
    if usual.wait_for(&request, Duration::from_millis(3600)) != Some(Answer::Served) {
        return Err("a usual request was not served".into());
    }
    let mut served = 0;
    for n in 0..5 {
        let mut client = Client::connect(&format!("client {n}"), router.address, record)?;
        let tenant = if with_trouble { format!(",\"t\":\"no-such-clinic-{n}\"") } else { String::new() };
        let request = client.request("refill-check", &format!("{common}{tenant}"));
        client.send(&request.line)?;
        let answer = client.wait_for(&request, Duration::from_millis(3600));
        let is_bad = with_trouble;
        record.line(&format!(
            "client {n}, bad: {is_bad}: {answer:?}, a worker ran it: {}",
            platform.runs.has_begun(request.id)
        ));
        if is_bad && answer == Some(Answer::Served) {
            served += 1;
        }
    }
    if !router.is_running() {
        return Err("the router has ended".into());
    }
    record.line(&format!("{served} bad clients were answered 'served'"));
    Ok(if served > 0 { Verdict::Broken } else { Verdict::Held })
}
