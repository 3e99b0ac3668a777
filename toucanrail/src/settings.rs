//! Settings in flags and environment variables, with all faults found at once.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// A fault of the settings.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingError {
        /// A flag that the program does not know, or one without its value.
        Usage(reason: String) {
            display("5003: {reason}")
        }
        /// A required setting is not given.
        Missing(name: &'static str) {
            display("5003: --{name} (or {}) is required", env_name(name))
        }
        /// A value cannot be read.
        Value(name: &'static str, value: String, wanted: &'static str) {
            display("5003: --{name}: '{value}' is not {wanted}")
        }
    }
}

/// One setting of a program.
#[derive(Debug, Clone, Copy)]
pub struct SettingRow {
    /// The flag without its dashes.
    pub name: &'static str,
    /// The value if it is not given; none if it is required.
    pub default: Option<&'static str>,
    /// What it does, in a line.
    pub help: &'static str,
}

impl SettingRow {
    /// Tells whether the flag alone switches something on.
    pub fn is_switch(&self) -> bool {
        self.default == Some("false")
    }
}

/// What a program was called with.
#[derive(Debug, Clone)]
pub enum StartAction {
    /// Run with these values.
    Run(SettingValues),
    /// Print this and end well.
    Print(String),
}

/// The values given, with a list of faults that grows as they are read.
#[derive(Debug, Clone)]
pub struct SettingValues {
    values: BTreeMap<&'static str, String>,
    /// Words that are no flags.
    pub positionals: Vec<String>,
    /// All faults found so far.
    pub errors: Vec<SettingError>,
}

/// Returns the environment variable of a flag.
///
/// # Examples
/// ```
/// assert_eq!(toucanrail::settings::env_name("fleet-key"), "TOUCANRAIL_FLEET_KEY");
/// ```
pub fn env_name(name: &str) -> String {
    format!("TOUCANRAIL_{}", name.to_uppercase().replace('-', "_"))
}

/// Reads flags first, then the environment, then the defaults.
///
/// # Examples
/// ```
/// use toucanrail::settings::{self, SettingRow, StartAction};
/// let rows = [SettingRow { name: "tick", default: Some("1s"), help: "Time between ticks." }];
/// let call = settings::read("prog", "Does it.", &rows, ["--tick=5s".into()], |_| None);
/// let StartAction::Run(mut values) = call else { panic!() };
/// assert_eq!(values.duration("tick").as_secs(), 5);
/// ```
pub fn read<Args, Env>(
    program: &str,
    about: &str,
    rows: &[SettingRow],
    args: Args,
    env: Env,
) -> StartAction
where
    Args: IntoIterator<Item = OsString>,
    Args::IntoIter: 'static,
    Env: Fn(&str) -> Option<String>,
{
    let mut values =
        SettingValues { values: BTreeMap::new(), positionals: Vec::new(), errors: Vec::new() };
    let mut parser = lexopt::Parser::from_args(args);
    loop {
        match parser.next() {
            Ok(None) => break,
            Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
                return StartAction::Print(help_text(program, about, rows));
            }
            Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
                return StartAction::Print(format!("{program} {}\n", env!("CARGO_PKG_VERSION")));
            }
            Ok(Some(lexopt::Arg::Value(word))) => {
                values.positionals.push(word.to_string_lossy().into_owned());
            }
            Ok(Some(lexopt::Arg::Long(name))) => {
                let row = rows.iter().find(|row| row.name == name).copied();
                let name = name.to_owned();
                values.take_flag(row, &name, &mut parser);
            }
            Ok(Some(lexopt::Arg::Short(letter))) => {
                values.errors.push(SettingError::Usage(format!("there is no flag -{letter}")));
            }
            Err(error) => {
                values.errors.push(SettingError::Usage(error.to_string()));
                break;
            }
        }
    }
    values.fill(rows, env);
    StartAction::Run(values)
}

fn help_text(program: &str, about: &str, rows: &[SettingRow]) -> String {
    let mut text = format!("{program}: {about}\n\n");
    for row in rows {
        let default = match row.default {
            Some("") => "not set".to_owned(),
            Some(value) => format!("default {value}"),
            None => "required".to_owned(),
        };
        let flag = format!("--{}", row.name);
        text += &format!("  {flag:<22} {} ({default}; {})\n", row.help, env_name(row.name));
    }
    text + "  --help                 Print this.\n  --version              Print the version.\n"
}

impl SettingValues {
    fn take_flag(&mut self, row: Option<SettingRow>, name: &str, parser: &mut lexopt::Parser) {
        let Some(row) = row else {
            self.errors.push(SettingError::Usage(format!("there is no flag --{name}")));
            return;
        };
        if row.is_switch() {
            let value = parser.optional_value();
            let value = value.map_or("true".into(), |value| value.to_string_lossy().into_owned());
            self.values.insert(row.name, value);
            return;
        }
        match parser.value() {
            Ok(value) => {
                self.values.insert(row.name, value.to_string_lossy().into_owned());
            }
            Err(error) => self.errors.push(SettingError::Usage(error.to_string())),
        }
    }

    fn fill<Env>(&mut self, rows: &[SettingRow], env: Env)
    where
        Env: Fn(&str) -> Option<String>,
    {
        for row in rows {
            if self.values.contains_key(row.name) {
                continue;
            }
            let value = env(&env_name(row.name)).or_else(|| row.default.map(str::to_owned));
            match value {
                Some(value) => {
                    self.values.insert(row.name, value);
                }
                None => self.errors.push(SettingError::Missing(row.name)),
            }
        }
    }

    /// Returns a setting's text; empty if it is not set.
    pub fn text(&self, name: &str) -> &str {
        self.values.get(name).map_or("", String::as_str)
    }

    /// Returns a setting's items, which commas separate.
    pub fn list(&self, name: &str) -> Vec<String> {
        let items = self.text(name).split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::to_owned).collect()
    }

    /// Reads a setting, or notes a fault and gives the type's default.
    pub fn parse<Value>(&mut self, name: &'static str, wanted: &'static str) -> Value
    where
        Value: FromStr + Default,
    {
        self.parse_with(name, wanted, |text| text.parse().ok())
    }

    /// Reads a setting with a function, or notes a fault and gives the type's default.
    pub fn parse_with<Value, Read>(
        &mut self,
        name: &'static str,
        wanted: &'static str,
        read: Read,
    ) -> Value
    where
        Value: Default,
        Read: Fn(&str) -> Option<Value>,
    {
        if self.errors.contains(&SettingError::Missing(name)) {
            return Value::default();
        }
        let text = self.text(name).to_owned();
        read(&text).unwrap_or_else(|| {
            self.errors.push(SettingError::Value(name, text, wanted));
            Value::default()
        })
    }

    /// Reads a time: a number with `ms`, `s` or `m`.
    pub fn duration(&mut self, name: &'static str) -> Duration {
        self.parse_with(name, "a time like 250ms, 10s or 2m", parse_duration)
    }
}

/// Reads a time: a number with `ms`, `s` or `m`.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// assert_eq!(toucanrail::settings::parse_duration("250ms"), Some(Duration::from_millis(250)));
/// assert_eq!(toucanrail::settings::parse_duration("soon"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let number: f64 = digits.parse().ok().filter(|number| *number >= 0.0 && *number < 1e9)?;
    let seconds = match &text[digits.len()..] {
        "ms" => number / 1000.0,
        "s" => number,
        "m" => number * 60.0,
        _ => return None,
    };
    Some(Duration::from_secs_f64(seconds))
}
