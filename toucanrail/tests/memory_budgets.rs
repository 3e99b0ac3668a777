//! Memory that an entry uses for callers that read slowly.

use proptest::prelude::*;
use toucanrail::memory_budgets::{MemoryBudget, ProcessLimits};

const LIMITS: ProcessLimits = ProcessLimits { memory: 160 << 20, descriptors: 4_096 };
/// Bytes read from a server at a time.
const READ_SIZE: usize = 16 * 1024;

/// Thousands of callers never read. Each response is read on as long as the budget says; the sum
/// must stay below half of the process's memory, since allocators need more than is held.
#[test]
fn silent_callers() {
    let mut budget = MemoryBudget::new(LIMITS);
    let mut backlogs = vec![0_usize; 2_000];
    for _ in 0..1_000 {
        for backlog in &mut backlogs {
            if budget.may_read_on(*backlog) {
                *backlog += READ_SIZE;
                budget.hold(READ_SIZE);
            }
        }
    }
    assert!(budget.held() < LIMITS.memory / 2, "{} bytes", budget.held());
}

/// One caller with a large backlog must not keep others from having a small one.
#[test]
fn one_large_backlog() {
    let mut budget = MemoryBudget::new(LIMITS);
    let mut large = 0;
    while budget.may_read_on(large) {
        large += READ_SIZE;
        budget.hold(READ_SIZE);
    }
    assert!(budget.may_read_on(1 << 20));
    assert!(budget.try_hold(1 << 20));
}

proptest! {
    /// Request bodies never take more than the budget, and everything held is released.
    #[test]
    fn balanced_holds(sizes in prop::collection::vec(0_usize..8 << 20, 1..60)) {
        let mut budget = MemoryBudget::new(LIMITS);
        let held: Vec<usize> = sizes.into_iter().filter(|size| budget.try_hold(*size)).collect();
        prop_assert_eq!(budget.held(), held.iter().sum::<usize>());
        prop_assert!(budget.held() < LIMITS.memory / 2);
        for size in held {
            budget.release(size);
        }
        prop_assert_eq!(budget, MemoryBudget::new(LIMITS));
    }
}

/// A small VM accepts fewer connections than a large one, within its memory and file descriptors.
#[test]
fn connection_limits() {
    let small = LIMITS.max_connections();
    let large = ProcessLimits { memory: 1 << 30, descriptors: 16_384 }.max_connections();
    assert!((2_000..3_000).contains(&small), "{small}");
    assert!((10_000..16_000).contains(&large), "{large}");
}
