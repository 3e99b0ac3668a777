//! The catalogue of services and customers, indexed by model, route and key.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::call_patterns::CallPattern;
use crate::ids::{CustomerId, ServiceName, Tokens, Version};
use crate::messages::MirrorObject;
use crate::storecalls;

/// What kind of backend serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Service class of a customer: determines who is refused first when a service lacks capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceClass {
    /// Refused first.
    Batch,
    /// Refused after `Batch` and before `Urgent`.
    Standard,
    /// Refused last.
    Urgent,
}

impl ServiceClass {
    /// Returns the priority that is passed to model engines.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Batch => 0,
            Self::Standard => 1,
            Self::Urgent => 2,
        }
    }
}

/// A service in the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Person or team responsible for the service.
    pub owner: Arc<str>,
    /// Kind of backend.
    pub kind: ServiceKind,
    /// Model name that callers use; required for an engine.
    pub model: Option<Arc<str>>,
    /// Path prefix of a plain service.
    pub route: Option<Arc<str>>,
    /// Calls that may run at most once, as `METHOD /path-prefix` relative to the route.
    #[serde(default)]
    pub not_repeatable: Vec<Arc<str>>,
    /// Price of one call of a plain service.
    #[serde(default)]
    pub price: Tokens,
    /// Default output limit in tokens, and the maximum that a caller may request.
    #[serde(default = "default_output")]
    pub max_output: Tokens,
    /// Minimum number of prompt bytes per token; bounds the cost of a prompt from above.
    #[serde(default = "default_bytes")]
    pub least_bytes_per_token: u64,
    /// Whether the engine refuses commands with an outdated fencing number.
    #[serde(default)]
    pub honours_fencing: bool,
    /// Whether the engine can resume a stream from an offset.
    #[serde(default)]
    pub resumes: bool,
    /// Maximum duration of a request, in seconds.
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

/// A customer in the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CustomerEntry {
    /// Name of the customer.
    pub name: CustomerId,
    /// Person or team responsible for the customer.
    pub owner: Arc<str>,
    /// Class that determines who is refused first when a service lacks capacity.
    pub class: ServiceClass,
    /// SHA-256 digests of the customer's bearer keys, in hexadecimal.
    pub key_digests: Vec<Arc<str>>,
    /// Relative weight of the customer's share of a service that lacks capacity.
    #[serde(default = "default_weight")]
    pub weight: u64,
    /// Services that the customer may use; all if empty.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Initial budget, set when the account is created; later changes are made with
    /// `toucanrail budget`.
    #[serde(default)]
    pub opening_budget: Tokens,
}

const fn default_weight() -> u64 {
    1
}

/// An item of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CatalogueItem {
    /// A service.
    Service(ServiceEntry),
    /// A customer.
    Customer(CustomerEntry),
}

/// An invalid field of a catalogue item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldError {
    /// Name of the field in the catalogue file.
    pub field: &'static str,
    /// Why the field is invalid.
    pub reason: String,
}

impl CatalogueItem {
    /// Returns the name of the item's object within the `catalogue` kind.
    pub fn object_name(&self) -> Arc<str> {
        match self {
            Self::Service(service) => Arc::from(format!("service.{}", service.name)),
            Self::Customer(customer) => Arc::from(format!("customer.{}", customer.name)),
        }
    }

    /// Validates the fields of the item; does not look at other items.
    pub fn check(&self) -> Vec<FieldError> {
        match self {
            Self::Service(service) => check_service(service),
            Self::Customer(customer) => check_customer(customer),
        }
    }
}

fn reject_if(errors: &mut Vec<FieldError>, wrong: bool, field: &'static str, reason: &str) {
    if wrong {
        errors.push(FieldError { field, reason: reason.to_owned() });
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !name.is_empty() && name.len() <= 64 && name.bytes().all(allowed)
}

fn check_service(service: &ServiceEntry) -> Vec<FieldError> {
    let mut errors = Vec::new();
    let engine = service.kind == ServiceKind::Engine;
    let names = "must be 1 to 64 letters, digits, '-' or '_'";
    reject_if(&mut errors, !is_valid_name(&service.name), "name", names);
    reject_if(&mut errors, service.owner.is_empty(), "owner", "must not be empty");
    reject_if(&mut errors, engine && service.model.is_none(), "model", "required for engines");
    reject_if(&mut errors, engine && service.route.is_some(), "route", "not allowed for engines");
    reject_if(&mut errors, !engine && service.model.is_some(), "model", "only allowed for engines");
    reject_if(&mut errors, !engine && service.price == 0, "price", "required for plain services");
    let route = service.route.as_deref().unwrap_or_default();
    let rooted = route.starts_with('/') && route.len() > 1 && !route.starts_with("/v1");
    reject_if(&mut errors, !engine && !rooted, "route", "must begin with '/' and not with '/v1'");
    reject_if(&mut errors, service.max_output == 0, "max-output", "must be at least 1");
    let bytes = service.least_bytes_per_token;
    reject_if(&mut errors, bytes == 0, "least-bytes-per-token", "must be at least 1");
    reject_if(&mut errors, service.deadline_seconds == 0, "deadline-seconds", "must be at least 1");
    let malformed = service.not_repeatable.iter().any(|text| CallPattern::parse(text).is_none());
    reject_if(&mut errors, malformed, "not-repeatable", "each must be 'METHOD /path'");
    errors
}

fn check_customer(customer: &CustomerEntry) -> Vec<FieldError> {
    let mut errors = Vec::new();
    let names = "must be 1 to 64 letters, digits, '-' or '_'";
    reject_if(&mut errors, !is_valid_name(&customer.name), "name", names);
    reject_if(&mut errors, customer.owner.is_empty(), "owner", "must not be empty");
    reject_if(&mut errors, customer.weight == 0, "weight", "must be at least 1");
    let is_digest =
        |text: &Arc<str>| text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let valid = customer.key_digests.iter().all(is_digest);
    reject_if(&mut errors, !valid, "key-digests", "each must be a SHA-256 digest in hexadecimal");
    errors
}

/// The catalogue in effect at a node.
#[derive(Debug, Default, Serialize)]
pub struct CatalogueTable {
    items: BTreeMap<Arc<str>, (Version, CatalogueItem)>,
    /// Invalid objects, with the reason; their last valid version stays in effect.
    #[serde(rename = "faults")]
    pub errors: BTreeMap<Arc<str>, String>,
    #[serde(skip)]
    keys: BTreeMap<Arc<str>, CustomerId>,
}

impl CatalogueTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a changed object.
    ///
    /// A valid object takes effect. For an invalid one an error is recorded and the last valid
    /// version stays in effect. An object with an empty value removes the item.
    pub fn apply(&mut self, object: &MirrorObject) {
        self.errors.remove(&object.name);
        if object.value.is_empty() {
            self.items.remove(&object.name);
        } else {
            match read_item(object) {
                Ok(item) => {
                    self.items.insert(Arc::clone(&object.name), (object.version, item));
                }
                Err(reason) => {
                    self.errors.insert(Arc::clone(&object.name), reason);
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

    /// Returns the customer that has a key with this digest.
    pub fn customer_by_key_digest(&self, key_digest: &str) -> Option<&CustomerEntry> {
        self.customer(self.keys.get(key_digest)?)
    }

    /// Returns the customer with this name.
    pub fn customer(&self, name: &str) -> Option<&CustomerEntry> {
        match &self.items.get(&*format!("customer.{name}"))?.1 {
            CatalogueItem::Customer(customer) => Some(customer),
            CatalogueItem::Service(_) => None,
        }
    }

    /// Returns the service with this name.
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

    /// Returns the service of the model with this name.
    pub fn service_by_model(&self, model: &str) -> Option<&ServiceEntry> {
        self.services().find(|service| service.model.as_deref() == Some(model))
    }

    /// Returns the plain service whose route is the longest prefix of the path, matched by whole
    /// path segments.
    pub fn service_by_path(&self, path: &str) -> Option<&ServiceEntry> {
        let matching = self.services().filter(|service| service.subpath(path).is_some());
        matching.max_by_key(|service| service.route.as_deref().map_or(0, str::len))
    }
}

impl ServiceEntry {
    /// Returns the path below the service's route, or `None` if the path is not below it.
    pub fn subpath<'path>(&self, path: &'path str) -> Option<&'path str> {
        let route = self.route.as_deref()?.trim_end_matches('/');
        let rest = path.strip_prefix(route)?;
        let is_below = rest.is_empty() || rest.starts_with(['/', '?']);
        is_below.then_some(if rest.is_empty() { "/" } else { rest })
    }

    /// Returns whether a call may run more than once; `path` is relative to the route.
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
        let mut patterns = self.not_repeatable.iter().map(|text| CallPattern::parse(text));
        // A pattern that cannot be parsed may be meant for any call.
        !patterns.any(|pattern| pattern.is_none_or(|pattern| pattern.matches(method, path)))
    }
}

fn read_item(object: &MirrorObject) -> Result<CatalogueItem, String> {
    let item: CatalogueItem = storecalls::decode_value(&object.value)
        .ok_or_else(|| "the object is not a catalogue item".to_owned())?;
    if item.object_name() != object.name {
        return Err(format!("the item has the object name {}", item.object_name()));
    }
    match item.check().first() {
        Some(error) => Err(format!("{}: {}", error.field, error.reason)),
        None => Ok(item),
    }
}
