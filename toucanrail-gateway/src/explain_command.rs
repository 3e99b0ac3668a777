//! The command `explain`: asks an entry where a request would go now.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use toucanrail::settings::{self, SettingError, SettingRow, StartAction};
use toucanrail_daemons::starting;

use crate::explaining::EXPLAIN_PATH;

/// Name of the command.
pub const NAME: &str = "explain";

const SETTINGS: [SettingRow; 1] = [SettingRow {
    name: "entry",
    default: None,
    help: "Internal address of the entry, such as 10.0.0.5:7101.",
}];
/// Maximum size of a head that is sent to the entry, whose own limit is usually lower.
const MAX_HEAD_BYTES: u64 = 64 * 1024;
/// Maximum size of a reply: about 1,000 bytes for each of 4,000 servers.
const MAX_REPLY_BYTES: u64 = 4 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a byte of the reply after which the entry is considered hung.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends the head on standard input to an entry, and prints its reply. The exit code is 0 after an
/// explanation, 1 if there is none and 2 after wrong arguments.
pub fn run() -> ExitCode {
    let about = "prints where the request whose head is on standard input would go now";
    let (args, env) = (std::env::args_os().skip(2), |name: &str| std::env::var(name).ok());
    let mut values = match settings::read("toucanrail-gateway explain", about, &SETTINGS, args, env)
    {
        StartAction::Run(values) => values,
        StartAction::Print(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
    };
    if let Some(value) = values.positionals.first() {
        values.errors.push(SettingError::Usage(format!("unexpected argument '{value}'")));
    }
    let entry: Option<SocketAddr> =
        values.parse_with("entry", "an address like 10.0.0.5:7101", |text| {
            text.parse().ok().map(Some)
        });
    let (Some(entry), false) = (entry, starting::print_errors(&values)) else {
        return ExitCode::from(starting::EXIT_USAGE);
    };
    match ask(entry) {
        Ok((is_explained, reply)) => {
            println!("{reply}");
            if is_explained { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("no explanation from {entry}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether the entry explains the request, and its reply.
fn ask(entry: SocketAddr) -> io::Result<(bool, String)> {
    let mut head = Vec::new();
    io::stdin().lock().take(MAX_HEAD_BYTES + 1).read_to_end(&mut head)?;
    if head.len() as u64 > MAX_HEAD_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    let mut stream = TcpStream::connect_timeout(&entry, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.set_write_timeout(Some(REPLY_TIMEOUT))?;
    let length = head.len();
    let mut message = format!(
        "POST {EXPLAIN_PATH} HTTP/1.1\r\nHost: {entry}\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n"
    )
    .into_bytes();
    message.extend_from_slice(&head);
    stream.write_all(&message)?;
    let mut reply = String::new();
    stream.take(MAX_REPLY_BYTES).read_to_string(&mut reply)?;
    let (head, body) = reply.split_once("\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).unwrap_or_default();
    if !matches!(status, "200" | "400") {
        return Err(io::Error::other(format!("status {status}; is this an internal address?")));
    }
    // A reply that was cut off is no JSON.
    serde_json::from_str::<serde_json::Value>(body)?;
    Ok((status == "200", body.to_owned()))
}
