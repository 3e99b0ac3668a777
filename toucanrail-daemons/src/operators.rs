//! The operator's commands.

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

/// Settings of the operator's command.
pub const SETTINGS: [SettingRow; 11] = [
    SettingRow { name: "store", default: Some("127.0.0.1:7001"), help: "Platform's object API." },
    SettingRow { name: "fleet-key", default: Some(""), help: "Secret of the fleet, for order." },
    SettingRow { name: "shards", default: Some("1"), help: "Budget shards, as the entries have." },
    SettingRow { name: "json", default: Some("false"), help: "Print JSON instead of tables." },
    SettingRow { name: "wait", default: Some("false"), help: "apply: wait until in force." },
    SettingRow { name: "wait-limit", default: Some("10s"), help: "Longest such wait." },
    SettingRow { name: "top-up", default: Some("0"), help: "budget: add so many tokens." },
    SettingRow { name: "lower", default: Some("0"), help: "budget: take so many tokens back." },
    SettingRow { name: "release", default: Some("0"), help: "budget: free what an epoch froze." },
    SettingRow { name: "fence", default: Some("0"), help: "order: the fencing number." },
    SettingRow { name: "last", default: Some("20"), help: "bills: how many." },
];

/// What the commands are, for `--help`.
pub const ABOUT: &str = "operates a toucanrail fleet

Commands:
  apply FILE             check a catalogue file and bring it into force (--wait)
  check FILE             check a catalogue file
  diff FILE              show what apply would change
  get [NAME]             print the catalogue as a file
  remove NAME            end an entry, such as customer.acme
  budget [CUSTOMER]      show budgets; --top-up, --lower, --release
  bills [CUSTOMER]       show the last bills
  state ADDRESS          dump a process's state
  explain REQUEST        tell what happened to a request, step by step
  order ADDRESS ACTION SUBJECT   order a model engine through its agent (--fence)
  demo                   run the whole path in this process on loopback

Flags:";

quick_error! {
    /// Why a command failed; the exit code says which kind.
    #[derive(Debug)]
    pub enum OperatorError {
        /// The command line is wrong; exit code 2.
        Usage(reason: String) {
            display("5003: {reason}")
        }
        /// A file cannot be read; exit code 2.
        File(path: String, error: io::Error) {
            display("5003: {path}: {error}")
        }
        /// The catalogue file has faults; exit code 1.
        Faults(faults: Vec<CatalogueError>) {
            display("{}", list_faults(faults))
        }
        /// Something was changed meanwhile; exit code 3.
        Conflict(what: String) {
            display("5002: {what}")
        }
        /// The platform or a process does not answer; exit code 4.
        Unavailable(what: String) {
            display("4101: {what} does not answer")
        }
        /// The change is not in force everywhere; exit code 5.
        Lagging(nodes: Vec<String>) {
            display("5005: not in force yet at {}", nodes.join(", "))
        }
        /// A budget cannot be changed so; exit code 1.
        Budget(error: BudgetError) {
            from()
            display("{error}")
        }
        /// There is nothing of this name; exit code 1.
        Missing(what: String) {
            display("5001: there is no {what}")
        }
    }
}

fn list_faults(faults: &[CatalogueError]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl OperatorError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Faults(_) | Self::Budget(_) | Self::Missing(_) => 1,
            Self::Usage(_) | Self::File(..) => starting::EXIT_USAGE,
            Self::Conflict(_) => 3,
            Self::Unavailable(_) => 4,
            Self::Lagging(_) => 5,
        }
    }
}

/// What every command works with.
#[derive(Debug)]
pub struct OperatorTools {
    /// The platform.
    pub store: HttpStore,
    /// Connections to the fleet's processes.
    pub pool: ConnectionPool,
    /// Secret of the fleet.
    pub fleet_key: String,
    /// Budget shards.
    pub shards: u64,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether `apply` waits.
    pub wait: bool,
    /// How long it waits.
    pub wait_limit: Duration,
    /// Tokens to add.
    pub top_up: u64,
    /// Tokens to take back.
    pub lower: u64,
    /// Epoch to release.
    pub release: u64,
    /// Fencing number of an order.
    pub fence: u64,
    /// Bills to show.
    pub last: usize,
}

impl OperatorTools {
    /// Reads the settings, noting faults.
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

/// Runs the command that the words name and returns what to print.
pub async fn run_command(tools: &OperatorTools, words: &[String]) -> Result<String, OperatorError> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["apply", file] => catalogue_commands::apply(tools, file).await,
        ["check", file] => catalogue_commands::check(file),
        ["diff", file] => catalogue_commands::diff(tools, file).await,
        ["get"] => catalogue_commands::get(tools, None).await,
        ["get", name] => catalogue_commands::get(tools, Some(name)).await,
        ["remove", name] => catalogue_commands::remove(tools, name).await,
        ["budget"] => inspection_commands::budgets(tools, None).await,
        ["budget", customer] => inspection_commands::budgets(tools, Some(customer)).await,
        ["bills"] => inspection_commands::bills(tools, None).await,
        ["bills", customer] => inspection_commands::bills(tools, Some(customer)).await,
        ["state", address] => inspection_commands::state(tools, address).await,
        ["explain", request] => inspection_commands::explain(tools, request).await,
        ["order", address, action, subject] => {
            inspection_commands::order(tools, address, action, subject).await
        }
        _ => Err(OperatorError::Usage("name a command; see --help".to_owned())),
    }
}

fn demo_failed(error: &io::Error) -> OperatorError {
    OperatorError::Unavailable(format!("a part of the demo ({error})"))
}

/// Runs the program.
pub fn main() -> ExitCode {
    let mut values = match starting::read_settings("toucanrail", ABOUT, &SETTINGS) {
        Ok(values) => values,
        Err(code) => return code,
    };
    let tools = OperatorTools::read(&mut values);
    if starting::print_errors(&values) {
        return ExitCode::from(starting::EXIT_USAGE);
    }
    let demo = values.positionals.first().is_some_and(|word| word == "demo");
    let ran = smol::block_on(async {
        if demo {
            demos::run().await.map(|()| String::new()).map_err(|error| demo_failed(&error))
        } else {
            run_command(&tools, &values.positionals).await
        }
    });
    match ran {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
