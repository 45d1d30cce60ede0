use cassiagw_core::forwarding::AnswerBudget;

const MIB: usize = 1024 * 1024;

#[test]
fn endless_answers_are_given_up_and_small_ones_still_fit() {
    struct Case {
        max_bytes: usize,
        endless: usize,
    }
    for case in [
        Case { max_bytes: 24 * MIB, endless: 1 },
        Case { max_bytes: 24 * MIB, endless: 400 },
        Case { max_bytes: 2 * MIB, endless: 400 },
    ] {
        let mut budget = AnswerBudget::new(case.max_bytes);
        // Each answer is read in pieces, in turn with the others, until it is refused.
        let mut held = vec![Some(0); case.endless];
        let mut most = 0;
        while held.iter().any(Option::is_some) {
            for answer in &mut held {
                let Some(bytes) = *answer else { continue };
                *answer = budget.grow(bytes, 8_192).then_some(bytes + 8_192);
                if answer.is_none() {
                    budget.release(bytes);
                }
                most = most.max(budget.used_bytes());
            }
            assert!(budget.grow(0, 2_000), "a short answer is always buffered");
            budget.release(2_000);
        }
        let small = case.endless * 16 * 1024;
        assert!(most <= case.max_bytes + small, "{} endless: {most}", case.endless);
        assert_eq!(budget.used_bytes(), 0);
    }
}

#[test]
fn a_long_answer_is_buffered_up_to_a_quarter_of_the_budget() {
    let mut budget = AnswerBudget::new(24 * MIB);
    assert!(budget.grow(0, 6 * MIB));
    assert!(!budget.grow(6 * MIB, 1));
    assert!(!budget.grow(0, usize::MAX));
    assert_eq!(budget.max_answer_bytes(), 6 * MIB);
}
