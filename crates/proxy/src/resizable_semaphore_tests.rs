use super::*;

#[test]
fn a_smaller_capacity_is_reached_as_permits_are_returned() {
    let semaphore = ResizableSemaphore::new(4);
    let mut held: Vec<_> = (0..3)
        .map(|_| semaphore.try_acquire().expect("a permit"))
        .collect();
    semaphore.resize(2);
    assert!(semaphore.is_over_capacity() && semaphore.try_acquire().is_none());
    assert_eq!(
        (
            semaphore.capacity(),
            semaphore.in_use(),
            semaphore.available()
        ),
        (2, 3, 0)
    );
    held.pop();
    assert!(!semaphore.is_over_capacity() && semaphore.try_acquire().is_none());
    held.pop();
    assert_eq!((semaphore.in_use(), semaphore.available()), (1, 1));
    semaphore.resize(5);
    assert_eq!((semaphore.in_use(), semaphore.available()), (1, 4));
    let all: Vec<_> = (0..4)
        .map(|_| semaphore.try_acquire().expect("a permit"))
        .collect();
    semaphore.resize(1);
    semaphore.resize(3);
    assert_eq!(semaphore.in_use(), 5);
    drop((all, held));
    assert_eq!((semaphore.in_use(), semaphore.available()), (0, 3));
}
