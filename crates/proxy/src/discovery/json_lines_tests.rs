use super::*;

fn taken(parts: &[&[u8]]) -> Result<Vec<String>, String> {
    let (mut documents, mut all) = (JsonLineDecoder::default(), Vec::new());
    for part in parts {
        documents.extend(part);
        while let Some(document) = documents.next().map_err(|e| e.to_string())? {
            serde_json::from_slice::<IgnoredAny>(&document).map_err(|e| e.to_string())?;
            all.push(String::from_utf8(document.to_vec()).expect("text"));
        }
    }
    Ok(all)
}

#[test]
fn lists_are_told_apart_however_they_are_cut_and_indented() {
    let one = "{\n  \"id\": \"a}]\\\"{\",\n  \"of\": [\n    {}\n  ]\n}";
    let stream = format!("\n{one}\n\r\n{{\"b\":1}}{one}\n\n");
    let wanted = [one, "{\"b\":1}", one];
    assert_eq!(taken(&[stream.as_bytes()]).expect("lists"), wanted);
    for at in 0..stream.len() {
        let (a, b) = stream.as_bytes().split_at(at);
        assert_eq!(taken(&[a, b]).expect("lists"), wanted, "cut at {at}");
    }
    let bytes: Vec<&[u8]> = stream.as_bytes().chunks(1).collect();
    assert_eq!(taken(&bytes).expect("lists"), wanted);
}

/// Also where braces are missing, lest the lists that follow are held for ever.
#[test]
fn what_is_no_list_is_an_error_before_it_ends() {
    for bad in [
        "x",
        "]",
        "[1]",
        "{x",
        "{\"a\":}",
        "{\"a\":[1}",
        "{\"a\":1,\n\"b\":tru\n\n",
        "{\"a\" {",
    ] {
        assert!(taken(&[bad.as_bytes()]).is_err(), "{bad}");
    }
    let swallowed = [
        "{\"revision\":1,\"members\":[",
        "\n",
        "{\"revision\":2,\"members\":[]}\n",
        "\n",
        "\n",
    ];
    let bytes: Vec<&[u8]> = swallowed.iter().map(|s| s.as_bytes()).collect();
    assert!(matches!(taken(&bytes), Ok(all) if all.is_empty()));
    let bytes: Vec<&[u8]> = [swallowed.as_slice(), &["{\"revision\":3}\r\n", " \r\n"]]
        .concat()
        .iter()
        .map(|s| s.as_bytes())
        .collect();
    assert!(taken(&bytes).is_err());
}

/// A list that comes a byte at a time is good at every byte, also where a number is cut.
#[test]
fn a_list_that_is_cut_inside_a_number_is_no_bad_line() {
    let list = br#"{"revision":1,"complete":true,"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"active","size":1.25e-1}]}"#;
    for cut in 1..list.len() {
        let mut documents = JsonLineDecoder::default();
        documents.extend(&list[..cut]);
        assert!(matches!(documents.next(), Ok(None)), "cut at {cut}");
        documents.extend(&list[cut..]);
        assert!(matches!(documents.next(), Ok(Some(_))), "cut at {cut}");
    }
}
