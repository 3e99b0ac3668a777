//! The operator's command.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanrail_daemons::operators::main()
}
