//! The entry as a process.

use std::process::ExitCode;

use toucanrail_daemons::entries;
use toucanrail_daemons::starting;
use toucanrail_daemons::states::{self, EntrySettings};

fn main() -> ExitCode {
    let rows: Vec<_> = starting::COMMON_SETTINGS.into_iter().chain(states::SETTINGS).collect();
    let about = "takes callers' requests for the fleet";
    let mut values = match starting::read_settings("toucanrail-entry", about, &rows) {
        Ok(values) => values,
        Err(code) => return code,
    };
    let settings = EntrySettings::read(&mut values);
    if starting::print_faults(&values) {
        return ExitCode::from(starting::EXIT_USAGE);
    }
    starting::start_logs(values.text("log"));
    starting::run_main(async move {
        match entries::start(settings) {
            Ok(handle) => {
                println!("listening on {} inner {}", handle.address, handle.inner);
                starting::wait_stop().await;
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
