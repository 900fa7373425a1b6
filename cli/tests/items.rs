//! Parsing of files of job items, and the lines of their faults.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use limpetweir::items::parse_items;
use limpetweir_protocol::http::MAX_JOB_ITEMS;
use rstest::rstest;

const LINES: &str = r#"{"id": "a", "prompt": "one", "max_tokens": 1}

{"id": "b", "prompt": "two", "max_tokens": 2}
"#;

const ARRAY: &str = r#"
[
  {"id": "a", "prompt": "one", "max_tokens": 1},
  {
    "id": "b",
    "prompt": "two", "max_tokens": 2
  }
]
"#;

/// Guards against items that are lost or reordered, as JSON lines or as a JSON array.
#[rstest]
#[case(LINES)]
#[case(ARRAY)]
fn both_formats_give_the_same_items(#[case] text: &str) {
    let items = parse_items(text).unwrap();
    let items: Vec<_> = items
        .iter()
        .map(|item| (item.id.as_str(), item.prompt.as_str(), item.max_tokens))
        .collect();
    assert_eq!(items, [("a", "one", 1), ("b", "two", 2)]);
}

/// Guards against a fault that is not reported, or is reported for the wrong line.
#[rstest]
#[case(LINES, "\"prompt\": \"two\", ", "", &[(3, "missing field `prompt`")])]
#[case(LINES, "\"b\"", "\"a\"", &[(3, "\"a\" is already used in line 1")])]
#[case(LINES, "\"max_tokens\": 2", "\"max_tokens\": 0", &[(3, "max_tokens must be at least 1")])]
#[case(LINES, "}\n\n", "\n\n", &[(1, "EOF")])]
#[case(LINES, "\"id\"", "\"name\"", &[(1, "unknown field `name`"), (3, "unknown field `name`")])]
#[case(ARRAY, "\"two\"", "2", &[(6, "invalid type: integer `2`")])]
#[case(ARRAY, "\"b\"", "\"a\"", &[(4, "\"a\" is already used in line 3")])]
#[case(ARRAY, "\"max_tokens\": 1", "\"max_tokens\": 0", &[(3, "max_tokens must be at least 1")])]
#[case(ARRAY, "},\n", "}\n", &[(4, "expected `,` or `]`")])]
fn faults_are_reported_with_their_lines(
    #[case] text: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &[(usize, &str)],
) {
    let faulty = text.replace(from, to);
    assert_ne!(faulty, text);
    let faults = parse_items(&faulty).unwrap_err();
    assert_eq!(faults.len(), expected.len(), "{faults:?}");
    for (fault, (line, message)) in faults.iter().zip(expected) {
        assert_eq!(fault.line, *line, "{faults:?}");
        assert!(fault.message.contains(message), "{faults:?}");
    }
}

/// Guards against a number of items that the daemon rejects.
#[test]
fn the_number_of_items_is_bounded() {
    assert!(parse_items("").is_err());
    assert!(parse_items("[]").is_err());
    let item = |i| format!("{{\"id\": \"{i}\", \"prompt\": \"p\", \"max_tokens\": 1}}\n");
    let most: String = (0..MAX_JOB_ITEMS).map(item).collect();
    assert_eq!(parse_items(&most).unwrap().len(), MAX_JOB_ITEMS);
    let many = most + &item(MAX_JOB_ITEMS);
    let faults = parse_items(&many).unwrap_err();
    assert!(faults[0].message.contains("not 100001"), "{faults:?}");
}
