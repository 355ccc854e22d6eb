use super::*;

#[test]
fn request_head_determines_the_length_of_the_body() {
    let next = |head: &str| {
        parse_request_head(head.as_bytes())
            .map(|head| head.map(|head| head.next))
            .map_err(|error| error.status().as_u16())
    };
    assert_eq!(next("GET / HTTP/1.1\r\n\r\n"), Ok(Some(Expected::Body(0))));
    assert_eq!(
        next("POST / HTTP/1.1\r\ncontent-LENGTH: 7\r\n\r\n"),
        Ok(Some(Expected::Body(7)))
    );
    assert_eq!(
        next("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"),
        Ok(Some(Expected::Unsized))
    );
    assert_eq!(
        next("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n.GET / HT"),
        Ok(Some(Expected::Body(1)))
    );
    assert_eq!(next("POST / HTTP/1.1\r\nContent-Le"), Ok(None));
    let both = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
    ];
    let bad = [
        "Content-Length: -1",
        "Content-Length: +1",
        "Content-Length:",
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: 99999999999999999999",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ];
    for headers in both.iter().chain(&bad) {
        assert_eq!(
            next(&format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n")),
            Err(400),
            "{headers}"
        );
    }
    assert_eq!(
        next("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Err(400)
    );
    assert_eq!(
        next("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n.and more"),
        Err(400)
    );
    assert_eq!(
        next("POST / HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n"),
        Err(413)
    );
    assert_eq!(next("CONNECT a:1 HTTP/1.1\r\n\r\n"), Err(405));
}

#[test]
fn response_head_determines_the_length_of_the_body() {
    let next =
        |head: &str| parse_response_head(head.as_bytes()).map(|head| head.map(|head| head.next));
    assert_eq!(
        next("HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 7\r\n\r\n"),
        Ok(Some(Expected::Body(7)))
    );
    assert_eq!(
        next("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        Ok(Some(Expected::Head))
    );
    assert_eq!(next("HTTP/1.1 200 OK\r\n\r\n"), Ok(Some(Expected::Unsized)));
    assert_eq!(
        next("HTTP/1.1 204 No Content\r\n\r\n"),
        Ok(Some(Expected::Body(0)))
    );
    for (invalid, error) in [
        (
            "101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
            MessageError::UnexpectedProtocolSwitch,
        ),
        (
            "200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            MessageError::BodyTooLarge,
        ),
        (
            "200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            MessageError::ConflictingLengths,
        ),
        (
            "200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            MessageError::LengthAndTransferEncoding,
        ),
        (
            "200 OK\r\nContent-Length: 33554433\r\n\r\n",
            MessageError::BodyTooLarge,
        ),
        ("what\r\n\r\n", MessageError::UnreadableHead),
    ] {
        assert_eq!(
            next(&format!("HTTP/1.1 {invalid}")),
            Err(error),
            "{invalid}"
        );
    }
    assert_eq!(
        next("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Err(MessageError::ChunkedHttp10)
    );
}
