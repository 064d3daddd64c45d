//! The points at which a hook is asked, and what it is given there. A hook gives figures, never orders: what becomes of
//! them is decided where the module's own would be.

use crate::check::HookPoint;
use crate::types::{Type, Unit};

fn record(fields: &[(&str, Type)]) -> Type {
    Type::Record(fields.iter().map(|(name, of)| ((*name).to_owned(), of.clone())).collect())
}

/// What is known of a server.
pub fn server_type() -> Type {
    let (plain, time, rate) =
        (Type::Number(Unit::DIMENSIONLESS), Type::Number(Unit::TIME), Type::Number(Unit::RATE));
    record(&[
        ("id", plain.clone()),
        ("locality", Type::String),
        ("kind", plain.clone()),
        // Beside the others', as the list has it.
        ("size", plain.clone()),
        // Since its start; a day where that is longer ago.
        ("age", time.clone()),
        // Part of its capacity that it has by now, by the settings.
        ("able", plain.clone()),
        ("withdrawn", Type::Boolean),
        // Of its tries, of late.
        ("errors", plain),
        // Mean of its answers of late; 0 s where none came.
        ("answer_time", time),
        // Tries that came to it.
        ("rate", rate),
    ])
}

/// All points there are.
pub fn hook_points() -> Vec<HookPoint> {
    let (plain, time, rate) =
        (Type::Number(Unit::DIMENSIONLESS), Type::Number(Unit::TIME), Type::Number(Unit::RATE));
    let point = |name: &str, inputs: &[(&str, Type)], output: &Type| HookPoint {
        name: name.to_owned(),
        inputs: inputs.iter().map(|(name, of)| ((*name).to_owned(), of.clone())).collect(),
        output: output.clone(),
    };
    let fleet = record(&[
        ("servers", plain.clone()),
        ("answer_time", time.clone()),
        ("errors", plain.clone()),
        ("rate", rate.clone()),
    ]);
    let operation = record(&[
        ("name", Type::String),
        ("objective", time),
        ("value", plain.clone()),
        // Part that is let in now.
        ("level", plain.clone()),
        ("rate", rate),
    ]);
    let decision = record(&[("what", Type::String), ("server", server_type())]);
    vec![
        point("warm", &[("server", server_type())], &Type::Boolean),
        point(
            "score",
            &[("server", server_type()), ("fleet", fleet.clone()), ("proposed", plain.clone())],
            &plain,
        ),
        point("weight", &[("server", server_type()), ("proposed", plain.clone())], &plain),
        point("withdraw", &[("server", server_type()), ("proposed", Type::Boolean)], &Type::Boolean),
        point("admit", &[("operation", operation), ("fleet", fleet), ("proposed", plain.clone())], &plain),
        point("announce", &[("decision", decision)], &Type::String),
    ]
}
