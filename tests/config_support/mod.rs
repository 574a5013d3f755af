//! Configuration documents for the tests of the state layer.

use serde_json::json;
use sycamorewick::protocol::document::Document;

/// Returns a document with services of the given names and numbers of slots, each with versions `v1`
/// and `v2`, a rollout between them and a route `/<service>`.
pub fn document(services: &[(&str, u32)]) -> Document {
    let sections: Vec<_> = services
        .iter()
        .map(|(name, slots)| {
            json!({
                "name": name,
                "slots": slots,
                "versions": [{ "name": "v1", "share": 100 }, { "name": "v2", "share": 0 }],
                "rollout": {
                    "from": "v1", "to": "v2", "start_ms": 0, "finish_by_ms": 60_000,
                    "steps": [10, 100],
                },
            })
        })
        .collect();
    let routes: Vec<_> = services
        .iter()
        .map(|(name, _)| {
            json!({
                "name": name, "path_prefix": format!("/{name}"), "service": name, "idempotent": true,
            })
        })
        .collect();
    let value = json!({
        "regions": [{ "name": "r", "failure_domains": ["r-a", "r-b"] }],
        "services": sections,
        "routes": routes,
    });
    serde_json::from_value(value).unwrap()
}
