//! Matching of routes by their longest prefix, and weighted shares of services.

use rstest::rstest;
use serde_json::json;

use pistachiohall::catalog::Catalog;
use pistachiohall::platform::config;

fn catalog() -> Catalog {
    let route = |prefix: &str, service: &str| {
        json!({"name": service, "host": "a.example", "path_prefix": prefix, "type": "safe",
               "timeout_ms": 1000, "target_latency_ms": 100, "service": service})
    };
    let split = json!({"name": "split", "host": "b.example", "path_prefix": "/", "type": "stream",
        "timeout_ms": 1000, "target_latency_ms": 100,
        "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]});
    let text = json!({"version": 2, "services": [],
        "routes": [route("/x/", "short"), route("/x/y/", "long"), split]});
    config::decode(text.to_string().as_bytes()).unwrap()
}

#[rstest]
#[case("a.example", "/x/", Some("short"))]
#[case("a.example", "/x/y", Some("short"))]
#[case("a.example", "/x/y/z", Some("long"))]
#[case("A.Example:8080", "/x/q", Some("short"))]
#[case("a.example", "/", None)]
#[case("a.example", "/xy/", None)]
#[case("c.example", "/x/", None)]
fn the_longest_prefix_wins(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let catalog = catalog();
    let found = catalog.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn shares_follow_their_weights() {
    let catalog = catalog();
    let route = catalog.route("b.example", "/any").unwrap();
    let count = (0..1000)
        .filter(|draw| route.service(*draw).unwrap() == "s2")
        .count();
    assert_eq!(count, 100);
}

/// The cost of a lookup is one lookup in a map for each slash of the path, for any number of
/// routes.
#[test]
fn a_configuration_of_many_routes_is_decoded_completely() {
    let routes: Vec<_> = (0..5000)
        .map(|number| {
            json!({"host": "a.example", "path_prefix": format!("/r{number}/"), "type": "safe",
                   "timeout_ms": 1, "target_latency_ms": 1, "service": "s"})
        })
        .collect();
    let text = json!({"version": 3, "services": [], "routes": routes}).to_string();
    let catalog = config::decode(text.as_bytes()).unwrap();
    assert_eq!(catalog.routes().count(), 5000);
    assert!(catalog.route("a.example", "/r4999/a/b").is_some());
}
