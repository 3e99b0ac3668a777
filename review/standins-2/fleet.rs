//! The project's own programs as processes of a small deployment on loopback addresses, started
//! with the commands of the deploy file.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A port range of the system's own processes begins here, on each machine's address.
const INTERNAL_PORT: u16 = 0;

/// Ports of a deployment; the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub app: u16,
    pub store: u16,
    pub internal: u16,
}

impl Ports {
    /// Finds ports that are free on all given addresses.
    pub fn find(addresses: &[Ipv4Addr]) -> io::Result<Self> {
        let seed = u64::from(std::process::id()).wrapping_mul(2_654_435_761);
        for attempt in 0..200_u64 {
            let base = 20_000 + ((seed >> 4).wrapping_add(attempt * 97) % 600) as u16 * 20;
            let is_free = |port: u16| {
                addresses.iter().all(|address| TcpListener::bind((*address, port)).is_ok())
            };
            if (base..base + 20).all(is_free) {
                return Ok(Self {
                    front: base + INTERNAL_PORT,
                    ready: base + 1,
                    app: base + 2,
                    store: base + 3,
                    internal: base + 4,
                });
            }
        }
        Err(io::Error::other("no free ports"))
    }
}

/// One machine and the process of the system on it.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub class: &'static str,
    pub zone: String,
    pub address: Ipv4Addr,
    child: Option<Child>,
    starts: u32,
}

impl Machine {
    /// Creates a machine on which nothing runs.
    pub fn new(class: &'static str, zone: &str, number: u32, address: Ipv4Addr) -> Self {
        let name = format!("{class}-{zone}-{number}");
        Self { name, class, zone: zone.to_owned(), address, child: None, starts: 0 }
    }
}

/// A deployment.
#[derive(Debug)]
pub struct Fleet {
    pub ports: Ports,
    pub store: SocketAddr,
    service: String,
    folder: PathBuf,
    commands: BTreeMap<String, Vec<String>>,
    machines: Mutex<Vec<Machine>>,
    over: AtomicBool,
}

impl Fleet {
    /// Creates a deployment whose settings files lie in a temporary folder.
    pub fn new(
        ports: Ports,
        store: SocketAddr,
        service: &str,
        machines: Vec<Machine>,
    ) -> io::Result<Arc<Self>> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Arc::new(Self {
            ports,
            store,
            service: service.to_owned(),
            folder,
            commands: read_commands(Path::new("deploy/system.toml"))?,
            machines: Mutex::new(machines),
            over: AtomicBool::new(false),
        }))
    }

    /// Ends all processes and exits with 2 if the case takes too long.
    pub fn limit_time(self: &Arc<Self>, limit: Duration) {
        let fleet = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(limit);
            eprintln!("the case took too long");
            fleet.end();
            std::process::exit(2);
        });
    }

    /// Starts the process of a machine; `bootstrap` tells that the whole system starts for the
    /// first time.
    pub fn start(&self, name: &str, bootstrap: bool) -> io::Result<()> {
        let mut machines = self.machines.lock().unwrap();
        if self.over.load(Ordering::SeqCst) {
            return Ok(());
        }
        let machine = machines.iter_mut().find(|machine| machine.name == name);
        let machine = machine.ok_or_else(|| io::Error::other("no such machine"))?;
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, self.settings(machine, bootstrap))?;
        let words = self.commands.get(machine.class);
        let words = words.ok_or_else(|| io::Error::other("no role on this class"))?;
        machine.starts += 1;
        let log = File::create(self.folder.join(format!("{name}-{}.log", machine.starts)))?;
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]).env_clear().env("TOUCANRAIL_CONFIG", &path);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        let errors = log.try_clone()?;
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        machine.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends SIGKILL to the processes of machines, all at the same moment.
    pub fn kill(&self, names: &[String]) {
        let mut machines = self.machines.lock().unwrap();
        let chosen = |machine: &&mut Machine| names.contains(&machine.name);
        for machine in machines.iter_mut().filter(chosen) {
            if let Some(child) = &mut machine.child {
                child.kill().ok();
            }
        }
        for machine in machines.iter_mut().filter(chosen) {
            if let Some(mut child) = machine.child.take() {
                child.wait().ok();
            }
        }
    }

    /// Returns the names of machines whose processes have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut machines = self.machines.lock().unwrap();
        let mut names = Vec::new();
        for machine in machines.iter_mut() {
            if let Some(child) = &mut machine.child {
                if !matches!(child.try_wait(), Ok(None)) {
                    names.push(machine.name.clone());
                }
            }
        }
        names
    }

    /// Returns the names of all machines of a class.
    pub fn names(&self, class: &str) -> Vec<String> {
        let machines = self.machines.lock().unwrap();
        let found = machines.iter().filter(|machine| machine.class == class);
        found.map(|machine| machine.name.clone()).collect()
    }

    /// Returns the process id of a machine's process.
    pub fn process(&self, name: &str) -> Option<u32> {
        let machines = self.machines.lock().unwrap();
        let machine = machines.iter().find(|machine| machine.name == name)?;
        machine.child.as_ref().map(Child::id)
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
        let names = [self.names("front"), self.names("side")].concat();
        self.kill(&names);
        if std::env::var_os("KEEP_LOGS").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let Machine { name, class, zone, address, .. } = machine;
        let Ports { front, ready, app, internal, .. } = self.ports;
        let (store, service, last) = (self.store, &self.service, internal + 15);
        let (own, listen, memory) = if *class == "front" {
            let listen =
                format!("front = \"{address}:{front}\"\nreadiness_address = \"{address}:{ready}\"");
            (String::new(), listen, 260)
        } else {
            let own = format!("app = \"{address}:{app}\"\nservice = \"{service}\"");
            (own, String::new(), 192)
        };
        format!(
            r#"node = "{name}"
role = "{class}"
machine_class = "{class}"
serves = ["{class}"]
ip = "{address}"
zone = "{zone}"
region = "fi-south"
internal_ports = [{internal},{last}]
seeds = []
bootstrap = {bootstrap}
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
{own}
[zones]
fi-south-a = "fi-south"
fi-south-b = "fi-south"
fi-south-c = "fi-south"
[listen]
{listen}
[limits]
cpu_share = 0.2
cores = 1
memory_mb = {memory}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_s = 8
lost_ms = 200
config_ms = 2000
back_ms = 250
outer_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
recover_s = 12
pass_ms = 120
again_s = 10
settle_ms = 1500
[provider]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        )
    }
}

/// Reads the command of each class of machines from the deploy file.
fn read_commands(path: &Path) -> io::Result<BTreeMap<String, Vec<String>>> {
    let text = fs::read_to_string(path)?;
    let (mut commands, mut run) = (BTreeMap::new(), Vec::new());
    for line in text.lines() {
        let Some((name, value)) = line.split_once('=') else {
            continue;
        };
        let value = value.trim().trim_matches('"');
        match name.trim() {
            "run" => run = value.split(' ').map(str::to_owned).collect(),
            "on" => {
                commands.insert(value.to_owned(), std::mem::take(&mut run));
            }
            _ => {}
        }
    }
    Ok(commands)
}
