//! The gateway as a process.

use std::process::ExitCode;

use toucanrail_gateway::{launching, starting};

fn main() -> ExitCode {
    let about = "takes callers' requests on the users' platform";
    launching::launch("toucanrail-gateway", about, starting::run)
}
