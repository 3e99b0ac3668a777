//! Settings of the gateway, read from flags and environment variables.

use std::time::Duration;

use toucanrail::ids::Tokens;
use toucanrail::policies::GrantPolicy;
use toucanrail::remote_placement::{self, RemoteCosts};
use toucanrail::settings::{self, SettingRow, SettingValues};

/// Maximum of `zone-delay`. More is a wrong unit: no two data centres are that far apart.
const MAX_ZONE_DELAY: Duration = Duration::from_secs(1);

/// All settings of the gateway.
pub const SETTINGS: [SettingRow; 8] = [
    SettingRow {
        name: "grant-horizon",
        default: Some("5s"),
        help: "Time of budget use that grants cover while the store is unavailable.",
    },
    SettingRow {
        name: "grant-floor",
        default: Some("2000"),
        help: "Minimum grant for an active customer, in tokens.",
    },
    SettingRow {
        name: "grant-part",
        default: Some("0.0275"),
        help: "Maximum fraction of a prepaid budget that is granted in advance.",
    },
    SettingRow {
        name: "shards",
        default: Some("4"),
        help: "Number of store objects for accounts; 0 for one per customer. Must never change.",
    },
    SettingRow { name: "flush", default: Some("3s"), help: "Interval between settlements." },
    SettingRow {
        name: "link-reserve",
        default: Some("0.2"),
        help: "Fraction of an entry's link that is reserved for its own calls; 0 for no limit.",
    },
    SettingRow {
        name: "zone-delay",
        default: Some(""),
        help: "One-way delay between two data centres, at most 1s.",
    },
    SettingRow {
        name: "zone-price",
        default: Some(""),
        help: "Waiting time that one megabyte between data centres is worth, such as 20ms/MB.",
    },
];

/// Parsed settings.
#[derive(Debug, Clone, Copy)]
pub struct GatewayTuning {
    /// Policy that determines the size of grants.
    pub policy: GrantPolicy,
    /// Interval between settlements.
    pub flush: Duration,
    /// Number of store objects that accounts are distributed over; 0 for one object per customer.
    /// All processes must use the same value, and it must never change: an account stored in two
    /// objects could be spent twice.
    pub shards: u64,
    /// Fraction of an entry's link that callers' requests leave to its own calls; from 0 to below 1.
    pub link_reserve: f64,
    /// Costs of servers in other data centres; `None` if neither their delay nor their price is set.
    pub remote_costs: Option<RemoteCosts>,
}

impl GatewayTuning {
    /// Parses the settings and records invalid values.
    pub fn read(values: &mut SettingValues) -> Self {
        let horizon = values.duration("grant-horizon");
        let floor: Tokens = values.parse("grant-floor", "a number of tokens");
        let max_fraction = values.parse_with("grant-part", "a fraction from 0 to 1", |text| {
            text.parse().ok().filter(|part| (0.0..=1.0).contains(part))
        });
        let policy = GrantPolicy::OutageTolerant { horizon, floor, max_fraction };
        let shards = values.parse("shards", "a number");
        let link_reserve =
            values.parse_with("link-reserve", "a fraction from 0 to below 1", |text| {
                text.parse().ok().filter(|part| (0.0..1.0).contains(part))
            });
        let remote_costs = Self::read_remote_costs(values);
        Self { policy, flush: values.duration("flush"), shards, link_reserve, remote_costs }
    }

    /// If only one of the two settings is given, the other one keeps its default of
    /// [`RemoteCosts`].
    fn read_remote_costs(values: &mut SettingValues) -> Option<RemoteCosts> {
        let delay = values.parse_with("zone-delay", "a time like 5ms, at most 1s", |text| {
            let delay = settings::parse_duration(text).filter(|delay| *delay <= MAX_ZONE_DELAY);
            if text.is_empty() { Some(None) } else { delay.map(Some) }
        });
        let price = values.parse_with("zone-price", "a price like 20ms/MB", |text| {
            let price = remote_placement::parse_price(text);
            if text.is_empty() { Some(None) } else { price.map(Some) }
        });
        let costs = RemoteCosts::default();
        let (is_set, delay) = (delay.or(price).is_some(), delay.unwrap_or(costs.delay));
        is_set.then_some(RemoteCosts { delay, price: price.unwrap_or(costs.price) })
    }
}
