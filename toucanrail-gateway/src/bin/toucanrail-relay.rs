//! The relay as a process.

use std::process::ExitCode;

use toucanrail_daemons::starting::EXIT_USAGE;
use toucanrail_gateway::{logging, tunnelling};
use toucanrail_platform::settings;

fn main() -> ExitCode {
    let settings = match settings::read_settings() {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let _logs = logging::start_logs();
    match tunnelling::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "start_failed", %error);
            ExitCode::FAILURE
        }
    }
}
