use super::*;
use balancer::BackendId;
use bytes::Bytes;

fn forward_request(id: &str) -> ForwardRequest {
    ForwardRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        work: None,
        deadline: Instant::now(),
        id: id.as_bytes().into(),
        first_byte_at: Instant::now(),
        remaining: Duration::from_secs(1),
        request: Request::new(RequestBody::Buffered(Bytes::new())),
        client: Weak::new(),
    }
}

fn insert(registry: &mut RequestRegistry, client_id: &str) -> RequestId {
    let id = registry.reserve(client_id.as_bytes()).expect("a new id");
    let (sender, _) = oneshot::channel();
    registry.insert(id, forward_request(client_id), sender);
    id
}

#[test]
fn a_client_id_is_free_again_once_its_request_is_settled() {
    let mut registry = RequestRegistry::default();
    let id = insert(&mut registry, "a");
    assert_eq!(registry.reserve(b"a"), None);
    registry.remove_if_settled(id);
    assert_eq!((registry.len(), registry.open_requests()), (1, 1));

    let record = registry.get_mut(id).expect("the request");
    assert!(record.close().is_some());
    assert!(record.close().is_none(), "only one final response is sent");
    assert_eq!((registry.len(), registry.open_requests()), (1, 0));
    registry.remove_if_settled(id);
    assert_eq!(registry.len(), 0);
    assert_ne!(insert(&mut registry, "a"), id);
}

#[test]
fn an_attempt_ends_once() {
    let mut registry = RequestRegistry::default();
    let request = insert(&mut registry, "a");
    let record = registry.get_mut(request).expect("the request");
    let (attempt, end) = Attempt::not_sent(BackendId(3), Instant::now());
    record.attempts.push(attempt);
    assert!(record
        .end_attempt(0, AttemptOutcome::Success, None)
        .is_none());
    let id = AttemptId { request, index: 0 };
    let result = record.attempt_result(id, end);
    assert_eq!(
        (result.backend, result.outcome, result.request_closed),
        (BackendId(3), AttemptOutcome::NotSent, false)
    );
    assert!(registry.cancel_attempt(id).is_none());
    assert!(registry.revoke_unsent_attempts(request).is_empty());
}
