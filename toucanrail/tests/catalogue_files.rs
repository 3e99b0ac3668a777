//! The catalogue's file format and its table.

use std::sync::Arc;

use toucanrail::catalogue::CatalogueTable;
use toucanrail::catalogue_files;
use toucanrail::messages::MirrorObject;

const GOOD: &str = "[[service]]\nname = \"desk\"\nowner = \"ops\"\nkind = \"plain\"\n\
    route = \"/desk\"\nprice = 5\n";

fn faults(text: &str) -> Vec<String> {
    let faults = catalogue_files::parse_items(text).expect_err("it has faults");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn every_fault() {
    let text = "[[service]]\nname = \"a b\"\nowner = \"\"\nkind = \"plain\"\nroute = \"desk\"\n\
        price = 0\n\n[[customer]]\nname = \"c\"\nowner = \"o\"\nclass = \"standard\"\n\
        key-digests = [\"short\"]\nweight = 0\n";
    let found = faults(text);
    for (line, field) in
        [(2, "name"), (3, "owner"), (5, "route"), (6, "price"), (12, "key-digests")]
    {
        let wanted = format!("line {line}: ");
        let fits = |fault: &String| fault.contains(&wanted) && fault.contains(field);
        assert!(found.iter().any(fits), "{line} {field}: {found:?}");
    }
    assert_eq!(found.len(), 6, "{found:?}");
}

#[test]
fn unknown_field() {
    let found = faults(&format!("{GOOD}colour = \"red\"\n"));
    assert!(found[0].contains("line 1") && found[0].contains("colour"), "{found:?}");
    let found = faults("[[service]\n");
    assert!(found[0].contains("line 1"), "{found:?}");
}

#[test]
fn clashing_names() {
    let found = faults(&format!("{GOOD}{GOOD}"));
    assert!(found.iter().any(|fault| fault.contains("route /desk stands on line 1")), "{found:?}");
}

fn object(version: u64, text: &str) -> MirrorObject {
    MirrorObject { name: Arc::from("service.desk"), version, value: text.as_bytes().to_vec() }
}

/// A broken entry is written past the check: the last good one must stay in force.
#[test]
fn bad_object() {
    let mut table = CatalogueTable::new();
    let item = catalogue_files::parse_items(GOOD).expect("it is good").remove(0).item;
    let value = serde_json::to_string(&item).expect("it is encoded");
    table.apply(&object(1, &value));
    table.apply(&object(2, "{\"service\":{\"name\":\"desk\"}}"));
    assert_eq!(table.service("desk").map(|service| service.price), Some(5));
    assert!(table.faults.contains_key("service.desk"));
    table.apply(&object(3, ""));
    assert!(table.service("desk").is_none() && table.faults.is_empty());
}

#[test]
fn longest_route() {
    let mut table = CatalogueTable::new();
    for (name, route) in [("desk", "/desk"), ("inner", "/desk/inner")] {
        let text = GOOD.replace("\"desk\"", &format!("\"{name}\"")).replace("/desk", route);
        let item = catalogue_files::parse_items(&text).expect("it is good").remove(0).item;
        let value = serde_json::to_vec(&item).expect("it is encoded");
        table.apply(&MirrorObject { name: item.object_name(), version: 1, value });
    }
    let found = |path| table.service_by_path(path).map(|service| service.name.to_string());
    assert_eq!(found("/desk/inner/x").as_deref(), Some("inner"));
    assert_eq!(found("/desk/innermost").as_deref(), Some("desk"));
    assert_eq!(found("/desks"), None);
}
