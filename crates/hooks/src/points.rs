//! The hook points and the types of their inputs and outputs. A hook returns a value, never a command: the controller
//! decides whether and how to use it in place of its own value.

use crate::check::HookPoint;
use crate::types::{Type, Unit};

fn record(fields: &[(&str, Type)]) -> Type {
    Type::Record(fields.iter().map(|(name, field_type)| ((*name).to_owned(), field_type.clone())).collect())
}

/// The record type in which a hook receives a server.
pub fn server_type() -> Type {
    let dimensionless = Type::Number(Unit::DIMENSIONLESS);
    let (time, rate) = (Type::Number(Unit::TIME), Type::Number(Unit::RATE));
    record(&[
        ("id", dimensionless.clone()),
        ("locality", Type::String),
        ("kind", dimensionless.clone()),
        // Relative to the other servers, as in the server list.
        ("size", dimensionless.clone()),
        // Since the server's start; at most one day.
        ("age", time.clone()),
        // Share of its capacity that it has reached by now, according to the settings.
        ("able", dimensionless.clone()),
        ("withdrawn", Type::Boolean),
        // Share of its recent attempts that failed.
        ("errors", dimensionless),
        // Mean of its recent response times; 0 s if there were no responses.
        ("answer_time", time),
        // Attempts per second that reached it.
        ("rate", rate),
    ])
}

/// All hook points.
pub fn hook_points() -> Vec<HookPoint> {
    let dimensionless = Type::Number(Unit::DIMENSIONLESS);
    let (time, rate) = (Type::Number(Unit::TIME), Type::Number(Unit::RATE));
    let hook_point = |name: &str, inputs: &[(&str, Type)], output: &Type| HookPoint {
        name: name.to_owned(),
        inputs: inputs.iter().map(|(name, field_type)| ((*name).to_owned(), field_type.clone())).collect(),
        output: output.clone(),
    };
    let fleet = record(&[
        ("servers", dimensionless.clone()),
        ("answer_time", time.clone()),
        ("errors", dimensionless.clone()),
        ("rate", rate.clone()),
    ]);
    let operation = record(&[
        ("name", Type::String),
        ("objective", time),
        ("value", dimensionless.clone()),
        // Share of the operation's requests that is admitted now.
        ("level", dimensionless.clone()),
        ("rate", rate),
    ]);
    let decision = record(&[("what", Type::String), ("server", server_type())]);
    vec![
        hook_point("warm", &[("server", server_type())], &Type::Boolean),
        hook_point(
            "score",
            &[("server", server_type()), ("fleet", fleet.clone()), ("proposed", dimensionless.clone())],
            &dimensionless,
        ),
        hook_point(
            "weight",
            &[("server", server_type()), ("proposed", dimensionless.clone())],
            &dimensionless,
        ),
        hook_point("withdraw", &[("server", server_type()), ("proposed", Type::Boolean)], &Type::Boolean),
        hook_point(
            "admit",
            &[("operation", operation), ("fleet", fleet), ("proposed", dimensionless.clone())],
            &dimensionless,
        ),
        hook_point("announce", &[("decision", decision)], &Type::String),
    ]
}
