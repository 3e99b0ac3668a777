//! Main function of the gateway program.

use std::process::ExitCode;

use toucanrail_gateway::{explain_command, launching, starting};

fn main() -> ExitCode {
    if std::env::args_os().nth(1).is_some_and(|word| word == explain_command::NAME) {
        return explain_command::run();
    }
    let about = "accepts callers' requests on the users' platform";
    launching::launch("toucanrail-gateway", about, starting::run)
}
