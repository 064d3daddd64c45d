//! The supervisor's process: its configuration file, its log, and the signals that it is sent.

use std::fs::{File, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

/// The operations of the platform.
pub const OPERATIONS: [&str; 3] = ["box-view", "box-add", "order-place"];
/// The localities of the platform.
pub const LOCALITIES: [&str; 3] = ["hal-brondby", "hal-albertslund", "hal-ishoj"];
/// The hardware kinds of the platform.
pub const KINDS: [&str; 3] = ["model-a", "model-b", "model-c"];

/// The figures of the operators' report, from the settings line of its log.
pub mod reported {
    pub const ALL_PROXIES: u32 = 1_600;
    pub const SUPERVISORS: u32 = 5;
    pub const LINES_PER_S: f64 = 38_400.0;
    pub const CHANNEL_CAPACITY: f64 = 115_200.0;
    pub const MESSAGE_OVERHEAD: f64 = 10.0;
    pub const MEAN_TRANSIT_MS: u64 = 153;
    pub const WORST_TRANSIT_MS: u64 = 382;
    pub const DRAIN_GRACE_MS: u64 = 2_500;
    pub const MAX_UNSERVED_MS: u64 = 4_800;
    pub const SLOW_START_MS: u64 = 17_000;
    pub const REPORT_INTERVAL_MS: u64 = 1_000;
    pub const MEMORY_MB: u32 = 192;
}

/// A supervisor, killed when this value is dropped.
pub struct Supervisor {
    folder: PathBuf,
    discovery: SocketAddr,
    pub address: SocketAddr,
    child: Option<Child>,
}

impl Supervisor {
    /// Prepares a folder for the configuration and the log; the process is not started yet.
    pub fn new(name: &str, discovery: SocketAddr) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        // The kernel has just assigned and released this port.
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        Supervisor { folder, discovery, address, child: None }
    }

    pub fn start(&mut self, known: Option<Value>) {
        let config = self.folder.join("config.json");
        std::fs::write(&config, self.config(known).to_string()).unwrap();
        let log = OpenOptions::new().create(true).append(true).open(self.log_path()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_shalereel"))
            .arg("node")
            .env("ROUTER_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    pub fn signal(&mut self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process was started that has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_some())
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// A file in the folder of this supervisor.
    pub fn create_file(&self, name: &str) -> File {
        File::create(self.folder.join(name)).unwrap()
    }

    /// The lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    fn config(&self, known: Option<Value>) -> Value {
        let mut config = json!({
            "name": "n0", "listen": self.address, "discovery": self.discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 0.5, "memory_mb": reported::MEMORY_MB, "sockets": 2048},
            "settings": settings(),
        });
        if let Some(known) = known {
            config["known"] = known;
        }
        config
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings() -> Value {
    let operation = |name: &str, effect: &str, deadline_ms: f64, worth: f64| {
        json!({"deadline_ms": deadline_ms, "effect": effect, "group": "all", "late_value": 0.2, "name": name,
            "slo_ms": 1200.0, "window_ms": 2500.0, "worth": worth})
    };
    json!({
        "classes": [
            operation(OPERATIONS[0], "pure", 3000.0, 1.0),
            operation(OPERATIONS[1], "token", 4000.0, 2.0),
            operation(OPERATIONS[2], "side_effect", 4000.0, 5.0),
        ],
        "family_info": {
            "admit": "off", "backlog": reported::CHANNEL_CAPACITY, "choice": "lottery",
            "cycle_ms": reported::REPORT_INTERVAL_MS, "empty_for_ms": reported::MAX_UNSERVED_MS,
            "fails_to_eject": 5, "first_wait": 0.8, "home_only": [false, false, false], "ingest_rate": 1_000.0,
            "initial_set": 10, "lines_per_s": reported::LINES_PER_S, "messages_over_ms": 10_000.0,
            "overhead": reported::MESSAGE_OVERHEAD, "proxies": reported::ALL_PROXIES,
            "push_delay_ms": reported::MEAN_TRANSIT_MS, "reloads_max": 0, "retry_default": 0,
            "worst_transit_ms": reported::WORST_TRANSIT_MS,
        },
        "fleet_size": reported::SUPERVISORS,
        "invariants": {"cold_from": 0.22, "cold_ms": reported::SLOW_START_MS,
            "drain_grace_ms": reported::DRAIN_GRACE_MS, "fall_ms": 2000.0, "tip_multiple": 2.5},
        "kinds": KINDS, "load_info": {"columns": ["util"], "how": "inline"}, "localities": LOCALITIES,
        "locality": 0, "me": 0, "membership_mode": "pushed", "permissions": {"probes": false},
        "resolution_ms": 5.0, "weights": "nominal",
    })
}
