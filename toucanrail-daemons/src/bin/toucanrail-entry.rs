//! Main function of the entry program.

use std::process::ExitCode;

use toucanrail_daemons::entries;
use toucanrail_daemons::starting;
use toucanrail_daemons::state::{self, EntrySettings};

fn main() -> ExitCode {
    let rows: Vec<_> = starting::COMMON_SETTINGS.into_iter().chain(state::SETTINGS).collect();
    let about = "accepts callers' requests and forwards them to the fleet";
    let mut values = match starting::read_settings("toucanrail-entry", about, &rows) {
        Ok(values) => values,
        Err(code) => return code,
    };
    let settings = EntrySettings::read(&mut values);
    if starting::print_errors(&values) {
        return ExitCode::from(starting::EXIT_USAGE);
    }
    starting::init_logging(values.text("log"));
    starting::run_main(async move {
        match entries::start(settings) {
            Ok(handle) => {
                println!("listening on {} inner {}", handle.address, handle.internal);
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
