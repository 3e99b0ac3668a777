//! Settings from flags and environment variables; all errors are reported at once.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// An error in the settings.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingError {
        /// An unknown flag, or a flag without its value.
        Usage(reason: String) {
            display("5003: {reason}")
        }
        /// A required setting is missing.
        Missing(name: &'static str) {
            display("5003: --{name} (or {}) is required", env_name(name))
        }
        /// A value cannot be parsed.
        Value(name: &'static str, value: String, expected: &'static str) {
            display("5003: --{name}: '{value}' is not {expected}")
        }
    }
}

/// Declaration of a setting of a program.
#[derive(Debug, Clone, Copy)]
pub struct SettingRow {
    /// Name of the flag, without the leading dashes.
    pub name: &'static str,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// One-line description for `--help`.
    pub help: &'static str,
}

impl SettingRow {
    /// Returns whether the setting is a boolean flag, which needs no value.
    pub fn is_switch(&self) -> bool {
        self.default == Some("false")
    }
}

/// What a program does, according to its arguments.
#[derive(Debug, Clone)]
pub enum StartAction {
    /// Run with these settings.
    Run(SettingValues),
    /// Print this text and exit successfully.
    Print(String),
}

/// The values of the settings, and the errors found while they are read and parsed.
#[derive(Debug, Clone)]
pub struct SettingValues {
    values: BTreeMap<&'static str, String>,
    /// Positional arguments.
    pub positionals: Vec<String>,
    /// All errors found so far.
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

/// Reads the settings of a program from its arguments and environment.
///
/// Flags take precedence over environment variables, and these over defaults.
///
/// # Examples
/// ```
/// use toucanrail::settings::{self, SettingRow, StartAction};
/// let rows = [SettingRow { name: "tick", default: Some("1s"), help: "Time between ticks." }];
/// let action = settings::read("prog", "Does it.", &rows, ["--tick=5s".into()], |_| None);
/// let StartAction::Run(mut values) = action else { panic!() };
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
            Ok(Some(lexopt::Arg::Value(value))) => {
                values.positionals.push(value.to_string_lossy().into_owned());
            }
            Ok(Some(lexopt::Arg::Long(name))) => {
                let row = rows.iter().find(|row| row.name == name).copied();
                let name = name.to_owned();
                values.parse_flag(row, &name, &mut parser);
            }
            Ok(Some(lexopt::Arg::Short(letter))) => {
                values.errors.push(SettingError::Usage(format!("unknown flag -{letter}")));
            }
            Err(error) => {
                values.errors.push(SettingError::Usage(error.to_string()));
                break;
            }
        }
    }
    values.fill_missing(rows, env);
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
    fn parse_flag(&mut self, row: Option<SettingRow>, name: &str, parser: &mut lexopt::Parser) {
        let Some(row) = row else {
            self.errors.push(SettingError::Usage(format!("unknown flag --{name}")));
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

    /// Sets the settings that have no flag from the environment or their defaults.
    fn fill_missing<Env>(&mut self, rows: &[SettingRow], env: Env)
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

    /// Returns the text of a setting; empty if it is not set.
    pub fn text(&self, name: &str) -> &str {
        self.values.get(name).map_or("", String::as_str)
    }

    /// Returns the items of a setting that is a comma-separated list.
    pub fn list(&self, name: &str) -> Vec<String> {
        let items = self.text(name).split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::to_owned).collect()
    }

    /// Parses a setting; on failure records an error and returns the default of the type.
    ///
    /// `expected` describes a valid value, as in "a port number".
    pub fn parse<Value>(&mut self, name: &'static str, expected: &'static str) -> Value
    where
        Value: FromStr + Default,
    {
        self.parse_with(name, expected, |text| text.parse().ok())
    }

    /// Parses a setting with a function; on failure records an error and returns the default of the
    /// type.
    pub fn parse_with<Value, Parser>(
        &mut self,
        name: &'static str,
        expected: &'static str,
        parser: Parser,
    ) -> Value
    where
        Value: Default,
        Parser: Fn(&str) -> Option<Value>,
    {
        if self.errors.contains(&SettingError::Missing(name)) {
            return Value::default();
        }
        let text = self.text(name).to_owned();
        parser(&text).unwrap_or_else(|| {
            self.errors.push(SettingError::Value(name, text, expected));
            Value::default()
        })
    }

    /// Parses a setting that is a duration, as [`parse_duration`] does.
    pub fn duration(&mut self, name: &'static str) -> Duration {
        self.parse_with(name, "a time like 250ms, 10s or 2m", parse_duration)
    }
}

/// Parses a duration: a number with the unit `ms`, `s` or `m`.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// assert_eq!(toucanrail::settings::parse_duration("250ms"), Some(Duration::from_millis(250)));
/// assert_eq!(toucanrail::settings::parse_duration("soon"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let number_text = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let number: f64 = number_text.parse().ok().filter(|number| *number >= 0.0 && *number < 1e9)?;
    let seconds = match &text[number_text.len()..] {
        "ms" => number / 1000.0,
        "s" => number,
        "m" => number * 60.0,
        _ => return None,
    };
    Some(Duration::from_secs_f64(seconds))
}
