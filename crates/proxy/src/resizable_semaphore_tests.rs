use super::*;

#[test]
fn fewer_places_are_reached_as_those_taken_come_free() {
    let places = ResizableSemaphore::new(4);
    let mut taken: Vec<_> = (0..3).map(|_| places.take().expect("a place")).collect();
    places.resize(2);
    assert!(places.short() && places.take().is_none());
    assert_eq!((places.most(), places.taken(), places.free()), (2, 3, 0));
    taken.pop();
    assert!(!places.short() && places.take().is_none());
    taken.pop();
    assert_eq!((places.taken(), places.free()), (1, 1));
    places.resize(5);
    assert_eq!((places.taken(), places.free()), (1, 4));
    let all: Vec<_> = (0..4).map(|_| places.take().expect("a place")).collect();
    places.resize(1);
    places.resize(3);
    assert_eq!(places.taken(), 5);
    drop((all, taken));
    assert_eq!((places.taken(), places.free()), (0, 3));
}
