use super::*;

fn decode(parts: &[&[u8]]) -> Result<Vec<String>, String> {
    let mut decoder = JsonObjectDecoder::default();
    let mut objects = Vec::new();
    for part in parts {
        decoder.extend(part);
        while let Some(object) = decoder.next_object().map_err(|e| e.to_string())? {
            serde_json::from_slice::<IgnoredAny>(&object).map_err(|e| e.to_string())?;
            objects.push(String::from_utf8(object.to_vec()).expect("text"));
        }
    }
    Ok(objects)
}

#[test]
fn objects_are_decoded_however_the_stream_is_cut_and_indented() {
    let object = "{\n  \"id\": \"a}]\\\"{\",\n  \"of\": [\n    {}\n  ]\n}";
    let stream = format!("\n{object}\n\r\n{{\"b\":1}}{object}\n\n");
    let expected = [object, "{\"b\":1}", object];
    assert_eq!(decode(&[stream.as_bytes()]).expect("objects"), expected);
    for cut in 0..stream.len() {
        let (first, second) = stream.as_bytes().split_at(cut);
        assert_eq!(
            decode(&[first, second]).expect("objects"),
            expected,
            "cut at {cut}"
        );
    }
    let bytes: Vec<&[u8]> = stream.as_bytes().chunks(1).collect();
    assert_eq!(decode(&bytes).expect("objects"), expected);
}

/// An object that lacks closing braces is an error as well: otherwise the objects that follow would
/// be taken for parts of it.
#[test]
fn invalid_object_is_an_error_before_its_end() {
    for invalid in [
        "x",
        "]",
        "[1]",
        "{x",
        "{\"a\":}",
        "{\"a\":[1}",
        "{\"a\":1,\n\"b\":tru\n\n",
        "{\"a\" {",
    ] {
        assert!(decode(&[invalid.as_bytes()]).is_err(), "{invalid}");
    }
    let unfinished = [
        "{\"revision\":1,\"members\":[",
        "\n",
        "{\"revision\":2,\"members\":[]}\n",
        "\n",
        "\n",
    ];
    let bytes: Vec<&[u8]> = unfinished.iter().map(|s| s.as_bytes()).collect();
    assert!(matches!(decode(&bytes), Ok(objects) if objects.is_empty()));
    let bytes: Vec<&[u8]> = [unfinished.as_slice(), &["{\"revision\":3}\r\n", " \r\n"]]
        .concat()
        .iter()
        .map(|s| s.as_bytes())
        .collect();
    assert!(decode(&bytes).is_err());
}

/// The part of an object received so far is accepted wherever it ends, also inside a number.
#[test]
fn object_that_is_cut_inside_a_number_is_valid() {
    let list = br#"{"revision":1,"complete":true,"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"active","size":1.25e-1}]}"#;
    for cut in 1..list.len() {
        let mut decoder = JsonObjectDecoder::default();
        decoder.extend(&list[..cut]);
        assert!(matches!(decoder.next_object(), Ok(None)), "cut at {cut}");
        decoder.extend(&list[cut..]);
        assert!(matches!(decoder.next_object(), Ok(Some(_))), "cut at {cut}");
    }
}
