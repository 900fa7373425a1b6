//! Tests of sharded state.

use limpetweird::Sharded;

/// Guards against a key that maps to several shards.
#[test]
fn a_key_belongs_to_one_shard() {
    let shards = Sharded::new(8, |_| 0);
    for _ in 0..5 {
        for key in 0..100 {
            *shards.of_key(&key) += 1;
        }
    }
    let counts: Vec<i32> = shards.iter().map(|count| *count).collect();
    assert_eq!(counts.iter().sum::<i32>(), 500);
    assert!(counts.iter().all(|count| count % 5 == 0));
}

/// Guards against a panic for an index beyond the last shard, and against a count of 0 shards.
#[test]
fn indices_wrap_around() {
    let shards = Sharded::new(0, |index| index);
    assert_eq!(*shards.at(7), 0);
    let shards = Sharded::new(4, |index| index);
    assert_eq!(*shards.at(6), 2);
}
