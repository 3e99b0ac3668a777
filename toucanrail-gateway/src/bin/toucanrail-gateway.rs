//! Main function of the gateway program.

use std::process::ExitCode;

use toucanrail_gateway::{launching, starting};

fn main() -> ExitCode {
    let about = "accepts callers' requests on the users' platform";
    launching::launch("toucanrail-gateway", about, starting::run)
}
