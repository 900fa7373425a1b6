//! Listings of the newest records of a partition.

use hyper::body::Bytes;
use limpetweir_gateway::{
    Listing,
    Page,
    Record, //
};

fn page(keys: &[(u64, &str)], next: Option<&str>, end: u64) -> Page {
    let record = |(offset, key): &(u64, &str)| {
        let record = Record {
            key: (*key).to_owned(),
            value: Bytes::from_static(b"1"),
        };
        (*offset, record)
    };
    Page {
        records: keys.iter().map(record).collect(),
        next: next.map(str::to_owned),
        end,
    }
}

/// Guards against records that are missed because reading continues at the end of a later page than
/// the first one, and against records of a page that are applied in the order of their keys.
#[test]
fn a_listing_continues_at_the_end_of_its_first_page() {
    let mut listing = Listing::default();
    assert_eq!(listing.after(), None);
    let records = listing.add(page(&[(7, "a"), (3, "b")], Some("b"), 9));
    let keys: Vec<_> = records.map(|(offset, r)| (offset, r.key)).collect();
    assert_eq!(keys, [(3, "b".to_owned()), (7, "a".to_owned())]);
    assert_eq!(listing.after(), Some("b"));
    let records = listing.add(page(&[(11, "c")], None, 12));
    assert_eq!(records.count(), 1);
    assert_eq!(listing.end(), 9);
    assert_eq!(listing.keys(), ["b", "a", "c"]);
}
