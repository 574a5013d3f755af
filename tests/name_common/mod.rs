//! Random names, as operators may choose them: no page restricts them.
#![allow(dead_code, reason = "each test uses a part")]

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Parts of names that a header, a path, a query or a format may have a meaning for.
const PARTS: [&str; 34] = [
    "a", "Z", "7", "-", "_", ".", " ", "  ", ";", ",", "%", "%3B", "%zz", "=", ":", "/", "?", "#",
    "&", "+", "\"", "'", "\\", "<", "{", "|", "é", "í", "ß", "漢", "🐚", "\u{a0}", "\u{200b}",
    "e\u{301}",
];
/// Characters that the value of a header cannot have.
const CONTROLS: [&str; 5] = ["\0", "\n", "\r", "\t", "\u{7f}"];
/// Characters of a long name.
const LONG: usize = 1_300;

/// Names that failed once, or that are at the edge of a rule.
pub const KNOWN: [&str; 10] = [
    "Murphy; Sons",
    "tuairiscí",
    "%",
    "%25",
    "100%",
    "a,b=c",
    "\"quoted\"",
    "back\\slash",
    "漢字",
    "new\u{a0}line",
];

/// Returns the names of [`KNOWN`], two long ones and random ones, each once. They can be the value of a header.
pub fn sendable_names(seed: u64, random: usize) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut names: Vec<String> = KNOWN.iter().map(|name| (*name).to_owned()).collect();
    names.extend(["é".repeat(LONG), "; ".repeat(LONG) + "x"]);
    while names.len() < KNOWN.len() + 2 + random {
        let name = random_name(&mut rng, &PARTS);
        if name.trim_matches([' ', '\t']) == name && !name.is_empty() && !names.contains(&name) {
            names.push(name);
        }
    }
    names
}

/// Returns random names that need not be the value of a header, among them an empty one.
pub fn any_names(seed: u64, random: usize) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let parts = [&PARTS[..], &CONTROLS].concat();
    let mut names: Vec<String> = vec![String::new(), " ".into(), " a".into(), "a ".into()];
    while names.len() < random {
        let name = random_name(&mut rng, &parts);
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names
}

fn random_name(rng: &mut StdRng, parts: &[&str]) -> String {
    let count = rng.random_range(1..=12);
    (0..count)
        .filter_map(|_| parts.choose(rng))
        .copied()
        .collect()
}
