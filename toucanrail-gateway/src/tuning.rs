//! The gateway's own settings, in flags and environment variables.

use std::time::Duration;

use toucanrail::ids::Tokens;
use toucanrail::policies::GrantPolicy;
use toucanrail::settings::{SettingRow, SettingValues};

/// All settings.
pub const SETTINGS: [SettingRow; 5] = [
    SettingRow {
        name: "grant-horizon",
        default: Some("5s"),
        help: "Burn that grants cover while the store is away.",
    },
    SettingRow {
        name: "grant-floor",
        default: Some("2000"),
        help: "Least grant ahead of a customer in use, in tokens.",
    },
    SettingRow {
        name: "grant-part",
        default: Some("0.07"),
        help: "Part of a prepaid budget that is granted ahead of use at most.",
    },
    SettingRow {
        name: "shards",
        default: Some("4"),
        help: "Objects that accounts are divided among; 0 for one a customer. Never changed in use.",
    },
    SettingRow { name: "flush", default: Some("3s"), help: "Time between settlements." },
];

/// The settings as read.
#[derive(Debug, Clone, Copy)]
pub struct GatewayTuning {
    /// How grants are sized.
    pub policy: GrantPolicy,
    /// Time between settlements.
    pub flush: Duration,
    /// Objects that accounts are divided among; 0 for one a customer. All processes must agree for
    /// ever: an account that stood in two objects could be spent twice.
    pub shards: u64,
}

impl GatewayTuning {
    /// Reads the settings, noting faults.
    pub fn read(values: &mut SettingValues) -> Self {
        let horizon = values.duration("grant-horizon");
        let floor: Tokens = values.parse("grant-floor", "a number of tokens");
        let max_fraction = values.parse_with("grant-part", "a part from 0 to 1", |text| {
            text.parse().ok().filter(|part| (0.0..=1.0).contains(part))
        });
        let policy = GrantPolicy::OutageTolerant { horizon, floor, max_fraction };
        let shards = values.parse("shards", "a number");
        Self { policy, flush: values.duration("flush"), shards }
    }
}
