//! Reads the platform's settings object, as the bench's wire hands it to an instance and the platform's file holds
//! it: one reader for both. It gives the charter of the decisions, and what a router on sockets needs beside it.

use milletpath_policy::host::{Charter, Effect, Group, Profile, Report};
use serde::Deserialize;
use serde_json::Value;

/// The value at a path of the settings; none where it is absent or of another type.
fn at<'v, T: Deserialize<'v>>(settings: &'v Value, path: &str) -> Option<T> {
    settings.pointer(path).and_then(|v| T::deserialize(v).ok())
}

fn senseless(name: &str) -> String {
    format!("the setting {name} is missing or senseless")
}

/// A required figure that passes the test.
fn stated(settings: &Value, path: &str, sound: impl Fn(f64) -> bool) -> Result<f64, String> {
    let stated = at::<f64>(settings, path).filter(|x| x.is_finite() && sound(*x));
    stated.ok_or_else(|| senseless(&path[1..].replace('/', ".")))
}

/// A required figure, not negative.
fn figure(settings: &Value, path: &str) -> Result<f64, String> {
    stated(settings, path, |x| x >= 0.0)
}

/// A required figure above zero.
fn positive(settings: &Value, path: &str) -> Result<f64, String> {
    stated(settings, path, |x| x > 0.0)
}

/// A required time, in seconds.
fn seconds(settings: &Value, path: &str) -> Result<f64, String> {
    figure(settings, path).map(|x| x / 1e6)
}

fn profile(class: &Value, n: usize) -> Result<Profile, String> {
    let named = |e: String| e.replacen("the setting ", &format!("the setting Classes[{n}]."), 1);
    let group = match at::<&str>(class, "/KeyScope") {
        Some("zone") => Some(Group::Zone),
        Some("cell") => Some(Group::Cell),
        Some("all") => Some(Group::All),
        _ => None,
    };
    let effect = match (at::<&str>(class, "/Effect"), group) {
        (Some("free"), _) => Effect::Pure,
        (Some("single_shot"), _) => Effect::Effectful,
        (Some("guarded"), Some(group)) => {
            Effect::Receipted { group, memory: seconds(class, "/DedupWindow").map_err(named)? }
        }
        (Some("guarded"), None) => return Err(named(senseless("KeyScope"))),
        _ => return Err(named(senseless("Effect"))),
    };
    Ok(Profile { due: seconds(class, "/Objective").map_err(named)?, effect })
}

/// The settings as they come over a wire.
pub fn read(text: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(text).map_err(|e| format!("the settings are no JSON: {e}"))
}

/// The charter that the settings spell out, or the name of what is wrong with them.
pub fn charter(s: &Value, seed: u64) -> Result<Charter, String> {
    let classes: Vec<Value> = at(s, "/Classes").ok_or_else(|| senseless("Classes"))?;
    let profiles = classes.iter().enumerate().map(|(n, c)| profile(c, n)).collect::<Result<Vec<_>, _>>()?;
    let flag = |path| at::<bool>(s, path).unwrap_or(false);
    let time = |path| at::<f64>(s, path).filter(|x| x.is_finite() && *x > 0.0).map(|x| x / 1e6);
    let tenants: Vec<Value> = at(s, "/Tenants").unwrap_or_default();
    let ration = time("/FamilyInfo/LoadPeriod").map(|window| {
        let free = at(s, "/FamilyInfo/FreeLoads").unwrap_or(0.0);
        (window, free, at(s, "/FamilyInfo/LoadShare").unwrap_or(0.0))
    });
    Ok(Charter {
        seed,
        routers: positive(s, "/Balancers")? as usize,
        profiles,
        quotas: tenants.iter().map(|t| at(t, "/QuotaPerS").unwrap_or(f64::INFINITY)).collect(),
        ceilings: Vec::new(),
        retries: None,
        hand: f64::INFINITY,
        over_share: at(s, "/OverShareWorth").unwrap_or(1.0),
        shots: positive(s, "/Limits/MaxAttempts")? as usize,
        cancels: flag("/Limits/Cancelling"),
        orders: flag("/FamilyInfo/PlacementCalls"),
        misses: at::<&str>(s, "/FamilyInfo/MissMode") == Some("miss"),
        asks: at::<&str>(s, "/RegistryMode") == Some("subscribe"),
        probes: flag("/Limits/Probing") && at::<&str>(s, "/Telemetry/Via").is_some_and(|via| via != "off"),
        come_back: time("/Limits/MaxRetryAfter").filter(|_| flag("/Limits/RetryAfter")),
        keep: time("/FamilyInfo/KeepAlive").unwrap_or(0.0),
        ration,
        order_wait: time("/FamilyInfo/LoadWait").unwrap_or(f64::INFINITY),
        cold_share: figure(s, "/Rules/StartCapacity")?,
        warm_up: seconds(s, "/Rules/WarmUp")?,
        tip_multiple: figure(s, "/Rules/TipMultiple")?,
        tip_window: seconds(s, "/Rules/OverloadFor")?,
        memory: at(s, "/FamilyInfo/MemoryMbByKind").unwrap_or_default(),
        tick: seconds(s, "/Tick")?,
    })
}

/// The names of the values in a load report, in their order.
pub fn report_names(settings: &Value) -> Vec<String> {
    at(settings, "/Telemetry/Names").unwrap_or_default()
}

/// Puts one value of a load report where it belongs; what is no figure, or of a name unknown, is left out.
pub fn note(report: &mut Report, name: &str, value: f64) {
    let value = Some(value).filter(|x| x.is_finite());
    match name {
        "rif" => report.held = value,
        "q" => report.waiting = value,
        "busy" => report.busy = value,
        "x0" => report.memory = value,
        "x1" => report.loading = value,
        _ => {}
    }
}

/// The profiles as clients name them, each with its cut-off in seconds and the importance of one activation.
pub fn profiles(settings: &Value) -> Result<Vec<(String, f64, f64)>, String> {
    let classes: Vec<Value> = at(settings, "/Classes").unwrap_or_default();
    let profile = |(n, class): (usize, &Value)| {
        let name = at(class, "/Name").ok_or_else(|| senseless(&format!("Classes[{n}].Name")))?;
        Ok((name, seconds(class, "/HardLimit")?, at(class, "/Gain").unwrap_or(1.0)))
    };
    classes.iter().enumerate().map(profile).collect()
}

/// The client groups, in the order of the charter's quotas.
pub fn clients(settings: &Value) -> Vec<String> {
    let tenants: Vec<Value> = at(settings, "/Tenants").unwrap_or_default();
    tenants.iter().map(|t| at(t, "/Name").unwrap_or_default()).collect()
}

/// The kinds of workers, in the order of the charter's memory.
pub fn kinds(settings: &Value) -> Vec<String> {
    at(settings, "/Kinds").unwrap_or_default()
}

/// A time limit by its name, in seconds.
pub fn limit(settings: &Value, name: &str) -> Result<f64, String> {
    seconds(settings, &format!("/Limits/{name}"))
}

/// A count among the limits; the default where it is not stated.
pub fn count(settings: &Value, name: &str, default: usize) -> usize {
    at::<f64>(settings, &format!("/Limits/{name}")).filter(|n| *n >= 1.0).map_or(default, |n| n as usize)
}

/// Seconds after word of a drain past which nothing is sent.
pub fn grace(settings: &Value) -> Result<f64, String> {
    seconds(settings, "/Rules/DrainGrace")
}
