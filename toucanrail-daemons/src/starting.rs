//! Startup and shutdown code shared by all daemons: identity, settings, logging and signals.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use toucanrail::ids::{DataCentre, VmId};
use toucanrail::settings::{self, SettingRow, SettingValues, StartAction};
use tracing_subscriber::EnvFilter;

/// Exit code for invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Settings common to entries and agents.
pub const COMMON_SETTINGS: [SettingRow; 10] = [
    SettingRow { name: "name", default: None, help: "Name of this process." },
    SettingRow { name: "listen", default: None, help: "Address to listen on." },
    SettingRow {
        name: "advertise",
        default: Some(""),
        help: "Address that others connect to, if different.",
    },
    SettingRow { name: "store", default: None, help: "Address of the platform's object API." },
    SettingRow { name: "fleet-key", default: None, help: "Secret shared by the fleet." },
    SettingRow { name: "data-centre", default: Some("local"), help: "Data centre of this VM." },
    SettingRow { name: "vm", default: Some(""), help: "VM of this process; defaults to its name." },
    SettingRow {
        name: "peers",
        default: Some(""),
        help: "Entries to query while the store is down.",
    },
    SettingRow {
        name: "drain",
        default: Some("30s"),
        help: "Maximum wait for requests at shutdown.",
    },
    SettingRow { name: "log", default: Some("text"), help: "Log format: text or json." },
];

/// Parsed common settings.
#[derive(Debug, Clone)]
pub struct CommonSettings {
    /// Configured name of the process.
    pub name: Arc<str>,
    /// Listen address.
    pub listen: String,
    /// Address that others connect to; `None` for the listen address.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's object API.
    pub store: SocketAddr,
    /// Secret shared by the fleet; signs the calls between its processes.
    pub fleet_key: String,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// VM on which the process runs.
    pub vm: VmId,
    /// Entries to query while the object API is down.
    pub peers: Vec<SocketAddr>,
    /// Maximum wait for requests in flight at shutdown.
    pub shutdown_grace: Duration,
}

impl CommonSettings {
    /// Reads the common settings; errors are collected in `values`.
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
        let log_format = |text: &str| matches!(text, "text" | "json").then_some(());
        values.parse_with("log", "text or json", log_format);
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
            peers: values.parse_with("peers", "addresses separated by commas", peers),
            shutdown_grace: values.duration("drain"),
        }
    }
}

/// Clock that counts from the start of the process; source of every `now` argument.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(self) -> Duration {
        self.start.elapsed()
    }
}

/// Returns the identifier of a new incarnation: the process's name and a random suffix.
pub fn new_incarnation(name: &str) -> Arc<str> {
    Arc::from(format!("{name}.{:08x}", fastrand::u32(..)))
}

/// Reads a daemon's settings. For `--help` and `--version` prints the text and returns the exit code.
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

/// Prints all errors of the settings; true if there are any.
pub fn print_errors(values: &SettingValues) -> bool {
    for error in &values.errors {
        eprintln!("{error}");
    }
    !values.errors.is_empty()
}

/// Initializes logging to standard error.
pub fn init_logging(format: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // Where logging is already initialized, as in tests, the existing subscriber stays.
    match format {
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
            tracing::error!(%error, "cannot register signal handlers");
            std::future::pending::<()>().await;
        }
    }
}

/// Runs a program's main future on the executor's own thread.
///
/// `smol::block_on` would poll for I/O on the main thread and wake the executor's thread for each
/// event, which costs more than handling the event (figures in `docs/HTTP-EDGES.md`). Here the main
/// thread is parked and the executor's thread does the polling.
pub fn run_main<Main>(main: Main) -> ExitCode
where
    Main: Future<Output = ExitCode> + Send + 'static,
{
    smol::future::block_on(smol::spawn(main))
}
