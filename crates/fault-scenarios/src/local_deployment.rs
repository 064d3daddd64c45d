//! The processes of a scenario: starts them, sends them commands, kills and pauses them, and stops them at the end.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, Stdio};

use anyhow::{bail, Context, Result};
use oorandom::Rand64;
use serde::Serialize;
use shalereel_standins::{
    CallersPlan, Command, ForwarderPlan, ForwardersPlan, LinksPlan, Ready, RegistryEntry, RegistryPlan,
    RegistryState, ServerPlan, ServersPlan,
};

use crate::scenario::{nanos_from_ms, InjectedFault, Scenario, MS_PER_SECOND};

/// Number of checks whether a process has exited; after the last one it is killed.
const STOP_POLLS: u32 = 200;
/// Interval of these checks.
const STOP_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

/// Positions of a supervisor's listeners among its addresses.
const FORWARDER_LISTENER: usize = 0;
const BALANCER_LISTENER: usize = 1;
const OPERATOR_LISTENER: usize = 2;
/// Number of forwarders whose loopback addresses differ only in the last byte, which is from 1 to this number.
const FORWARDERS_PER_SUBNET: usize = 250;
/// Smallest share of the callers' rate that a forwarder gets, relative to the mean of the random part, which is 1.
const MIN_RELATIVE_RATE: f64 = 0.2;
/// Id of the first server; the others follow in turn.
pub(crate) const FIRST_SERVER: u32 = 1000;

/// A child process that reads lines of JSON from its input. It is killed when this is dropped.
struct ManagedProcess {
    child: Child,
}

impl ManagedProcess {
    fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Process::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{} {arguments:?}", program.display()))?;
        Ok(ManagedProcess { child })
    }

    /// Writes a message to the process as one line of JSON.
    fn send(&mut self, message: &impl Serialize) -> Result<()> {
        let Some(input) = &mut self.child.stdin else { bail!("the process has no input") };
        let line = serde_json::to_string(message)?;
        writeln!(input, "{line}")?;
        Ok(input.flush()?)
    }

    /// Waits for the line that the process prints once it accepts connections.
    fn wait_until_ready(&mut self) -> Result<Ready> {
        let Some(output) = self.child.stdout.take() else { bail!("the process has no output") };
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        serde_json::from_str(&line).context("the process did not start; see its log")
    }

    /// Closes the input and waits for the process to exit; kills it after 2 seconds.
    fn stop(&mut self) {
        drop(self.child.stdin.take());
        for _ in 0..STOP_POLLS {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        self.kill();
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The kind of a stand-in process. Names of arguments, traces and logs are made from its variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// All servers.
    Servers,
    /// All forwarders.
    Forwarders,
    /// All callers.
    Callers,
    /// The registry of servers.
    Registry,
    /// The links between the supervisors of a group.
    Links,
}

/// A whole deployment as processes on this machine.
pub struct LocalDeployment {
    program: PathBuf,
    folder: PathBuf,
    scenario: Scenario,
    stand_ins: BTreeMap<Role, ManagedProcess>,
    /// Process of each supervisor, if it runs, and its addresses for forwarders, for balancers and for operators.
    supervisors: Vec<(Option<ManagedProcess>, [SocketAddr; 3])>,
    /// Addresses of the links between supervisors, ordered by sender and then by receiver; empty without a group.
    links: Vec<SocketAddr>,
    /// Number of active outages of each supervisor; it starts again when the last one ends.
    outages: Vec<u32>,
    registry: SocketAddr,
    /// The correct server list, by id; faults of the registry do not change it.
    pub list: BTreeMap<u32, RegistryEntry>,
}

impl LocalDeployment {
    /// Starts all processes. `program` is the executable of every process; traces and logs are written to `folder`.
    ///
    /// Errors: a process cannot be started, or does not become ready.
    pub fn start(program: &Path, folder: &Path, scenario: &Scenario) -> Result<Self> {
        fs::create_dir_all(folder).with_context(|| format!("folder {}", folder.display()))?;
        let mut random = Rand64::new(u128::from(scenario.seed) + 1);
        let mut deployment = LocalDeployment {
            program: program.to_owned(),
            folder: folder.to_owned(),
            scenario: scenario.clone(),
            stand_ins: BTreeMap::new(),
            supervisors: Vec::new(),
            links: Vec::new(),
            outages: vec![0; scenario.supervisors.count.into()],
            registry: SocketAddr::from(([127, 0, 0, 1], 0)),
            list: BTreeMap::new(),
        };
        let mut servers = deployment.server_plans(&mut random);
        let ready = deployment.start_stand_in(
            Role::Servers,
            &ServersPlan {
                trace_path: deployment.trace_path(Role::Servers),
                seed: scenario.seed,
                servers: servers.clone(),
                kinds: scenario.kind_plans(),
                operations: scenario.operation_plans(),
                overload_multiple: scenario.rules.overload_ratio,
                overload_window: nanos_from_ms(scenario.rules.overload_after_s * MS_PER_SECOND),
                duplicate_effects: scenario.injected_fault == Some(InjectedFault::ServerRepeatsEffects),
            },
        )?;
        for (server, address) in servers.iter_mut().zip(ready.addresses) {
            server.address = address;
            let kind = &scenario.kinds[usize::from(server.kind)];
            deployment.list.insert(
                server.server,
                RegistryEntry {
                    server: server.server,
                    address,
                    zone: server.zone.clone(),
                    kind: server.kind,
                    cell: server.cell,
                    weight: f64::from(kind.cores) * kind.speed,
                    state: RegistryState::Ready,
                    incarnation: 1,
                    started_at: 0,
                },
            );
        }
        let ready = deployment.start_stand_in(
            Role::Registry,
            &RegistryPlan {
                trace_path: deployment.trace_path(Role::Registry),
                address: deployment.registry,
                entries: deployment.list.values().cloned().collect(),
            },
        )?;
        deployment.registry = ready.addresses[0];
        if scenario.group.is_some() {
            let members = scenario.supervisors.count.into();
            deployment.links = deployment.start_stand_in(Role::Links, &LinksPlan { members })?.addresses;
        }
        for number in 0..scenario.supervisors.count {
            // Each listener has its own loopback network: 127.0.3.x for forwarders, .4.x for balancers, .5.x for operators.
            let address = |net| SocketAddr::from(([127, 0, net, number as u8 + 1], 0));
            deployment.supervisors.push((None, [address(3), address(4), address(5)]));
            deployment.start_supervisor(usize::from(number))?;
        }
        let forwarders = deployment.forwarder_plans(&mut random);
        let ready = deployment.start_stand_in(
            Role::Forwarders,
            &ForwardersPlan {
                trace_path: deployment.trace_path(Role::Forwarders),
                seed: scenario.seed,
                operations: scenario.operation_plans(),
                supervisors: deployment
                    .supervisors
                    .iter()
                    .map(|supervisor| supervisor.1[FORWARDER_LISTENER])
                    .collect(),
                sasp_supervisors: deployment
                    .supervisors
                    .iter()
                    .map(|supervisor| supervisor.1[BALANCER_LISTENER])
                    .collect(),
                servers,
                bootstrap_table_size: scenario.forwarders.initial_table_size,
                load_balancing: scenario.forwarders.pick,
                incremental: scenario.forwarders.incremental,
                supports_lines: scenario.forwarders.line_updates,
                ejection_failure_threshold: scenario.forwarders.ejection_failure_threshold,
                ejection_duration: nanos_from_ms(scenario.forwarders.ejection_duration_s * MS_PER_SECOND),
                attempt_timeout_factor: scenario.forwarders.attempt_timeout_factor,
                reconnect_delay: (
                    nanos_from_ms(scenario.forwarders.reconnect_ms.0),
                    nanos_from_ms(scenario.forwarders.reconnect_ms.1),
                ),
                keyed_operation: scenario.keyed_operation(),
                unfenced: scenario.injected_fault == Some(InjectedFault::NoFencing),
                ignore_drains: scenario.injected_fault == Some(InjectedFault::ForwarderIgnoresDrains),
                forwarders: forwarders.clone(),
            },
        )?;
        let rates = forwarders.iter().map(|forwarder| forwarder.usual_rate);
        deployment.start_stand_in(
            Role::Callers,
            &CallersPlan {
                trace_path: deployment.trace_path(Role::Callers),
                seed: scenario.seed,
                forwarders: ready.addresses.into_iter().zip(rates).collect(),
                operations: scenario.operation_plans(),
                rate: scenario.demand.rate,
                max_retries: scenario.demand.retries,
                retry_delay: nanos_from_ms(scenario.demand.backoff_ms),
            },
        )?;
        Ok(deployment)
    }

    /// Assigns ids, addresses, localities, cells and machine models to the servers.
    fn server_plans(&self, random: &mut Rand64) -> Vec<ServerPlan> {
        let scenario = &self.scenario;
        let total: f64 = scenario.kinds.iter().map(|kind| kind.share).sum();
        let kind = |random: &mut Rand64| {
            let mut remaining = random.rand_float() * total;
            let found = scenario.kinds.iter().position(|kind| {
                remaining -= kind.share;
                remaining <= 0.0
            });
            found.unwrap_or(0) as u16
        };
        (0..scenario.fleet.servers)
            .map(|index| {
                let locality_count = scenario.localities.len() as u32;
                let [_, _, high, low] = (index + 1).to_be_bytes();
                ServerPlan {
                    server: FIRST_SERVER + index,
                    // Each server has its own address, so that no other process takes its port while it is down.
                    address: SocketAddr::from(([127, 1, high, low], 0)),
                    zone: scenario.localities[(index % locality_count) as usize].clone(),
                    cell: (index / locality_count / scenario.fleet.cell_size.max(1)) as u16,
                    kind: kind(random),
                }
            })
            .collect()
    }

    /// Assigns addresses, localities and rates to the forwarders.
    fn forwarder_plans(&self, random: &mut Rand64) -> Vec<ForwarderPlan> {
        let scenario = &self.scenario;
        // Exponential above a minimum: most forwarders carry little traffic, some far more.
        let shares: Vec<f64> = (0..scenario.forwarders.count)
            .map(|_| MIN_RELATIVE_RATE - (1.0 - random.rand_float()).ln())
            .collect();
        let total: f64 = shares.iter().sum();
        let plan = |(index, share): (usize, f64)| ForwarderPlan {
            forwarder: index as u32,
            address: SocketAddr::from((
                [127, 2, (index / FORWARDERS_PER_SUBNET) as u8, (index % FORWARDERS_PER_SUBNET) as u8 + 1],
                0,
            )),
            zone: scenario.localities[index % scenario.localities.len()].clone(),
            usual_rate: scenario.demand.rate * share / total,
            uses_sasp: (index as u32) < scenario.forwarders.balancers,
        };
        shares.into_iter().enumerate().map(plan).collect()
    }

    /// Path of a stand-in's trace.
    pub fn trace_path(&self, role: Role) -> PathBuf {
        self.folder.join(format!("{role:?}.trace").to_lowercase())
    }

    /// Path of a supervisor's log.
    pub fn log_path(&self, supervisor: usize) -> PathBuf {
        self.folder.join(format!("supervisor-{supervisor}.log"))
    }

    /// Starts a stand-in with its plan and waits until it accepts connections.
    fn start_stand_in(&mut self, role: Role, plan: &impl Serialize) -> Result<Ready> {
        let name = format!("{role:?}").to_lowercase();
        let log = self.folder.join(format!("{name}.log"));
        let mut process = ManagedProcess::start(&self.program, &["stand-in", &name], &log)?;
        process.send(plan)?;
        let ready = process.wait_until_ready().with_context(|| format!("stand-in {name}"))?;
        self.stand_ins.insert(role, process);
        Ok(ready)
    }

    /// Sends a command to a stand-in.
    ///
    /// Errors: the process has been stopped, or its input cannot be written.
    pub fn send_command(&mut self, role: Role, command: &Command) -> Result<()> {
        let process = self.stand_ins.get_mut(&role).with_context(|| format!("{role:?} have been stopped"))?;
        process.send(command).with_context(|| format!("{role:?}: {command:?}"))
    }

    /// Changes the state of servers in the list and sends their entries to the registry. `start`, if given, is the new
    /// incarnation and start time of all of them.
    ///
    /// Errors: see `send_command`.
    pub fn update_list(
        &mut self,
        servers: &[u32],
        state: RegistryState,
        start: Option<(u64, u64)>,
    ) -> Result<()> {
        let mut entries = Vec::new();
        for server in servers {
            if let Some(entry) = self.list.get_mut(server) {
                entry.state = state;
                if let Some((incarnation, started)) = start {
                    (entry.incarnation, entry.started_at) = (incarnation, started);
                }
                entries.push(entry.clone());
            }
        }
        self.send_command(Role::Registry, &Command::UpdateEntries { entries })
    }

    fn start_supervisor(&mut self, number: usize) -> Result<()> {
        let name = format!("supervisor-{number}");
        let state_folder = self.folder.join(&name);
        let config = self.folder.join(format!("{name}.toml"));
        let [listen, sasp, admin] = self.supervisors[number].1.map(|address| address.to_string());
        // Each supervisor reaches the others through its own links, and lists itself by the address that it listens on.
        // While the deployment starts, `supervisors` does not have all of them yet.
        let count = self.supervisors.len().max(usize::from(self.scenario.supervisors.count));
        let links = self.links.iter().skip(number * count).take(count).enumerate();
        let members: Vec<String> = links
            .map(|(member, link)| if member == number { listen.clone() } else { link.to_string() })
            .collect();
        let text = self.scenario.deployment(
            number as u16,
            [&listen, &sasp, &admin],
            &self.registry.to_string(),
            &state_folder.to_string_lossy(),
            &members,
        );
        fs::write(&config, text)?;
        let mut process = ManagedProcess::start(
            &self.program,
            &["daemon", "--config", &config.to_string_lossy()],
            &self.log_path(number),
        )?;
        let ready = process.wait_until_ready().with_context(|| name)?;
        let supervisor = &mut self.supervisors[number];
        supervisor.0 = Some(process);
        let enabled = [true, self.scenario.forwarders.balancers > 0, true];
        let listeners = supervisor.1.iter_mut().zip(enabled).filter(|listener| listener.1);
        listeners.zip(ready.addresses).for_each(|((listener, _), address)| *listener = address);
        let address = supervisor.1[FORWARDER_LISTENER];
        if self.scenario.group.is_some() {
            self.send_command(Role::Links, &Command::SetMemberAddress { member: number as u32, address })?;
        }
        Ok(())
    }

    /// Ends one outage of a supervisor, and starts it unless another outage is active.
    ///
    /// Errors: the process cannot be started, or does not become ready.
    pub fn restart_supervisor(&mut self, number: usize) -> Result<()> {
        self.outages[number] = self.outages[number].saturating_sub(1);
        if self.outages[number] > 0 {
            return Ok(());
        }
        self.start_supervisor(number)
    }

    /// Position of a server's locality among those of the scenario; 0 for an unknown server.
    pub fn locality(&self, server: u32) -> u32 {
        let zone = self.list.get(&server).map(|entry| entry.zone.as_str());
        self.scenario.localities.iter().position(|name| Some(name.as_str()) == zone).unwrap_or(0) as u32
    }

    /// Address of a supervisor for forwarders and for commands to the group.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.supervisors[number].1[FORWARDER_LISTENER]
    }

    /// Address of a supervisor for operators' queries of tables.
    pub fn admin_address(&self, number: usize) -> SocketAddr {
        self.supervisors[number].1[OPERATOR_LISTENER]
    }

    /// Number of supervisors.
    pub fn supervisors(&self) -> usize {
        self.supervisors.len()
    }

    /// Kills a supervisor without a signal that it could handle, as a power loss does; begins one outage.
    pub fn kill_supervisor(&mut self, number: usize) {
        self.outages[number] += 1;
        if let Some(mut process) = self.supervisors[number].0.take() {
            process.kill();
        }
    }

    /// Pauses a supervisor, or resumes it.
    pub fn pause_supervisor(&mut self, number: usize, paused: bool) {
        let Some(process) = &self.supervisors[number].0 else { return };
        let signal = if paused { rustix::process::Signal::STOP } else { rustix::process::Signal::CONT };
        if let Some(pid) = rustix::process::Pid::from_raw(process.child.id() as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Stops all processes. Callers stop first, the registry and the links last, so that all traces are complete.
    pub fn stop(mut self) -> Result<()> {
        for role in [Role::Callers, Role::Forwarders, Role::Servers] {
            if let Some(mut process) = self.stand_ins.remove(&role) {
                process.stop();
            }
        }
        for number in 0..self.supervisors.len() {
            self.pause_supervisor(number, false);
            if let Some(process) = &mut self.supervisors[number].0 {
                let pid = rustix::process::Pid::from_raw(process.child.id() as i32);
                pid.map(|pid| rustix::process::kill_process(pid, rustix::process::Signal::TERM));
                process.stop();
            }
        }
        for role in [Role::Registry, Role::Links] {
            if let Some(mut process) = self.stand_ins.remove(&role) {
                process.stop();
            }
        }
        Ok(())
    }
}
