//! Settings and reports of the load tool.

// Tests panic at the first unexpected result.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use toucanrail::settings::{self, StartAction};
use toucanrail_standins::loads::{self, LoadPlan};
use toucanrail_standins::platforms::{self, CallCounts};
use toucanrail_standins::reports::{self, TruthSampler, TruthSources};

/// Builds a plan with these entries; returns it with the errors in its settings.
fn plan_for(entries: &str) -> (LoadPlan, Vec<String>) {
    let args = [format!("--entries={entries}"), "--customers=acme:key:1".to_owned()];
    let args = args.into_iter().map(Into::into);
    match settings::read("load", "", &loads::SETTINGS, args, |_| None) {
        StartAction::Run(mut values) => {
            let plan = LoadPlan::from_settings(&mut values);
            (plan, values.errors.iter().map(ToString::to_string).collect())
        }
        StartAction::Print(text) => panic!("{text}"),
    }
}

/// A load without entries has nowhere to go: it is refused as a wrong setting.
#[test]
fn no_entries() {
    assert_eq!(plan_for("127.0.0.1:1").1, Vec::<String>::new());
    for empty in ["", ",", " , "] {
        let errors = plan_for(empty).1;
        assert!(errors.iter().any(|error| error.contains("entries")), "{errors:?}");
    }
}

/// The platform is replaced during the load, so its counters are lower than before.
#[test]
fn replaced_platform() {
    smol::block_on(async {
        let (_platform, store) = platforms::start("127.0.0.1:0", Duration::ZERO).unwrap();
        let sources = TruthSources { store, engines: Vec::new(), plains: Vec::new() };
        let before = CallCounts { reads: 1_000, writes: 1_000, watches: 1_000 };
        let sampler = TruthSampler::new(sources.clone());
        let plan = Arc::new(plan_for("127.0.0.1:1").0);
        let report = reports::make_report(&plan, &[], &sources, before, &sampler).await;
        assert_eq!(report.store.writes, 0);
    });
}
