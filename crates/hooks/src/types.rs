//! Types and units, as the checker infers them.

use std::collections::BTreeMap;
use std::fmt;

/// Powers of time (s) and of invocations in a number's unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unit {
    pub time: i8,
    pub invocations: i8,
}

impl Unit {
    pub const DIMENSIONLESS: Unit = Unit { time: 0, invocations: 0 };
    pub const TIME: Unit = Unit { time: 1, invocations: 0 };
    pub const RATE: Unit = Unit { time: -1, invocations: 1 };

    pub(crate) fn times(self, other: Unit) -> Option<Unit> {
        let time = self.time.checked_add(other.time)?;
        Some(Unit { time, invocations: self.invocations.checked_add(other.invocations)? })
    }

    pub(crate) fn over(self, other: Unit) -> Option<Unit> {
        let time = self.time.checked_sub(other.time)?;
        Some(Unit { time, invocations: self.invocations.checked_sub(other.invocations)? })
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Unit::DIMENSIONLESS => write!(f, "a plain number"),
            Unit::TIME => write!(f, "a time"),
            Unit::RATE => write!(f, "a rate"),
            Unit { time, invocations } => write!(f, "a number in s^{time} inv^{invocations}"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Type {
    Number(Unit),
    String,
    Boolean,
    /// Nothing is known of the items of a list without any.
    List(Option<Box<Type>>),
    /// By name; in memory the fields stand in the order of their names.
    Record(BTreeMap<String, Type>),
}

impl Type {
    /// The type of what is either, where one has more to say of an empty list than the other.
    pub(crate) fn join(&self, other: &Type) -> Option<Type> {
        match (self, other) {
            (Type::List(one), Type::List(other)) => Some(Type::List(match (one, other) {
                (Some(one), Some(other)) => Some(Box::new(one.join(other)?)),
                (one, other) => one.clone().or(other.clone()),
            })),
            (Type::Record(one), Type::Record(other)) if one.len() == other.len() => {
                let mut fields = BTreeMap::new();
                for ((name, a), (same, b)) in one.iter().zip(other) {
                    if name != same {
                        return None;
                    }
                    fields.insert(name.clone(), a.join(b)?);
                }
                Some(Type::Record(fields))
            }
            _ => (self == other).then(|| self.clone()),
        }
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Type::Number(unit) => write!(f, "{unit}"),
            Type::String => write!(f, "a text"),
            Type::Boolean => write!(f, "true or false"),
            Type::List(None) => write!(f, "an empty list"),
            Type::List(Some(item)) => write!(f, "a list, each {item}"),
            Type::Record(fields) => {
                let names: Vec<&str> = fields.keys().map(String::as_str).collect();
                write!(f, "a record of {}", names.join(", "))
            }
        }
    }
}
