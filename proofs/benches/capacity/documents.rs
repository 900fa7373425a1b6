//! Configuration document: bytes, CPU time of the check, and memory of the checked configuration.

use std::fmt::Write;

use limpetweir_protocol::parse_configuration;

use crate::report::{
    line,
    micros,
    retained, //
};

/// Organisations: a user today, a tenth of the target size, and the target size.
const ORGANISATIONS: [u32; 3] = [8, 560, 5_600];

/// Engines: a small service today, one region of the target size, and the whole target fleet.
const ENGINES: [u32; 3] = [12, 312, 2_500];

fn document(organisations: u32, engines: u32) -> String {
    let mut text = String::new();
    for index in 0..organisations {
        // Digests of real keys differ in their first bytes, which the key lookup uses.
        let prefix = u64::from(index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let _ = write!(
            text,
            "[[organisation]]\nid = \"organisation-{index}\"\nrate = 100.0\nburst = 200.0\n\
             services = [\"chat\"]\n[[organisation.key]]\nid = \"key-1\"\nsha256 = \"{prefix:016x}{index:048x}\"\n"
        );
    }
    let names: Vec<_> = (0..engines)
        .map(|index| format!("\"engine-{index}\""))
        .collect();
    let _ = write!(
        text,
        "[[service]]\nid = \"chat\"\nkind = \"model\"\nmodels = [\"small\"]\nbackends = [{}]\n",
        names.join(", ")
    );
    for index in 0..engines {
        let (high, low) = (index / 250, index % 250);
        let _ = write!(
            text,
            "[[backend]]\nid = \"engine-{index}\"\nservice = \"chat\"\nzone = \"zone-{}\"\n\
             address = \"127.0.{high}.{low}:9000\"\nslots = 16\nchecks_fencing = true\n",
            index % 4
        );
    }
    text
}

fn points(sizes: [u32; 3], value: impl Fn(u32) -> f64) -> [(u64, f64); 3] {
    sizes.map(|size| (u64::from(size), value(size)))
}

fn check_micros(text: &str) -> f64 {
    micros(3, || parse_configuration(text).expect("valid document"))
}

fn checked_bytes(text: &str) -> f64 {
    retained(|| parse_configuration(text).expect("valid document")).1
}

pub(crate) fn measure() {
    let by_organisations = "organisations, 12 engines";
    let by_engines = "engines, 8 organisations";
    let quantity = "configuration document, bytes";
    let bytes = |organisations, engines| document(organisations, engines).len() as f64;
    line(
        quantity,
        by_organisations,
        points(ORGANISATIONS, |n| bytes(n, 12)),
    );
    line(quantity, by_engines, points(ENGINES, |n| bytes(8, n)));
    let quantity = "configuration document, check, us";
    let value = |n| check_micros(&document(n, 12));
    line(quantity, by_organisations, points(ORGANISATIONS, value));
    let value = |n| check_micros(&document(8, n));
    line(quantity, by_engines, points(ENGINES, value));
    let quantity = "checked configuration, bytes";
    let value = |n| checked_bytes(&document(n, 12));
    line(quantity, by_organisations, points(ORGANISATIONS, value));
    let value = |n| checked_bytes(&document(8, n));
    line(quantity, by_engines, points(ENGINES, value));
}
