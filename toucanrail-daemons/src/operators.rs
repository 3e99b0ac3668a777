//! The operator's program: command line, errors and exit codes.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use quick_error::quick_error;
use toucanrail::budgets::BudgetError;
use toucanrail::catalogue_files::CatalogueError;
use toucanrail::settings::{SettingRow, SettingValues};
use toucanrail_wire::clients::{ClientLimits, ConnectionPool};
use toucanrail_wire::stores::HttpStore;

use crate::catalogue_commands;
use crate::demos;
use crate::inspection_commands;
use crate::starting;

/// Settings of the operator's program.
pub const SETTINGS: [SettingRow; 11] = [
    SettingRow { name: "store", default: Some("127.0.0.1:7001"), help: "Platform's object API." },
    SettingRow { name: "fleet-key", default: Some(""), help: "order: secret shared by the fleet." },
    SettingRow {
        name: "shards",
        default: Some("1"),
        help: "Number of budget shards; the same as at the entries.",
    },
    SettingRow { name: "json", default: Some("false"), help: "Print JSON instead of tables." },
    SettingRow {
        name: "wait",
        default: Some("false"),
        help: "apply, remove: wait until in force.",
    },
    SettingRow { name: "wait-limit", default: Some("10s"), help: "apply, remove: maximum wait." },
    SettingRow { name: "top-up", default: Some("0"), help: "budget: number of tokens to add." },
    SettingRow { name: "lower", default: Some("0"), help: "budget: number of tokens to withdraw." },
    SettingRow {
        name: "release",
        default: Some("0"),
        help: "budget: epoch whose frozen tokens to release.",
    },
    SettingRow { name: "fence", default: Some("0"), help: "order: fencing number." },
    SettingRow { name: "last", default: Some("20"), help: "bills: number of bills to show." },
];

/// Description and commands for `--help`.
pub const ABOUT: &str = "operates a toucanrail fleet

Commands:
  apply FILE             check a catalogue file and apply it (--wait)
  check FILE             check a catalogue file
  diff FILE              show what apply would change
  get [NAME]             print the catalogue as a file
  remove NAME            remove an entry, such as customer.acme (--wait)
  budget [CUSTOMER]      show budgets; --top-up, --lower, --release
  bills [CUSTOMER]       show the latest bills
  state ADDRESS          dump a process's state
  explain REQUEST        show the steps and the bill of a request
  order ADDRESS ACTION SUBJECT   send a command to a model engine (--fence)
  demo                   run the whole request path in one process on loopback

Flags:";

quick_error! {
    /// Why a command failed; determines the exit code.
    #[derive(Debug)]
    pub enum OperatorError {
        /// Invalid command line; exit code 2.
        Usage(reason: String) {
            display("5003: {reason}")
        }
        /// A file could not be read; exit code 2.
        File(path: String, error: io::Error) {
            display("5003: {path}: {error}")
        }
        /// Invalid catalogue file; exit code 1.
        InvalidCatalogue(errors: Vec<CatalogueError>) {
            display("{}", join_errors(errors))
        }
        /// An object was changed concurrently, or a process refused a command; exit code 3.
        Conflict(what: String) {
            display("5002: {what}")
        }
        /// The object API or a process did not respond; exit code 4.
        Unavailable(what: String) {
            display("4101: {what} did not respond")
        }
        /// A change is not yet in force at some processes; exit code 5.
        Lagging(nodes: Vec<String>) {
            display("5005: not in force yet at {}", nodes.join(", "))
        }
        /// The change of a budget is not allowed; exit code 1.
        Budget(error: BudgetError) {
            from()
            display("{error}")
        }
        /// A catalogue file was applied in part; the exit code is that of its cause.
        Partial(cause: Box<OperatorError>, entries: String) {
            display("{cause}\n{entries}")
        }
        /// Nothing with this name exists; exit code 1.
        Missing(what: String) {
            display("5001: {what} not found")
        }
    }
}

fn join_errors(errors: &[CatalogueError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl OperatorError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidCatalogue(_) | Self::Budget(_) | Self::Missing(_) => 1,
            Self::Usage(_) | Self::File(..) => starting::EXIT_USAGE,
            Self::Conflict(_) => 3,
            Self::Unavailable(_) => 4,
            Self::Lagging(_) => 5,
            Self::Partial(cause, _) => cause.exit_code(),
        }
    }
}

/// Connections and options shared by all commands.
#[derive(Debug)]
pub struct OperatorTools {
    /// The platform's object API.
    pub store: HttpStore,
    /// Connections to the fleet's processes.
    pub pool: ConnectionPool,
    /// Secret shared by the fleet.
    pub fleet_key: String,
    /// Number of budget shards.
    pub shards: u64,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether `apply` and `remove` wait until the change is in force.
    pub wait: bool,
    /// Maximum such wait.
    pub wait_limit: Duration,
    /// Tokens to add to a budget.
    pub top_up: u64,
    /// Tokens to withdraw from a budget.
    pub lower: u64,
    /// Epoch whose frozen tokens are released.
    pub release: u64,
    /// Fencing number of a command to a model engine.
    pub fence: u64,
    /// Number of bills to show.
    pub last: usize,
}

impl OperatorTools {
    /// Reads the settings; errors are collected in `values`.
    pub fn read(values: &mut SettingValues) -> Self {
        let address = |text: &str| text.parse().ok().map(Some);
        let store = values.parse_with("store", "an address", address);
        Self {
            store: HttpStore::new(store.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))),
            pool: ConnectionPool::new(ClientLimits::default()),
            fleet_key: values.text("fleet-key").to_owned(),
            shards: values.parse("shards", "a number"),
            json: values.parse("json", "true or false"),
            wait: values.parse("wait", "true or false"),
            wait_limit: values.duration("wait-limit"),
            top_up: values.parse("top-up", "a number of tokens"),
            lower: values.parse("lower", "a number of tokens"),
            release: values.parse("release", "an epoch"),
            fence: values.parse("fence", "a number"),
            last: values.parse("last", "a number"),
        }
    }
}

/// Runs the command given by `args` and returns its output.
pub async fn run_command(tools: &OperatorTools, args: &[String]) -> Result<String, OperatorError> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["apply", file] => catalogue_commands::apply(tools, file).await,
        ["check", file] => catalogue_commands::check(file),
        ["diff", file] => catalogue_commands::diff(tools, file).await,
        ["get"] => catalogue_commands::get(tools, None).await,
        ["get", name] => catalogue_commands::get(tools, Some(name)).await,
        ["remove", name] => catalogue_commands::remove(tools, name).await,
        ["budget"] => inspection_commands::budget(tools, None).await,
        ["budget", customer] => inspection_commands::budget(tools, Some(customer)).await,
        ["bills"] => inspection_commands::bills(tools, None).await,
        ["bills", customer] => inspection_commands::bills(tools, Some(customer)).await,
        ["state", address] => inspection_commands::state(tools, address).await,
        ["explain", request] => inspection_commands::explain(tools, request).await,
        ["order", address, action, subject] => {
            inspection_commands::order(tools, address, action, subject).await
        }
        _ => Err(OperatorError::Usage("missing or unknown command; see --help".to_owned())),
    }
}

fn demo_error(error: &io::Error) -> OperatorError {
    OperatorError::Unavailable(format!("part of the demo ({error})"))
}

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    let mut values = match starting::read_settings("toucanrail", ABOUT, &SETTINGS) {
        Ok(values) => values,
        Err(code) => return code,
    };
    let tools = OperatorTools::read(&mut values);
    if starting::print_errors(&values) {
        return ExitCode::from(starting::EXIT_USAGE);
    }
    let demo = values.positionals.first().is_some_and(|command| command == "demo");
    let result = smol::block_on(async {
        if demo {
            demos::run().await.map(|()| String::new()).map_err(|error| demo_error(&error))
        } else {
            run_command(&tools, &values.positionals).await
        }
    });
    match result {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
