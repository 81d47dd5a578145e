use super::*;

#[test]
fn dropped_reservation_frees_memory() {
    let memory_budget = MemoryBudget::new(2000);
    let mut one = memory_budget.reserve(600);
    let other = memory_budget.reserve(300);
    assert!(!memory_budget.is_full());
    one.resize(700);
    assert!(memory_budget.is_full());
    drop(other);
    assert!(!memory_budget.is_full() && memory_budget.reserved.get() == 700);
    drop(one);
    assert_eq!(memory_budget.reserved.get(), 0);
}
