//! Main function of the operator's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    toucanrail_daemons::operators::main()
}
