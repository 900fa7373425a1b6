//! The reader of the outputs of runs.

use limpetweir_gateway::{
    ByteBudget,
    EventReader,
    IncompleteOutput, //
};
use rstest::rstest;

/// Returns the data that a reader after event `last` takes from `bytes`, and whether the bytes are
/// valid to their end.
fn read(last: Option<u64>, bytes: &[u8], piece: usize) -> (Vec<String>, bool) {
    let mut reader = EventReader::after(last, &ByteBudget::new(1 << 20));
    let mut output = Vec::new();
    for piece in bytes.chunks(piece) {
        match reader.push(piece) {
            Ok(events) => {
                let events = events.into_iter().filter(|event| event.is_output());
                output.extend(events.map(|event| event.data));
            }
            Err(_) => return (output, false),
        }
    }
    (output, reader.check().is_ok())
}

/// Guards against bytes of a server that are no event and take the place of one in an output.
#[rstest]
#[case::no_number("data: #\n\n")]
#[case::no_number_and_no_data("data:\n\n")]
#[case::a_number_that_is_none("id: three\ndata: #\n\n")]
#[case::a_negative_number("id: -3\ndata: #\n\n")]
#[case::a_number_over_the_largest("id: 9007199254740993\ndata: #\n\n")]
#[case::a_number_without_data("id: 3\n\n")]
#[case::the_same_number("id: 2\ndata: #\n\n")]
#[case::an_earlier_number("id: 0\ndata: #\n\n")]
#[case::a_gap("id: 4\ndata: #\n\n")]
#[case::no_text("id: 3\ndata: \u{fffd}\n\n")]
fn a_block_that_is_no_event_ends_the_output(
    #[case] block: &str,
    #[values(1, 7, 10_000)] piece: usize,
) {
    let mut bytes = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n".to_vec();
    for byte in block.replace('\u{fffd}', "\u{1}").bytes() {
        // No byte of a text in UTF-8.
        bytes.push(if byte == 1 { 0xff } else { byte });
    }
    bytes.extend_from_slice(b"id: 3\ndata: three\n\n");
    for last in [None, Some(0)] {
        let expected = vec!["one".to_owned(), "two".to_owned()];
        assert_eq!(read(last, &bytes, piece), (expected, false), "{last:?}");
    }
}

/// Guards against a run that goes on after another event than the one it was asked for.
#[rstest]
#[case::the_next(2, true)]
#[case::the_same(1, false)]
#[case::from_the_start(0, false)]
#[case::a_later_one(3, false)]
fn a_run_continues_after_the_last_event(#[case] id: u64, #[case] valid: bool) {
    let bytes = format!("id: {id}\ndata: x\n\n");
    let (output, is_valid) = read(Some(1), bytes.as_bytes(), 100);
    assert_eq!((output.len() == 1, is_valid), (valid, valid));
}

/// Guards against comments, blank lines and other fields that end an output or are a part of it.
#[test]
fn comments_are_no_output() {
    let bytes =
        b": note\n\n\n\r\nretry: 5\n\nid: 0\nx-weight-versions: 2\ndata: a\n\n\nid: 1\ndata:\n\n";
    let expected = vec!["a".to_owned(), String::new()];
    assert_eq!(read(None, bytes, 100), (expected, true));
}

/// Guards against an output that ends early and counts as complete.
#[rstest]
#[case::nothing(None, "", Err(IncompleteOutput::WithoutEvent))]
#[case::a_comment(None, ": note\n\n", Err(IncompleteOutput::WithoutEvent))]
#[case::a_part(None, "id: 0\ndata: a\n\nid: 1", Err(IncompleteOutput::WithinEvent))]
#[case::whole(None, "id: 0\ndata: a\n\n", Ok(()))]
#[case::nothing_left(Some(4), "", Ok(()))]
fn the_end_of_an_output_is_checked(
    #[case] last: Option<u64>,
    #[case] bytes: &str,
    #[case] expected: Result<(), IncompleteOutput>,
) {
    let mut reader = EventReader::after(last, &ByteBudget::new(1 << 20));
    reader.push(bytes.as_bytes()).expect("valid bytes");
    assert_eq!(reader.end(), expected);
}
