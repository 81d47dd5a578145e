//! Opening and closing budgets, and publishing their adjustments.

use milletpath_shared_budgets::{
    BudgetKind, CloseError, Entitlement, QuotaAdjustment, SharedBudgets, SlotAdjustment, UsageMeter,
};

const BORROWER: u64 = 1;
const LENDER: u64 = 2;
const ENTITLEMENT: Entitlement =
    Entitlement { fraction: 1.0, floor_fraction: 1.0, valid_until: f64::INFINITY };

/// A gateway with one budget, a rate with a quota of 10.
fn gateway(own_id: u64, peer: u64) -> (SharedBudgets, usize) {
    let mut budgets = SharedBudgets::new(own_id, 3.0, own_id, 0.0);
    budgets.set_entitlement(0.0, ENTITLEMENT, vec![peer]);
    let slot = budgets.open(0.0, "rate", BudgetKind::Rate, 10.0);
    (budgets, slot)
}

/// A lender that granted a lease at 10 s, after any leases of its predecessor have ended.
fn lender() -> (SharedBudgets, usize) {
    let (mut borrower, slot) = gateway(BORROWER, LENDER);
    borrower.record_usage(10.0, slot, UsageMeter { requested: 500, denied: 100, in_use: 0.0 });
    borrower.tick(10.0);
    let request = borrower.next_message().expect("units were denied");
    let (mut lender, slot) = gateway(LENDER, BORROWER);
    lender.receive(10.0, BORROWER, &request.bytes, &mut |_| None);
    assert!(lender.next_message().is_some(), "it grants a lease");
    // Removes the ended leases that its predecessor may have granted.
    lender.tick(10.0);
    (lender, slot)
}

#[test]
fn a_budget_is_not_closed_while_some_of_it_is_leased() {
    let (mut lender, slot) = lender();
    assert_eq!(lender.close(10.0, slot), Err(CloseError::Leased { granted: 9.5 }));
    assert_eq!(lender.allowed(10.0, slot), 0.5);
    let end = lender.next_grant_end().expect("it has granted a lease");
    assert_eq!(lender.close(end, slot), Ok(()));
    assert_eq!(lender.allowed(end, slot), 0.0);
}

#[test]
fn a_budget_that_is_opened_again_keeps_its_slot_and_leases() {
    let (mut lender, slot) = lender();
    assert_eq!(lender.open(10.0, "rate", BudgetKind::Rate, 20.0), slot);
    assert_eq!(lender.allowed(10.0, slot), 10.5);
}

#[test]
fn name_and_kind_together_identify_a_budget() {
    let (mut budgets, slot) = gateway(BORROWER, LENDER);
    assert_ne!(budgets.open(0.0, "rate", BudgetKind::Window(1.0), 10.0), slot);
    assert_ne!(budgets.open(0.0, "another", BudgetKind::Rate, 10.0), slot);
}

#[test]
fn the_slot_of_a_closed_budget_is_used_again() {
    let (mut budgets, slot) = gateway(BORROWER, LENDER);
    assert_eq!(budgets.close(10.0, slot), Ok(()));
    assert_eq!(budgets.open(10.0, "another", BudgetKind::Rate, 10.0), slot);
}

#[test]
fn an_adjustment_is_returned_once_and_again_after_a_resend() {
    let (mut lender, slot) = lender();
    let adjustment = QuotaAdjustment { amount: -9.5, amount_after_expiry: -9.5, valid_until: f64::INFINITY };
    assert_eq!(lender.take_adjustments(10.0), [SlotAdjustment { slot, adjustment }]);
    assert_eq!(lender.take_adjustments(10.0), []);
    lender.resend_adjustments();
    assert_eq!(lender.take_adjustments(10.0), [SlotAdjustment { slot, adjustment }]);
}
