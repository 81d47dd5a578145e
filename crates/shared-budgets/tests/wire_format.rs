//! Verifies that messages and operators' views stay byte for byte as the version of 2026-12-02 wrote them. Gateways
//! of two versions run side by side during an upgrade, and operators' scripts read the JSON.

use milletpath_shared_budgets::{BudgetKind, Entitlement, FunctionConcurrency, SharedBudgets, UsageMeter};

const REQUESTER: u64 = 1;
const LENDER: u64 = 2;
const FULL_ENTITLEMENT: Entitlement =
    Entitlement { fraction: 1.0, floor_fraction: 1.0, valid_until: f64::INFINITY };

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn gateway(own_id: u64, peer: u64) -> (SharedBudgets, [usize; 3]) {
    let mut shared_budgets = SharedBudgets::new(own_id, 3.0, own_id, 0.0);
    shared_budgets.set_entitlement(0.0, FULL_ENTITLEMENT, vec![peer]);
    let slots = [
        ("quota a", BudgetKind::Rate, 10.0),
        ("orders", BudgetKind::Window(10.0), 4.0),
        ("in flight w", BudgetKind::InFlight(2.5), 3.0),
    ]
    .map(|(name, kind, quota)| shared_budgets.open(0.0, name, kind, quota));
    (shared_budgets, slots)
}

/// A gateway whose demand exceeds its quota of three budgets, ten seconds after its start.
fn requester() -> SharedBudgets {
    let (mut shared_budgets, [rate, window, in_flight]) = gateway(REQUESTER, LENDER);
    shared_budgets.record_usage(10.0, rate, UsageMeter { requested: 500, denied: 100, in_use: 0.0 });
    shared_budgets.record_usage(10.0, window, UsageMeter { requested: 6, denied: 2, in_use: 4.0 });
    shared_budgets.record_usage(10.0, in_flight, UsageMeter { requested: 5, denied: 2, in_use: 3.0 });
    shared_budgets.tick(10.0);
    shared_budgets
}

fn sent(shared_budgets: &mut SharedBudgets) -> Vec<String> {
    std::iter::from_fn(|| shared_budgets.next_message())
        .map(|message| format!("{} {}", message.recipient, hex(&message.bytes)))
        .collect()
}

#[test]
fn requests_for_leases_keep_their_bytes() {
    let request = "2 a700010183831b1c06a437d18487ed1a03211620f5831b641411ff0eb7c2e71a00487ab0f5831b8b3a2c79f9adc1\
                   651a0044aa20f502800300058006800700";
    assert_eq!(sent(&mut requester()), [request]);
}

#[test]
fn granted_leases_keep_their_bytes() {
    let (mut lender, _) = gateway(LENDER, REQUESTER);
    let request = requester().next_message().expect("units were denied").bytes;
    lender.receive(10.0, REQUESTER, &request, &mut |_| None);
    let grant = "1 a7000101800283831b1c06a437d18487ed1a0090f56000831b641411ff0eb7c2e71a001cfde01a001cfde0831b8b3a2c\
                 79f9adc1651a000f42401a000f4240031907d0058006800700";
    assert_eq!(sent(&mut lender), [grant]);
}

fn example_concurrency() -> Vec<FunctionConcurrency> {
    let functions = [(7, 1.5), (8, 0.25), (1 << 40, 12.0)];
    functions.map(|(function, concurrency)| FunctionConcurrency { function, concurrency }).to_vec()
}

#[test]
fn usage_reports_keep_their_bytes() {
    let (mut shared_budgets, _) = gateway(REQUESTER, LENDER);
    shared_budgets.report_usage(10.0, example_concurrency);
    let reports = [
        "2 a800000180028003000402058006800700",
        "2 a800000180028003000403058006800700",
        "2 a800000180028003000405058006800700",
        "2 a8000001800280030004060581821b0000010000000000192ee006800700",
        "2 a800000180028003000409058006800700",
        "2 a80000018002800300040a058006800700",
        "2 a80000018002800300040b058006800700",
        "2 a80000018002800300040c058006800700",
        "2 a80000018002800300040e0581820818fa06800700",
        "2 a80000018002800300040f058182071905dc06800700",
    ];
    assert_eq!(sent(&mut shared_budgets), reports);
}

#[test]
fn usage_totals_keep_their_bytes() {
    let (mut reporter, _) = gateway(REQUESTER, LENDER);
    let (mut aggregator, _) = gateway(LENDER, REQUESTER);
    aggregator.report_usage(10.0, example_concurrency);
    reporter.report_usage(10.0, example_concurrency);
    // Discards the aggregator's own reports, so that only its answers remain.
    while aggregator.next_message().is_some() {}
    while let Some(report) = reporter.next_message() {
        aggregator.receive(10.0, REQUESTER, &report.bytes, &mut |_| None);
    }
    let totals = [
        "1 a800000180028003000402058006800701",
        "1 a800000180028003000403058006800701",
        "1 a800000180028003000405058006800701",
        "1 a80000018002800300040605800681821b0000010000000000192ee00701",
        "1 a800000180028003000409058006800701",
        "1 a80000018002800300040a058006800701",
        "1 a80000018002800300040b058006800701",
        "1 a80000018002800300040c058006800701",
        "1 a80000018002800300040e05800681820818fa0701",
        "1 a80000018002800300040f0580068182071905dc0701",
    ];
    assert_eq!(sent(&mut aggregator), totals);
}

#[test]
fn the_view_for_operators_keeps_its_json() {
    let mut requester = requester();
    let request = requester.next_message().expect("units were denied").bytes;
    let (mut lender, _) = gateway(LENDER, REQUESTER);
    lender.receive(10.0, REQUESTER, &request, &mut |_| None);
    let grant = lender.next_message().expect("nothing is in use there").bytes;
    requester.receive(10.0, LENDER, &grant, &mut |_| None);
    requester.receive(10.0, LENDER, b"not a message", &mut |_| None);
    let json = |shared_budgets: &mut SharedBudgets| {
        let (view, counters) = (shared_budgets.view(10.0), shared_budgets.counters());
        serde_json::to_string(&(view, counters)).expect("plain data")
    };
    assert_eq!(json(&mut requester), include_str!("fixtures/requester_view.json").trim_end());
    assert_eq!(json(&mut lender), include_str!("fixtures/lender_view.json").trim_end());
}
