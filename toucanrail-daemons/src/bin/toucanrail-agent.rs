//! Main function of the agent program.

use std::process::ExitCode;

use toucanrail_daemons::agents::{self, AgentSettings};
use toucanrail_daemons::starting;

fn main() -> ExitCode {
    let rows: Vec<_> = starting::COMMON_SETTINGS.into_iter().chain(agents::SETTINGS).collect();
    let about = "runs beside one backend server and meters its requests";
    let mut values = match starting::read_settings("toucanrail-agent", about, &rows) {
        Ok(values) => values,
        Err(code) => return code,
    };
    let settings = AgentSettings::read(&mut values);
    if starting::print_errors(&values) {
        return ExitCode::from(starting::EXIT_USAGE);
    }
    starting::init_logging(values.text("log"));
    starting::run_main(async move {
        match agents::start(settings) {
            Ok(handle) => {
                println!("listening on {}", handle.address);
                starting::wait_for_stop().await;
                handle.stop().await;
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("5003: cannot start: {error}");
                ExitCode::FAILURE
            }
        }
    })
}
