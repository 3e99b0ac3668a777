//! The relay as a process.

use std::process::ExitCode;

use toucanrail_daemons::starting;
use toucanrail_gateway::tuning::{self, GatewayTuning};
use toucanrail_gateway::{logging, tunnelling};
use toucanrail_platform::settings;

fn main() -> ExitCode {
    let about = "passes entries' calls to the store on, and lends them budget";
    let read = starting::read_settings("toucanrail-relay", about, &tuning::SETTINGS);
    let mut values = match read {
        Ok(values) => values,
        Err(code) => return code,
    };
    let tuning = GatewayTuning::read(&mut values);
    if starting::print_faults(&values) {
        return ExitCode::from(starting::EXIT_USAGE);
    }
    let settings = match settings::read_settings() {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(starting::EXIT_USAGE);
        }
    };
    let _logs = logging::start_logs();
    match tunnelling::run(&settings, tuning) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "start_failed", %error);
            ExitCode::FAILURE
        }
    }
}
