//! Builds the configuration of the routing policy from the settings.

use crate::error::SettingsError;
use crate::lookup::{non_negative, optional_seconds, positive, seconds, value_at};
use crate::service::drain_grace;
use milletpath_policy::{Idempotency, KeyScope, PolicyConfig, Profile, RequestBudget, SizeMeaning};
use serde_json::Value;

/// Builds the policy configuration; the error names a setting that is missing or out of range. `seed` makes otherwise
/// identical routers decide differently.
pub fn policy_config(settings: &Value, seed: u64) -> Result<PolicyConfig, SettingsError> {
    let classes: Vec<Value> =
        value_at(settings, "/Classes").ok_or_else(|| SettingsError::invalid("Classes"))?;
    let profiles = classes.iter().enumerate().map(profile).collect::<Result<Vec<_>, _>>()?;
    let flag = |path| value_at::<bool>(settings, path).unwrap_or(false);
    let reports_load = value_at::<&str>(settings, "/Telemetry/Via").is_some_and(|via| via != "off");
    Ok(PolicyConfig {
        seed,
        routers: positive(settings, "/Balancers")? as usize,
        profiles,
        quotas: quotas(settings),
        rate_limits: Vec::new(),
        retry_budget: None,
        max_in_flight: f64::INFINITY,
        over_quota_weight: value_at(settings, "/OverShareWorth").unwrap_or(1.0),
        max_attempts: positive(settings, "/Limits/MaxAttempts")? as usize,
        can_cancel: flag("/Limits/Cancelling"),
        can_request_loads: flag("/FamilyInfo/PlacementCalls"),
        reports_missing_functions: value_at::<&str>(settings, "/FamilyInfo/MissMode") == Some("miss"),
        watches_on_request: value_at::<&str>(settings, "/RegistryMode") == Some("subscribe"),
        can_check_health: flag("/Limits/Probing"),
        health_checks_report_load: reports_load,
        // The simulator reports every change of the list. A router on the platform depends on its discovery stream and
        // overrides this value.
        list_valid_for: f64::INFINITY,
        draining_workers_reject: true,
        acceptance_valid_for: drain_grace(settings)?,
        max_retry_after: optional_seconds(settings, "/Limits/MaxRetryAfter")
            .filter(|_| flag("/Limits/RetryAfter")),
        keep_alive: optional_seconds(settings, "/FamilyInfo/KeepAlive").unwrap_or(0.0),
        load_budget: load_budget(settings),
        load_request_timeout: optional_seconds(settings, "/FamilyInfo/LoadWait").unwrap_or(f64::INFINITY),
        initial_capacity: non_negative(settings, "/Rules/StartCapacity")?,
        warm_up: seconds(settings, "/Rules/WarmUp")?,
        overload_multiple: non_negative(settings, "/Rules/TipMultiple")?,
        overload_window: seconds(settings, "/Rules/OverloadFor")?,
        size_meaning: size_meaning(settings),
        // A router on the platform is granted a certain amount of memory, and overrides this value.
        function_memory: usize::MAX,
        memory: value_at(settings, "/FamilyInfo/MemoryMbByKind").unwrap_or_default(),
        clock_resolution: seconds(settings, "/Tick")?,
    })
}

/// Reads the quota of each client group in requests per second; infinite if absent.
fn quotas(settings: &Value) -> Vec<f64> {
    let tenants: Vec<Value> = value_at(settings, "/Tenants").unwrap_or_default();
    tenants.iter().map(|tenant| value_at(tenant, "/QuotaPerS").unwrap_or(f64::INFINITY)).collect()
}

/// Reads what the sizes of workers state. Sizes that are all alike, or approximate, are capacities too.
fn size_meaning(settings: &Value) -> SizeMeaning {
    match value_at::<&str>(settings, "/Weights") {
        Some("live") => SizeMeaning::FreeCapacity,
        _ => SizeMeaning::Capacity,
    }
}

/// Reads the budget for load requests; `None` if the settings do not limit them.
fn load_budget(settings: &Value) -> Option<RequestBudget> {
    let window = optional_seconds(settings, "/FamilyInfo/LoadPeriod")?;
    let free = value_at(settings, "/FamilyInfo/FreeLoads").unwrap_or(0.0);
    let earned_per_request = value_at(settings, "/FamilyInfo/LoadShare").unwrap_or(0.0);
    Some(RequestBudget { window, free, earned_per_request })
}

/// Converts one of the settings' classes to a profile; `index` is its position in the list, for error messages.
fn profile((index, class): (usize, &Value)) -> Result<Profile, SettingsError> {
    let read = || {
        let idempotency = idempotency(class)?;
        Ok(Profile { latency_objective: seconds(class, "/Objective")?, idempotency })
    };
    read().map_err(|error: SettingsError| error.within(&format!("Classes[{index}]")))
}

fn idempotency(class: &Value) -> Result<Idempotency, SettingsError> {
    match value_at::<&str>(class, "/Effect") {
        Some("free") => Ok(Idempotency::Idempotent),
        Some("single_shot") => Ok(Idempotency::NonIdempotent),
        Some("guarded") => {
            let scope = key_scope(class).ok_or_else(|| SettingsError::invalid("KeyScope"))?;
            Ok(Idempotency::IdempotentWithKey { scope, retention: seconds(class, "/DedupWindow")? })
        }
        _ => Err(SettingsError::invalid("Effect")),
    }
}

/// Reads which workers share their knowledge of an idempotency key.
fn key_scope(class: &Value) -> Option<KeyScope> {
    match value_at::<&str>(class, "/KeyScope") {
        Some("zone") => Some(KeyScope::Zone),
        Some("cell") => Some(KeyScope::Cell),
        Some("all") => Some(KeyScope::All),
        _ => None,
    }
}
