//! Tests of the memory budget.

use super::*;

#[test]
fn dropped_reservation_and_dropped_bytes_give_memory_back() {
    let budget = MemoryBudget::new(1000);
    let mut reservation = budget
        .try_reserve(100, Purpose::NewWork)
        .expect("there is room");
    assert!(reservation.try_grow(50));
    let bytes = reservation.attach_to(vec![0; 150]);
    let part = bytes.slice(..10);
    drop(bytes);
    assert_eq!(budget.reserved(), 150, "a part of the bytes is in use");
    drop(part);
    assert_eq!(budget.reserved(), 0);
}

/// Without a part of the budget that new requests cannot take, the accepted ones would wait for one
/// another to release the memory that their responses need.
#[test]
fn new_work_leaves_room_for_accepted_work() {
    let budget = MemoryBudget::new(1000);
    assert!(budget.try_reserve(751, Purpose::NewWork).is_none());
    let new_work = budget.try_reserve(750, Purpose::NewWork);
    assert!(budget.try_reserve(1, Purpose::NewWork).is_none());
    let accepted_work = budget.try_reserve(250, Purpose::AcceptedWork);
    assert!(new_work.is_some() && accepted_work.is_some());
    assert!(budget.try_reserve(1, Purpose::AcceptedWork).is_none());
}

/// A process whose peer starts has its budget halved: requests in flight may hold more than the new
/// budget, and must get their responses all the same.
#[test]
fn accepted_work_keeps_its_part_of_a_reduced_budget() {
    let budget = MemoryBudget::new(2000);
    let _new_work = budget.try_reserve(1500, Purpose::NewWork);
    budget.resize(1000);
    assert!(budget.try_reserve(1, Purpose::NewWork).is_none());
    let response = budget.try_reserve(250, Purpose::AcceptedWork);
    assert!(response.is_some());
    assert!(budget.try_reserve(1, Purpose::AcceptedWork).is_none());
}

/// A node with more backends than its memory was meant for must not refuse everything.
#[test]
fn part_of_the_budget_can_be_reserved_however_much_is_always_held() {
    let budget = MemoryBudget::new(1000);
    budget.set_fixed(300);
    assert_eq!(budget.capacity(), 700);
    budget.set_fixed(5000);
    assert_eq!(budget.capacity(), 250);
}

#[test]
fn memory_is_reclaimed_when_there_is_no_room() {
    let budget = MemoryBudget::new(1000);
    let idle = RefCell::new(Vec::new());
    for _ in 0..10 {
        let reservation = budget.try_reserve(100, Purpose::AcceptedWork);
        idle.borrow_mut().push(reservation.expect("there is room"));
    }
    budget.set_reclaim(move || idle.borrow_mut().pop().is_some());
    let reservation = budget.try_reserve(250, Purpose::AcceptedWork);
    assert!(reservation.is_some());
    assert_eq!(budget.reserved(), 950);
    assert!(budget.try_reserve(751, Purpose::AcceptedWork).is_none());
}

#[tokio::test(start_paused = true)]
async fn reservation_waits_until_memory_is_released() {
    let budget = MemoryBudget::new(1000);
    let held = budget.try_reserve(1000, Purpose::AcceptedWork);
    let deadline = Instant::now() + Duration::from_secs(1);
    let waiting = budget.reserve_until(10, Purpose::AcceptedWork, deadline);
    let releasing = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        drop(held);
    };
    let (reservation, ()) = tokio::join!(waiting, releasing);
    assert!(reservation.is_some());
    let refused = budget.reserve_until(1000, Purpose::AcceptedWork, deadline);
    assert!(refused.await.is_none());
    assert_eq!(Instant::now(), deadline);
}
