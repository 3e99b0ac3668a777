//! The relay as a process.

use std::process::ExitCode;

use toucanrail_gateway::{launching, relay};

fn main() -> ExitCode {
    let about = "passes entries' calls to the store on, and lends them budget";
    launching::launch("toucanrail-relay", about, |settings, tuning| relay::run(&settings, tuning))
}
