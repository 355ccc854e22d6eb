//! Compares the memory of the process with what is reserved of the memory budget.
//!
//! Libraries and the allocator hold memory that nothing reserves: free parts of the heap, and buffers
//! that have grown. The monitor has free memory released when there is much of it, and takes the rest
//! from the budget, so that less can be reserved.

use crate::allocator;
use crate::memory_budget::MemoryBudget;
use crate::resource_limits::BASE_BYTES;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the memory is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(25);

/// Free memory is released if more than the budget divided by this is held and not reserved.
const RELEASE_DIVISOR: usize = 16;

/// Measures the memory at each [`MEASURE_INTERVAL`], as far as the system tells it. Never returns.
pub async fn run(budget: Rc<MemoryBudget>) {
    let mut interval = tokio::time::interval(MEASURE_INTERVAL);
    loop {
        interval.tick().await;
        let Some(mut unreserved) = unreserved_bytes(&budget) else {
            continue;
        };
        if unreserved > budget.capacity() / RELEASE_DIVISOR {
            allocator::release_free_memory();
            unreserved = unreserved_bytes(&budget).unwrap_or(unreserved);
        }
        budget.set_unreserved(unreserved);
    }
}

/// Returns how many bytes the process holds besides those that are reserved and its base.
fn unreserved_bytes(budget: &MemoryBudget) -> Option<usize> {
    let held = anonymous_bytes()?;
    Some(held.saturating_sub(BASE_BYTES + budget.fixed() + budget.reserved()))
}

/// Returns the anonymous memory of the process; `None` if the system does not tell.
fn anonymous_bytes() -> Option<usize> {
    let statistics = std::fs::read_to_string("/proc/self/statm").ok()?;
    let mut pages = statistics.split(' ').skip(1).map(str::parse::<usize>);
    let resident = pages.next()?.ok()?;
    let shared = pages.next()?.ok()?;
    Some(resident.saturating_sub(shared) * rustix::param::page_size())
}
