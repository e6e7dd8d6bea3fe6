//! The budget of extra attempts.

use routing::AttemptBudget;

#[test]
fn extra_attempts_are_a_part_of_the_first_ones() {
    let mut budget = AttemptBudget::new(5.0, 10);

    let extra = (0..1000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });

    assert!((45..=51).contains(&extra.count()));
}
