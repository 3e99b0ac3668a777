//! Catalogue files and the catalogue table.

use std::sync::Arc;

use toucanrail::catalogue::CatalogueTable;
use toucanrail::catalogue_files;
use toucanrail::messages::MirrorObject;

const VALID_SERVICE: &str = "[[service]]\nname = \"desk\"\nowner = \"ops\"\nkind = \"plain\"\n\
    route = \"/desk\"\nprice = 5\n";

fn parse_errors(text: &str) -> Vec<String> {
    let errors = catalogue_files::parse_items(text).expect_err("the file is invalid");
    errors.iter().map(ToString::to_string).collect()
}

/// All errors of a file are reported at once, each with its line.
#[test]
fn every_error() {
    let text = "[[service]]\nname = \"a b\"\nowner = \"\"\nkind = \"plain\"\nroute = \"desk\"\n\
        price = 0\n\n[[customer]]\nname = \"c\"\nowner = \"o\"\nclass = \"standard\"\n\
        key-digests = [\"short\"]\nweight = 0\n";
    let found = parse_errors(text);
    for (line, field) in
        [(2, "name"), (3, "owner"), (5, "route"), (6, "price"), (12, "key-digests")]
    {
        let position = format!("line {line}: ");
        let matches = |error: &String| error.contains(&position) && error.contains(field);
        assert!(found.iter().any(matches), "{line} {field}: {found:?}");
    }
    assert_eq!(found.len(), 6, "{found:?}");
}

#[test]
fn unknown_field() {
    let found = parse_errors(&format!("{VALID_SERVICE}colour = \"red\"\n"));
    assert!(found[0].contains("line 1") && found[0].contains("colour"), "{found:?}");
    let found = parse_errors("[[service]\n");
    assert!(found[0].contains("line 1"), "{found:?}");
}

#[test]
fn duplicate_names() {
    let found = parse_errors(&format!("{VALID_SERVICE}{VALID_SERVICE}"));
    assert!(
        found.iter().any(|error| error.contains("route /desk is already defined on line 1")),
        "{found:?}"
    );
}

fn object(version: u64, text: &str) -> MirrorObject {
    MirrorObject { name: Arc::from("service.desk"), version, value: text.as_bytes().to_vec() }
}

/// An invalid item reaches the store without validation: the last valid one must stay in effect.
#[test]
fn invalid_object() {
    let mut table = CatalogueTable::new();
    let item = catalogue_files::parse_items(VALID_SERVICE).expect("it is valid").remove(0).item;
    let value = serde_json::to_string(&item).expect("it can be encoded");
    table.apply(&object(1, &value));
    table.apply(&object(2, "{\"service\":{\"name\":\"desk\"}}"));
    assert_eq!(table.service("desk").map(|service| service.price), Some(5));
    assert!(table.errors.contains_key("service.desk"));
    table.apply(&object(3, ""));
    assert!(table.service("desk").is_none() && table.errors.is_empty());
}

/// A path belongs to the service with the longest route, matched by whole path segments.
#[test]
fn longest_route() {
    let mut table = CatalogueTable::new();
    for (name, route) in [("desk", "/desk"), ("inner", "/desk/inner")] {
        let text =
            VALID_SERVICE.replace("\"desk\"", &format!("\"{name}\"")).replace("/desk", route);
        let item = catalogue_files::parse_items(&text).expect("it is valid").remove(0).item;
        let value = serde_json::to_vec(&item).expect("it can be encoded");
        table.apply(&MirrorObject { name: item.object_name(), version: 1, value });
    }
    let found = |path| table.service_by_path(path).map(|service| service.name.to_string());
    assert_eq!(found("/desk/inner/x").as_deref(), Some("inner"));
    assert_eq!(found("/desk/innermost").as_deref(), Some("desk"));
    assert_eq!(found("/desks"), None);
}
