//! What all daemons share at their start and their end: identity, settings, logs and signals.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use toucanrail::ids::{DataCentre, VmId};
use toucanrail::settings::{self, SettingRow, SettingValues, StartAction};
use tracing_subscriber::EnvFilter;

/// Exit code of a program whose settings have faults.
pub const EXIT_USAGE: u8 = 2;

/// Settings that entries and agents have in common.
pub const COMMON_SETTINGS: [SettingRow; 10] = [
    SettingRow { name: "name", default: None, help: "Name of this process." },
    SettingRow { name: "listen", default: None, help: "Address to listen on." },
    SettingRow { name: "advertise", default: Some(""), help: "Address others use, if another." },
    SettingRow { name: "store", default: None, help: "Address of the platform's object API." },
    SettingRow { name: "fleet-key", default: None, help: "Secret shared by the fleet." },
    SettingRow { name: "data-centre", default: Some("local"), help: "Data centre of this VM." },
    SettingRow { name: "vm", default: Some(""), help: "VM of this process; its name by default." },
    SettingRow {
        name: "peers",
        default: Some(""),
        help: "Entries to ask while the store is down.",
    },
    SettingRow {
        name: "drain",
        default: Some("30s"),
        help: "Longest wait for requests at a stop.",
    },
    SettingRow { name: "log", default: Some("text"), help: "Form of the logs: text or json." },
];

/// The common settings as read.
#[derive(Debug, Clone)]
pub struct CommonSettings {
    /// The process's configured name.
    pub name: Arc<str>,
    /// Where it listens.
    pub listen: String,
    /// Where others reach it; none for the address it listens on.
    pub advertise: Option<SocketAddr>,
    /// The platform's object API.
    pub store: SocketAddr,
    /// The fleet's secret.
    pub fleet_key: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its VM.
    pub vm: VmId,
    /// Entries to ask while the object API is down.
    pub peers: Vec<SocketAddr>,
    /// Longest wait for requests in flight at a stop.
    pub shutdown_grace: Duration,
}

impl CommonSettings {
    /// Reads the common settings, noting faults.
    pub fn read(values: &mut SettingValues) -> Self {
        let name = Arc::from(values.text("name"));
        let vm = match values.text("vm") {
            "" => Arc::clone(&name),
            vm => Arc::from(vm),
        };
        let advertise = values.text("advertise").to_owned();
        let optional = |text: &str| match text {
            "" => Some(None),
            text => text.parse().ok().map(Some),
        };
        let peers = |text: &str| {
            let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
            items.map(|item| item.parse().ok()).collect()
        };
        let log = |text: &str| matches!(text, "text" | "json").then_some(());
        values.parse_with("log", "text or json", log);
        values.parse_with("listen", "an address like 127.0.0.1:7100", |text| {
            text.parse::<SocketAddr>().ok().map(|_| ())
        });
        Self {
            name,
            listen: values.text("listen").to_owned(),
            advertise: optional(&advertise)
                .unwrap_or_else(|| values.parse_with("advertise", "an address", optional)),
            store: values
                .parse_with("store", "an address", |text| text.parse().ok().map(Some))
                .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            fleet_key: values.text("fleet-key").to_owned(),
            data_centre: Arc::from(values.text("data-centre")),
            vm,
            peers: values.parse_with("peers", "addresses, with commas between", peers),
            shutdown_grace: values.duration("drain"),
        }
    }
}

/// The time since the process's start: the `now` of every system.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(self) -> Duration {
        self.start.elapsed()
    }
}

/// Returns the id of one run of a process: its name and a random part.
pub fn new_incarnation(name: &str) -> Arc<str> {
    Arc::from(format!("{name}.{:08x}", fastrand::u32(..)))
}

/// Reads a daemon's settings; prints help, the version or all faults, and gives the exit code.
pub fn read_settings(
    program: &str,
    about: &str,
    rows: &[SettingRow],
) -> Result<SettingValues, ExitCode> {
    let env = |name: &str| std::env::var(name).ok();
    match settings::read(program, about, rows, std::env::args_os().skip(1), env) {
        StartAction::Run(values) => Ok(values),
        StartAction::Print(text) => {
            print!("{text}");
            Err(ExitCode::SUCCESS)
        }
    }
}

/// Prints all faults; true if there were any.
pub fn print_errors(values: &SettingValues) -> bool {
    for fault in &values.errors {
        eprintln!("{fault}");
    }
    !values.errors.is_empty()
}

/// Starts the logs on standard error.
pub fn init_logging(form: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A second start, as in tests, keeps the first logs.
    match form {
        "json" => builder.json().try_init().ok(),
        _ => builder.try_init().ok(),
    };
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop() {
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            signals.next().await;
        }
        Err(error) => {
            tracing::error!(%error, "no signals can be received");
            std::future::pending::<()>().await;
        }
    }
}

/// Runs a program's main future on the executor's own thread.
///
/// `smol::block_on` would poll for I/O on the main thread and wake the executor's thread for each
/// event, which costs more than the event's work (`docs/HTTP-EDGES.md` has the figures); parked
/// like this, the main thread leaves the polling to the executor's.
pub fn run_main<Main>(main: Main) -> ExitCode
where
    Main: Future<Output = ExitCode> + Send + 'static,
{
    smol::future::block_on(smol::spawn(main))
}
