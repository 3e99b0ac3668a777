//! Settings of the gateway, read from flags and environment variables.

use std::time::Duration;

use toucanrail::ids::Tokens;
use toucanrail::policies::GrantPolicy;
use toucanrail::settings::{SettingRow, SettingValues};

/// All settings of the gateway.
pub const SETTINGS: [SettingRow; 6] = [
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
        default: Some("0.07"),
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
        Self { policy, flush: values.duration("flush"), shards, link_reserve }
    }
}
