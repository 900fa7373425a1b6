//! Mutation of encoded messages, and runs of a test over many of them.

use std::fmt::Debug;
use std::time::{
    Duration,
    Instant, //
};

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{
    Config,
    RngSeed,
    TestRunner, //
};

/// Time after which a test begins no further case.
const TEST_TIME: Duration = Duration::from_millis(1_200);

/// Longest time of one case on a busy machine; usual ones take less than a millisecond.
const CASE_LIMIT: Duration = Duration::from_secs(1);

const CASES: u32 = 4_000;

/// Nesting that overflows the stack of a recursive decoder without a limit.
const DEEP: usize = 100_000;

/// Pieces of CBOR that a decoder may handle badly.
const PIECES: [&[u8]; 12] = [
    // The largest whole numbers, and a negative one.
    b"\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
    b"\x1a\xff\xff\xff\xff",
    b"\x3b\xff\xff\xff\xff\xff\xff\xff\xff",
    // Not a number, infinite, and the largest finite number.
    b"\xfb\x7f\xf8\0\0\0\0\0\0",
    b"\xfb\x7f\xf0\0\0\0\0\0\0",
    b"\xfb\x7f\xef\xff\xff\xff\xff\xff\xff",
    // A list, a map, a text and bytes with more elements than there is memory.
    b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
    b"\xbb\x7f\xff\xff\xff\xff\xff\xff\xff",
    b"\x7b\x7f\xff\xff\xff\xff\xff\xff\xff",
    b"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
    // A list without a stated length, and a tag.
    b"\x9f",
    b"\xdb\xff\xff\xff\xff\xff\xff\xff\xff",
];

/// One change of a message.
#[derive(Clone, Debug)]
enum Edit {
    Replace(u8),
    Insert(usize),
    Overwrite(usize),
    Remove(usize),
    Repeat(usize),
    Truncate,
    Nest(u8),
    LongText,
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        40 => any::<u8>().prop_map(Edit::Replace),
        30 => (0..PIECES.len()).prop_map(Edit::Insert),
        40 => (0..PIECES.len()).prop_map(Edit::Overwrite),
        15 => (1..9_usize).prop_map(Edit::Remove),
        10 => (1..40_usize).prop_map(Edit::Repeat),
        5 => Just(Edit::Truncate),
        // A list of one element, a map of one entry, a tag, and an indefinite list.
        1 => prop::sample::select(&[0x81, 0xa1, 0xc1, 0x9f][..]).prop_map(Edit::Nest),
        1 => Just(Edit::LongText),
    ]
}

impl Edit {
    fn apply(&self, bytes: &mut Vec<u8>, at: prop::sample::Index) {
        let at = at.index(bytes.len() + 1);
        let rest = bytes.split_off(at);
        let after = |len: usize| &rest[len.min(rest.len())..];
        let part = |len: usize| &rest[..len.min(rest.len())];
        let tail = match self {
            Self::Replace(byte) => {
                bytes.push(*byte);
                after(1)
            }
            Self::Insert(piece) => {
                bytes.extend_from_slice(PIECES[*piece]);
                after(0)
            }
            Self::Overwrite(piece) => {
                bytes.extend_from_slice(PIECES[*piece]);
                after(1)
            }
            Self::Remove(len) => after(*len),
            Self::Repeat(len) => {
                bytes.extend_from_slice(part(*len));
                after(0)
            }
            Self::Truncate => &[],
            Self::Nest(head) => {
                bytes.extend_from_slice(&vec![*head; DEEP]);
                after(0)
            }
            Self::LongText => {
                bytes.extend_from_slice(b"\x7a\x00\x10\x00\x00");
                bytes.extend_from_slice(&vec![b'x'; 1 << 20]);
                after(0)
            }
        };
        bytes.extend_from_slice(tail);
    }
}

/// Returns mutations of these messages, and arbitrary bytes.
pub(crate) fn mutated(valid: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let edits = prop::collection::vec((edit(), any::<prop::sample::Index>()), 1..5);
    let mutated = (prop::sample::select(valid), edits).prop_map(|(mut bytes, edits)| {
        for (edit, at) in edits {
            edit.apply(&mut bytes, at);
        }
        bytes
    });
    prop_oneof![9 => mutated, 1 => prop::collection::vec(any::<u8>(), 0..200)]
}

/// Runs `check` on inputs of a fixed sequence until the time is up; each must end in time.
pub(crate) fn fuzz<T: Debug>(
    seed: u64,
    inputs: impl Strategy<Value = T>,
    mut check: impl FnMut(T),
) {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let begin = Instant::now();
    let mut cases = 0;
    while cases < CASES && begin.elapsed() < TEST_TIME {
        let input = inputs.new_tree(&mut runner).expect("an input").current();
        let case = Instant::now();
        check(input);
        assert!(case.elapsed() < CASE_LIMIT, "case {cases}");
        cases += 1;
    }
    println!("{cases} cases");
}
