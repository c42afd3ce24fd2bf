//! Shares of a byte budget.

use crate::byte_budget::ByteBudget;

#[test]
fn one_account_gets_half_of_the_budget_and_leaves_as_much_for_others() {
    let budget = ByteBudget::new(1000);
    let (first, second) = (budget.open_account(), budget.open_account());
    let reservations: Vec<_> = std::iter::from_fn(|| first.reserve(100)).collect();
    assert_eq!((reservations.len(), budget.used()), (5, 500));
    // What is left free is divided in the same way.
    assert_eq!(std::iter::from_fn(|| second.reserve(50)).collect::<Vec<_>>().len(), 5);
    assert_eq!(budget.used(), 500);
    drop(reservations);
    assert_eq!(budget.used(), 0);
}

#[test]
fn many_accounts_never_exceed_the_budget() {
    let budget = ByteBudget::new(1000);
    let accounts: Vec<_> = (0..50).map(|_| budget.open_account()).collect();
    let mut reservations = Vec::new();
    for _ in 0..20 {
        reservations.extend(accounts.iter().filter_map(|account| account.reserve(7)));
    }
    assert!(budget.used() <= 1000, "{}", budget.used());
    assert!(budget.open_account().reserve(7).is_some(), "nothing is left for another account");
}
