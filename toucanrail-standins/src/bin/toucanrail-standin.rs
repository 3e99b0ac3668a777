//! Runs one simulated external system: a platform, a model engine or a plain service.

use std::process::ExitCode;

use toucanrail::settings::{self, SettingRow, SettingValues, StartAction};
use toucanrail_standins::engines::{self, EngineSpeed};
use toucanrail_standins::{plains, platforms};

const SETTINGS: [SettingRow; 9] = [
    SettingRow { name: "listen", default: Some("127.0.0.1:0"), help: "Address to listen on." },
    SettingRow { name: "vm-lag", default: Some("1s"), help: "Delay of the VM list." },
    SettingRow { name: "slots", default: Some("8"), help: "Maximum batch size of an engine." },
    SettingRow { name: "step", default: Some("4ms"), help: "Base duration of an engine step." },
    SettingRow {
        name: "per-sequence",
        default: Some("0.1ms"),
        help: "Step time added by each sequence.",
    },
    SettingRow {
        name: "per-prompt-token",
        default: Some("0.05ms"),
        help: "Prefill time of each prompt token.",
    },
    SettingRow {
        name: "cache-tokens",
        default: Some("4000"),
        help: "Prefix cache capacity in tokens.",
    },
    SettingRow { name: "load-lag", default: Some("300ms"), help: "Age of the reported load." },
    SettingRow {
        name: "honours-fencing",
        default: Some("true"),
        help: "Reject orders with a lower fencing number.",
    },
];

fn main() -> ExitCode {
    let about = "simulates an external system; argument: platform, engine or plain";
    let env = |name: &str| std::env::var(name).ok();
    let args = std::env::args_os().skip(1);
    let mut values = match settings::read("toucanrail-standin", about, &SETTINGS, args, env) {
        StartAction::Print(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        StartAction::Run(values) => values,
    };
    let result = start(&mut values);
    for error in &values.errors {
        eprintln!("{error}");
    }
    match result {
        _ if !values.errors.is_empty() => ExitCode::from(2),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
        Ok(address) => {
            println!("listening on {address}");
            smol::future::block_on(std::future::pending())
        }
    }
}

fn start(values: &mut SettingValues) -> std::io::Result<std::net::SocketAddr> {
    let listen = values.text("listen").to_owned();
    let speed = EngineSpeed {
        slots: values.parse("slots", "a number"),
        step: values.duration("step"),
        per_sequence: values.duration("per-sequence"),
        per_prompt_token: values.duration("per-prompt-token"),
        cache_tokens: values.parse("cache-tokens", "a number"),
        load_lag: values.duration("load-lag"),
    };
    let vm_lag = values.duration("vm-lag");
    let honours_fencing = values.parse("honours-fencing", "true or false");
    match values.positionals.first().map(String::as_str) {
        Some("platform") => platforms::start(&listen, vm_lag).map(|(_, address)| address),
        Some("engine") => {
            engines::start(&listen, speed, honours_fencing).map(|(_, address)| address)
        }
        Some("plain") => plains::start(&listen).map(|(_, address)| address),
        _ => Err(std::io::Error::other("5003: expected one argument: platform, engine or plain")),
    }
}
