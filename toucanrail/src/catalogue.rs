//! The catalogue in force: services and customers, found by model, route and key.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, ServiceName, Tokens, Version};
use crate::messages::MirrorObject;
use crate::storecalls;

/// What stands behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// A plain service.
    Plain,
}

/// Who is refused first when a service is short of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceClass {
    /// Refused first.
    Batch,
    /// The usual class.
    Standard,
    /// Refused last.
    Urgent,
}

impl ServiceClass {
    /// Returns the priority that model engines get.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Batch => 0,
            Self::Standard => 1,
            Self::Urgent => 2,
        }
    }
}

/// One service of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// Who answers for it.
    pub owner: Arc<str>,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// The model's name towards callers.
    pub model: Option<Arc<str>>,
    /// The path prefix of a plain service.
    pub route: Option<Arc<str>>,
    /// Calls that may run at most once, as `METHOD /path-prefix` below the route.
    #[serde(default)]
    pub not_repeatable: Vec<Arc<str>>,
    /// Price of a call of a plain service.
    #[serde(default)]
    pub price: Tokens,
    /// Output limit where the caller gives none, and the most a caller may ask for.
    #[serde(default = "default_output")]
    pub max_output: Tokens,
    /// The fewest prompt bytes that the engine counts as one token; bounds a prompt's cost.
    #[serde(default = "default_bytes")]
    pub least_bytes_per_token: u64,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
    /// Whether the engine resumes a stream from an offset.
    #[serde(default)]
    pub resumes: bool,
    /// The longest a request may take, in seconds.
    #[serde(default = "default_deadline")]
    pub deadline_seconds: u64,
}

const fn default_output() -> Tokens {
    1024
}

const fn default_bytes() -> u64 {
    1
}

const fn default_deadline() -> u64 {
    120
}

/// One customer of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CustomerEntry {
    /// Its name.
    pub name: CustomerId,
    /// Who answers for it.
    pub owner: Arc<str>,
    /// Who is refused first.
    pub class: ServiceClass,
    /// SHA-256 digests of its bearer keys, in hexadecimal.
    pub key_digests: Vec<Arc<str>>,
    /// Its share of a service that is short of capacity.
    #[serde(default = "default_weight")]
    pub weight: u64,
    /// The services it may use; all if empty.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// What its budget starts with, when its account is made; later changes go through
    /// `toucanrail budget`.
    #[serde(default)]
    pub opening_budget: Tokens,
}

const fn default_weight() -> u64 {
    1
}

/// One entry of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CatalogueItem {
    /// A service.
    Service(ServiceEntry),
    /// A customer.
    Customer(CustomerEntry),
}

/// A fault of one field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldError {
    /// The field, as the file writes it.
    pub field: &'static str,
    /// What is wrong.
    pub reason: String,
}

impl CatalogueItem {
    /// Returns the name of its object in the catalogue kind.
    pub fn object_name(&self) -> Arc<str> {
        match self {
            Self::Service(service) => Arc::from(format!("service.{}", service.name)),
            Self::Customer(customer) => Arc::from(format!("customer.{}", customer.name)),
        }
    }

    /// Checks the item by itself.
    pub fn check(&self) -> Vec<FieldError> {
        match self {
            Self::Service(service) => check_service(service),
            Self::Customer(customer) => check_customer(customer),
        }
    }
}

fn fault(faults: &mut Vec<FieldError>, wrong: bool, field: &'static str, reason: &str) {
    if wrong {
        faults.push(FieldError { field, reason: reason.to_owned() });
    }
}

fn is_plain_name(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !name.is_empty() && name.len() <= 64 && name.bytes().all(plain)
}

fn check_service(service: &ServiceEntry) -> Vec<FieldError> {
    let mut faults = Vec::new();
    let engine = service.kind == ServiceKind::Engine;
    let names = "must be 1 to 64 letters, digits, '-' or '_'";
    fault(&mut faults, !is_plain_name(&service.name), "name", names);
    fault(&mut faults, service.owner.is_empty(), "owner", "must not be empty");
    fault(&mut faults, engine && service.model.is_none(), "model", "an engine needs a model");
    fault(&mut faults, engine && service.route.is_some(), "route", "only for a plain service");
    fault(&mut faults, !engine && service.model.is_some(), "model", "only for an engine");
    fault(&mut faults, !engine && service.price == 0, "price", "a plain service needs a price");
    let route = service.route.as_deref().unwrap_or_default();
    let rooted = route.starts_with('/') && route.len() > 1 && !route.starts_with("/v1");
    fault(&mut faults, !engine && !rooted, "route", "must begin with '/' and not with '/v1'");
    fault(&mut faults, service.max_output == 0, "max-output", "must be at least 1");
    let bytes = service.least_bytes_per_token;
    fault(&mut faults, bytes == 0, "least-bytes-per-token", "must be at least 1");
    fault(&mut faults, service.deadline_seconds == 0, "deadline-seconds", "must be at least 1");
    let calls = service.not_repeatable.iter();
    let unclear = calls.filter(|call| !call.contains(" /")).count() > 0;
    fault(&mut faults, unclear, "not-repeatable", "each must be 'METHOD /path'");
    faults
}

fn check_customer(customer: &CustomerEntry) -> Vec<FieldError> {
    let mut faults = Vec::new();
    let names = "must be 1 to 64 letters, digits, '-' or '_'";
    fault(&mut faults, !is_plain_name(&customer.name), "name", names);
    fault(&mut faults, customer.owner.is_empty(), "owner", "must not be empty");
    fault(&mut faults, customer.weight == 0, "weight", "must be at least 1");
    let digest = |text: &Arc<str>| text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let digests = customer.key_digests.iter().all(digest);
    fault(&mut faults, !digests, "key-digests", "each must be a SHA-256 digest in hexadecimal");
    faults
}

/// The catalogue as a node has it in force.
#[derive(Debug, Default, Serialize)]
pub struct CatalogueTable {
    items: BTreeMap<Arc<str>, (Version, CatalogueItem)>,
    /// Objects refused, with the reason; their last good version stays in force.
    pub faults: BTreeMap<Arc<str>, String>,
    #[serde(skip)]
    keys: BTreeMap<Arc<str>, CustomerId>,
}

impl CatalogueTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a changed object: a good one comes into force, a bad one is noted and the last good
    /// one stays, an empty one ends its entry.
    pub fn apply(&mut self, object: &MirrorObject) {
        self.faults.remove(&object.name);
        if object.value.is_empty() {
            self.items.remove(&object.name);
        } else {
            match read_item(object) {
                Ok(item) => {
                    self.items.insert(Arc::clone(&object.name), (object.version, item));
                }
                Err(reason) => {
                    self.faults.insert(Arc::clone(&object.name), reason);
                }
            }
        }
        self.index_keys();
    }

    fn index_keys(&mut self) {
        self.keys.clear();
        for (_, item) in self.items.values() {
            if let CatalogueItem::Customer(customer) = item {
                for digest in &customer.key_digests {
                    self.keys.insert(Arc::clone(digest), Arc::clone(&customer.name));
                }
            }
        }
    }

    /// Returns the customer that a key's digest belongs to.
    pub fn customer_by_key_digest(&self, key_digest: &str) -> Option<&CustomerEntry> {
        self.customer(self.keys.get(key_digest)?)
    }

    /// Returns a customer.
    pub fn customer(&self, name: &str) -> Option<&CustomerEntry> {
        match &self.items.get(&*format!("customer.{name}"))?.1 {
            CatalogueItem::Customer(customer) => Some(customer),
            CatalogueItem::Service(_) => None,
        }
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        match &self.items.get(&*format!("service.{name}"))?.1 {
            CatalogueItem::Service(service) => Some(service),
            CatalogueItem::Customer(_) => None,
        }
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.items.values().filter_map(|(_, item)| match item {
            CatalogueItem::Service(service) => Some(service),
            CatalogueItem::Customer(_) => None,
        })
    }

    /// Returns all customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerEntry> {
        self.items.values().filter_map(|(_, item)| match item {
            CatalogueItem::Customer(customer) => Some(customer),
            CatalogueItem::Service(_) => None,
        })
    }

    /// Returns the service of a model.
    pub fn service_by_model(&self, model: &str) -> Option<&ServiceEntry> {
        self.services().find(|service| service.model.as_deref() == Some(model))
    }

    /// Returns the plain service with the longest route that begins the path.
    pub fn service_by_path(&self, path: &str) -> Option<&ServiceEntry> {
        let matching = self.services().filter(|service| {
            let rest = service.route.as_deref().and_then(|route| path.strip_prefix(route));
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
        });
        matching.max_by_key(|service| service.route.as_deref().map_or(0, str::len))
    }
}

impl ServiceEntry {
    /// Tells whether a call may run more than once; `path` is below the route.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::catalogue_files;
    /// let text = "[[service]]\nname = 'desk'\nowner = 'a'\nkind = 'plain'\nroute = '/desk'\n\
    ///     price = 1\nnot-repeatable = ['POST /deposits']\n";
    /// let items = catalogue_files::parse_items(text).unwrap();
    /// let toucanrail::catalogue::CatalogueItem::Service(desk) = &items[0].item else { panic!() };
    /// assert!(!desk.is_repeatable("POST", "/deposits/7"));
    /// assert!(desk.is_repeatable("GET", "/deposits/7"));
    /// ```
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        !self.not_repeatable.iter().any(|call| {
            let (wanted, prefix) = call.split_once(' ').unwrap_or((call, ""));
            wanted.eq_ignore_ascii_case(method) && path.starts_with(prefix)
        })
    }
}

fn read_item(object: &MirrorObject) -> Result<CatalogueItem, String> {
    let item: CatalogueItem = storecalls::decode_value(&object.value)
        .ok_or_else(|| "it is no catalogue entry".to_owned())?;
    if item.object_name() != object.name {
        return Err(format!("it names itself {}", item.object_name()));
    }
    match item.check().first() {
        Some(fault) => Err(format!("{}: {}", fault.field, fault.reason)),
        None => Ok(item),
    }
}
