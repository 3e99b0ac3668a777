//! Main function of the relay program.

use std::process::ExitCode;

use toucanrail_gateway::{launching, relay};

fn main() -> ExitCode {
    let about = "forwards entries' calls to the store and lends them budget";
    launching::launch("toucanrail-relay", about, |settings, tuning| relay::run(&settings, tuning))
}
