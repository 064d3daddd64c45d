//! The processes of a day: started, spoken to, killed, and all ended with the stage.

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
    CallersPlan, Command, ForwarderPlan, ForwardersPlan, LinksPlan, Listed, ListedAs, Ready, RegistryPlan,
    ServerPlan, ServersPlan,
};

use crate::scenario::{nanos, InjectedFault, Scenario};

/// A running process with its input.
struct Actor {
    child: Child,
}

impl Actor {
    fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Process::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{} {arguments:?}", program.display()))?;
        Ok(Actor { child })
    }

    fn say(&mut self, what: &impl Serialize) -> Result<()> {
        let Some(input) = &mut self.child.stdin else { bail!("the process has no input") };
        let line = serde_json::to_string(what)?;
        writeln!(input, "{line}")?;
        Ok(input.flush()?)
    }

    fn ready(&mut self) -> Result<Ready> {
        let Some(output) = self.child.stdout.take() else { bail!("the process has no output") };
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        serde_json::from_str(&line).context("the process did not come up; see its log")
    }

    /// By its end of input; killed where that does not help in time.
    fn end(&mut self) {
        drop(self.child.stdin.take());
        for _ in 0..200 {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        self.kill();
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Actor {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Who is spoken to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Servers,
    Forwarders,
    Callers,
    Registry,
    Links,
}

/// A whole deployment as processes of this machine.
pub struct LocalDeployment {
    program: PathBuf,
    folder: PathBuf,
    day: Scenario,
    actors: BTreeMap<Role, Actor>,
    /// Each with its address on either front, and the operators'.
    supervisors: Vec<(Option<Actor>, [SocketAddr; 3])>,
    /// Doors between supervisors, by from whom and to whom.
    doors: Vec<SocketAddr>,
    /// Troubles that keep a supervisor down; it comes back with the end of the last one.
    down: Vec<u32>,
    registry: SocketAddr,
    /// The list as it truly is.
    pub list: BTreeMap<u32, Listed>,
}

impl LocalDeployment {
    /// Starts everything but the callers. `program` plays all parts; `folder` takes traces and logs.
    pub fn start(program: &Path, folder: &Path, day: &Scenario) -> Result<Self> {
        fs::create_dir_all(folder).with_context(|| format!("folder {}", folder.display()))?;
        let mut chance = Rand64::new(u128::from(day.seed) + 1);
        let mut stage = LocalDeployment {
            program: program.to_owned(),
            folder: folder.to_owned(),
            day: day.clone(),
            actors: BTreeMap::new(),
            supervisors: Vec::new(),
            doors: Vec::new(),
            down: vec![0; day.supervisors.count.into()],
            registry: SocketAddr::from(([127, 0, 0, 1], 0)),
            list: BTreeMap::new(),
        };
        let mut servers = stage.server_plans(&mut chance);
        let told = stage.cast(
            Role::Servers,
            &ServersPlan {
                trace: stage.trace(Role::Servers),
                seed: day.seed,
                servers: servers.clone(),
                kinds: day.kind_plans(),
                operations: day.operation_plans(),
                tip_multiple: day.rules.tip_multiple,
                tip_after: nanos(day.rules.tip_after_s * 1e3),
                repeat_effects: day.injected_fault == Some(InjectedFault::ServerRepeatsEffects),
            },
        )?;
        for (server, address) in servers.iter_mut().zip(told.addresses) {
            server.address = address;
            let kind = &day.kinds[usize::from(server.kind)];
            stage.list.insert(
                server.server,
                Listed {
                    server: server.server,
                    address,
                    zone: server.zone.clone(),
                    kind: server.kind,
                    cell: server.cell,
                    weight: f64::from(kind.cores) * kind.speed,
                    state: ListedAs::Ready,
                    incarnation: 1,
                    started: 0,
                },
            );
        }
        let told = stage.cast(
            Role::Registry,
            &RegistryPlan {
                trace: stage.trace(Role::Registry),
                address: stage.registry,
                list: stage.list.values().cloned().collect(),
            },
        )?;
        stage.registry = told.addresses[0];
        if day.group.is_some() {
            let members = day.supervisors.count.into();
            stage.doors = stage.cast(Role::Links, &LinksPlan { members })?.addresses;
        }
        for number in 0..day.supervisors.count {
            let on = |net| SocketAddr::from(([127, 0, net, number as u8 + 1], 0));
            stage.supervisors.push((None, [on(3), on(4), on(5)]));
            stage.start_supervisor(usize::from(number))?;
        }
        let forwarders = stage.forwarder_plans(&mut chance);
        let told = stage.cast(
            Role::Forwarders,
            &ForwardersPlan {
                trace: stage.trace(Role::Forwarders),
                seed: day.seed,
                operations: day.operation_plans(),
                supervisors: stage.supervisors.iter().map(|supervisor| supervisor.1[0]).collect(),
                sasp: stage.supervisors.iter().map(|supervisor| supervisor.1[1]).collect(),
                servers,
                standing: day.forwarders.standing,
                pick: day.forwarders.pick,
                incremental: day.forwarders.incremental,
                lines: day.forwarders.lines,
                fails_to_avoid: day.forwarders.fails_to_avoid,
                avoid_for: nanos(day.forwarders.avoid_s * 1e3),
                first_wait: day.forwarders.first_wait,
                redial: (nanos(day.forwarders.redial_ms.0), nanos(day.forwarders.redial_ms.1)),
                keyed: day.keyed(),
                unfenced: day.injected_fault == Some(InjectedFault::NoFence),
                ignore_drains: day.injected_fault == Some(InjectedFault::ForwarderIgnoresDrains),
                forwarders: forwarders.clone(),
            },
        )?;
        let rates = forwarders.iter().map(|forwarder| forwarder.rate);
        stage.cast(
            Role::Callers,
            &CallersPlan {
                trace: stage.trace(Role::Callers),
                seed: day.seed,
                forwarders: told.addresses.into_iter().zip(rates).collect(),
                operations: day.operation_plans(),
                rate: day.demand.rate,
                retries: day.demand.retries,
                backoff: nanos(day.demand.backoff_ms),
            },
        )?;
        Ok(stage)
    }

    fn server_plans(&self, chance: &mut Rand64) -> Vec<ServerPlan> {
        let day = &self.day;
        let total: f64 = day.kinds.iter().map(|kind| kind.share).sum();
        let kind = |chance: &mut Rand64| {
            let mut left = chance.rand_float() * total;
            let found = day.kinds.iter().position(|kind| {
                left -= kind.share;
                left <= 0.0
            });
            found.unwrap_or(0) as u16
        };
        (0..day.fleet.servers)
            .map(|at| {
                let zones = day.localities.len() as u32;
                let [_, _, high, low] = (at + 1).to_be_bytes();
                ServerPlan {
                    server: 1000 + at,
                    // An address of its own, so that its port stays free while it is down.
                    address: SocketAddr::from(([127, 1, high, low], 0)),
                    zone: day.localities[(at % zones) as usize].clone(),
                    cell: (at / zones / day.fleet.cell_size.max(1)) as u16,
                    kind: kind(chance),
                }
            })
            .collect()
    }

    fn forwarder_plans(&self, chance: &mut Rand64) -> Vec<ForwarderPlan> {
        let day = &self.day;
        // Most carry little traffic, some far more.
        let parts: Vec<f64> =
            (0..day.forwarders.count).map(|_| 0.2 - (1.0 - chance.rand_float()).ln()).collect();
        let total: f64 = parts.iter().sum();
        let plan = |(at, part): (usize, f64)| ForwarderPlan {
            forwarder: at as u32,
            address: SocketAddr::from(([127, 2, (at / 250) as u8, (at % 250) as u8 + 1], 0)),
            zone: day.localities[at % day.localities.len()].clone(),
            rate: day.demand.rate * part / total,
            sasp: (at as u32) < day.forwarders.balancers,
        };
        parts.into_iter().enumerate().map(plan).collect()
    }

    pub fn trace(&self, who: Role) -> PathBuf {
        self.folder.join(format!("{who:?}.trace").to_lowercase())
    }

    pub fn log(&self, supervisor: usize) -> PathBuf {
        self.folder.join(format!("supervisor-{supervisor}.log"))
    }

    fn cast(&mut self, who: Role, plan: &impl Serialize) -> Result<Ready> {
        let role = format!("{who:?}").to_lowercase();
        let log = self.folder.join(format!("{role}.log"));
        let mut actor = Actor::start(&self.program, &["stand-in", &role], &log)?;
        actor.say(plan)?;
        let ready = actor.ready().with_context(|| format!("stand-in {role}"))?;
        self.actors.insert(who, actor);
        Ok(ready)
    }

    pub fn tell(&mut self, who: Role, command: &Command) -> Result<()> {
        let actor = self.actors.get_mut(&who).with_context(|| format!("{who:?} are gone"))?;
        actor.say(command).with_context(|| format!("{who:?}: {command:?}"))
    }

    /// Tells the registry how these servers stand by now.
    pub fn list_as(&mut self, servers: &[u32], state: ListedAs, start: Option<(u64, u64)>) -> Result<()> {
        let mut rows = Vec::new();
        for server in servers {
            if let Some(row) = self.list.get_mut(server) {
                row.state = state;
                if let Some((incarnation, started)) = start {
                    (row.incarnation, row.started) = (incarnation, started);
                }
                rows.push(row.clone());
            }
        }
        self.tell(Role::Registry, &Command::List { rows })
    }

    fn start_supervisor(&mut self, number: usize) -> Result<()> {
        let name = format!("supervisor-{number}");
        let state = self.folder.join(&name);
        let file = self.folder.join(format!("{name}.toml"));
        let [listen, sasp, admin] = self.supervisors[number].1.map(|address| address.to_string());
        // Each reaches the others through doors of its own, and names itself by where it listens.
        let count = self.supervisors.len().max(usize::from(self.day.supervisors.count));
        let doors = self.doors.iter().skip(number * count).take(count).enumerate();
        let members: Vec<String> =
            doors.map(|(at, door)| if at == number { listen.clone() } else { door.to_string() }).collect();
        let text = self.day.deployment(
            number as u16,
            [&listen, &sasp, &admin],
            &self.registry.to_string(),
            &state.to_string_lossy(),
            &members,
        );
        fs::write(&file, text)?;
        let mut actor =
            Actor::start(&self.program, &["daemon", "--config", &file.to_string_lossy()], &self.log(number))?;
        let ready = actor.ready().with_context(|| name)?;
        let held = &mut self.supervisors[number];
        held.0 = Some(actor);
        let served = [true, self.day.forwarders.balancers > 0, true];
        let fronts = held.1.iter_mut().zip(served).filter(|front| front.1);
        fronts.zip(ready.addresses).for_each(|((old, _), address)| *old = address);
        let address = held.1[0];
        if self.day.group.is_some() {
            self.tell(Role::Links, &Command::Member { member: number as u32, address })?;
        }
        Ok(())
    }

    /// What killed it is over: it starts again unless something else still keeps it down.
    pub fn restart_supervisor(&mut self, number: usize) -> Result<()> {
        self.down[number] = self.down[number].saturating_sub(1);
        if self.down[number] > 0 {
            return Ok(());
        }
        self.start_supervisor(number)
    }

    /// Position of a server's locality.
    pub fn locality(&self, server: u32) -> u32 {
        let zone = self.list.get(&server).map(|row| row.zone.as_str());
        self.day.localities.iter().position(|name| Some(name.as_str()) == zone).unwrap_or(0) as u32
    }

    /// Where a supervisor serves.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.supervisors[number].1[0]
    }

    /// Where it answers operators about tables.
    pub fn admin(&self, number: usize) -> SocketAddr {
        self.supervisors[number].1[2]
    }

    pub fn supervisors(&self) -> usize {
        self.supervisors.len()
    }

    /// Outright, as a machine that loses its power.
    pub fn kill_supervisor(&mut self, number: usize) {
        self.down[number] += 1;
        if let Some(mut actor) = self.supervisors[number].0.take() {
            actor.kill();
        }
    }

    /// Stands still, or goes on.
    pub fn stall_supervisor(&mut self, number: usize, on: bool) {
        let Some(actor) = &self.supervisors[number].0 else { return };
        let signal = if on { rustix::process::Signal::STOP } else { rustix::process::Signal::CONT };
        if let Some(pid) = rustix::process::Pid::from_raw(actor.child.id() as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Ends everything, callers first, so that all traces are whole.
    pub fn stop(mut self) -> Result<()> {
        for who in [Role::Callers, Role::Forwarders, Role::Servers] {
            if let Some(mut actor) = self.actors.remove(&who) {
                actor.end();
            }
        }
        for number in 0..self.supervisors.len() {
            self.stall_supervisor(number, false);
            if let Some(actor) = &mut self.supervisors[number].0 {
                let pid = rustix::process::Pid::from_raw(actor.child.id() as i32);
                pid.map(|pid| rustix::process::kill_process(pid, rustix::process::Signal::TERM));
                actor.end();
            }
        }
        for who in [Role::Registry, Role::Links] {
            if let Some(mut actor) = self.actors.remove(&who) {
                actor.end();
            }
        }
        Ok(())
    }
}
