//! Calls that a service declares not repeatable. Each is recognised however it is written, as it
//! might otherwise run twice.

use toucanrail::catalogue::{CatalogueTable, ServiceEntry};
use toucanrail::catalogue_files;
use toucanrail::messages::MirrorObject;

fn service_file(route: &str, call: &str) -> String {
    format!(
        "[[service]]\nname = \"desk\"\nowner = \"ops\"\nkind = \"plain\"\nroute = \"{route}\"\n\
         price = 5\nnot-repeatable = [\"{call}\"]\n"
    )
}

/// Returns a table with a service that has one call that may not be repeated.
fn make_table(route: &str, call: &str) -> CatalogueTable {
    let item = catalogue_files::parse_items(&service_file(route, call)).expect("it is valid");
    let item = item.into_iter().next().expect("an item").item;
    let value = serde_json::to_vec(&item).expect("it can be encoded");
    let mut table = CatalogueTable::new();
    table.apply(&MirrorObject { name: item.object_name(), version: 1, value });
    table
}

fn find_subpath<'path>(table: &CatalogueTable, path: &'path str) -> Option<&'path str> {
    table.service_by_path(path).and_then(|service| service.subpath(path))
}

/// An operator's declaration that would match no call is an error, not a call that may be repeated.
#[test]
fn unmatched_declarations() {
    for call in
        ["POST  /x", "POST /x y", "POST x", " POST /x", "/x", "POST\\t/x", "P@ST /x", "POST "]
    {
        let errors = catalogue_files::parse_items(&service_file("/desk", call));
        let errors = errors.expect_err(call);
        assert!(errors[0].to_string().contains("not-repeatable"), "{call:?}: {errors:?}");
    }
}

/// A route that ends in a slash serves the paths below it, and its calls are recognised.
#[test]
fn slashed_route() {
    let table = make_table("/desk/", "POST /deposits");
    assert_eq!(find_subpath(&table, "/desk/deposits/7"), Some("/deposits/7"));
    assert_eq!(find_subpath(&table, "/desk"), Some("/"));
    assert_eq!(find_subpath(&table, "/desk/"), Some("/"));
    assert_eq!(find_subpath(&table, "/desks"), None);
}

/// A backend server may decode a path and join its segments before it looks at it.
#[test]
fn disguised_calls() {
    let table = make_table("/desk", "POST /deposits");
    let service: &ServiceEntry = table.service("desk").expect("the service");
    for path in [
        "/deposits",
        "/deposits/7",
        "/%64eposits",
        "/deposit%73/7",
        "//deposits",
        "/./deposits",
        "/orders/../deposits",
        "/orders/%2e%2e/deposits",
        "/%2Fdeposits",
        "/;/../deposits",
        "/orders\\..\\deposits",
        "/deposits?x",
        "/%2564eposits",
    ] {
        assert!(!service.is_repeatable("POST", path), "{path}");
        assert!(!service.is_repeatable("post", path), "{path}");
        assert!(service.is_repeatable("GET", path), "{path}");
    }
    for path in ["/orders", "/orders/deposits", "/", "/orders?to=/deposits"] {
        assert!(service.is_repeatable("POST", path), "{path}");
    }
}

/// A declaration for all paths covers all of them.
#[test]
fn all_paths() {
    let table = make_table("/desk", "DELETE /");
    let service = table.service("desk").expect("the service");
    assert!(!service.is_repeatable("DELETE", "/") && !service.is_repeatable("DELETE", "/a/b"));
}
