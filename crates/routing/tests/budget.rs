//! Budget of extra attempts.

use routing::AttemptBudget;

#[test]
fn extra_attempts_follow_the_percentage() {
    let mut budget = AttemptBudget::new(5.0, 10);

    let extra = (0..1000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });

    assert!((45..=51).contains(&extra.count()));
}
