//! Startup shared by both programs: settings, the platform's settings file and logging.

use std::io;
use std::process::ExitCode;

use toucanrail_daemons::starting;
use toucanrail_platform::settings::{self, NodeSettings};

use crate::logging;
use crate::tuning::{self, GatewayTuning};

/// Reads all settings, initializes logging and runs a program. Invalid settings give exit code 2.
pub fn launch<Running>(program: &str, about: &str, run: Running) -> ExitCode
where
    Running: FnOnce(NodeSettings, GatewayTuning) -> io::Result<()>,
{
    let mut values = match starting::read_settings(program, about, &tuning::SETTINGS) {
        Ok(values) => values,
        Err(code) => return code,
    };
    let tuning = GatewayTuning::read(&mut values);
    if starting::print_errors(&values) {
        return ExitCode::from(starting::EXIT_USAGE);
    }
    let settings = match settings::read_settings() {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(starting::EXIT_USAGE);
        }
    };
    let _logs = logging::init_logging();
    match run(settings, tuning) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "start_failed", %error);
            ExitCode::FAILURE
        }
    }
}
