//! Types and units of values, as the type checker infers them.

use std::collections::BTreeMap;
use std::fmt;

/// A number's unit, as exponents of seconds and of invocations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unit {
    /// Exponent of seconds.
    pub time: i8,
    /// Exponent of invocations.
    pub invocations: i8,
}

impl Unit {
    /// No unit.
    pub const DIMENSIONLESS: Unit = Unit { time: 0, invocations: 0 };
    /// Seconds.
    pub const TIME: Unit = Unit { time: 1, invocations: 0 };
    /// Invocations per second.
    pub const RATE: Unit = Unit { time: -1, invocations: 1 };

    /// The unit of a product, or `None` if an exponent overflows.
    pub(crate) fn multiply(self, other: Unit) -> Option<Unit> {
        let time = self.time.checked_add(other.time)?;
        Some(Unit { time, invocations: self.invocations.checked_add(other.invocations)? })
    }

    /// The unit of a quotient, or `None` if an exponent overflows.
    pub(crate) fn divide(self, other: Unit) -> Option<Unit> {
        let time = self.time.checked_sub(other.time)?;
        Some(Unit { time, invocations: self.invocations.checked_sub(other.invocations)? })
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Unit::DIMENSIONLESS => write!(f, "a number without a unit"),
            Unit::TIME => write!(f, "a time"),
            Unit::RATE => write!(f, "a rate"),
            Unit { time, invocations } => write!(f, "a number in s^{time} inv^{invocations}"),
        }
    }
}

/// The type of a value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Type {
    Number(Unit),
    String,
    Boolean,
    /// A list and its item type; `None` for an empty list, whose item type is unknown.
    List(Option<Box<Type>>),
    /// Field types by name; a value holds the fields in the order of their names.
    Record(BTreeMap<String, Type>),
}

impl Type {
    /// The type that covers both, where an item type known on one side fills in an empty list on the other; `None` if
    /// the types differ.
    pub(crate) fn join(&self, other: &Type) -> Option<Type> {
        match (self, other) {
            (Type::List(left), Type::List(right)) => Some(Type::List(match (left, right) {
                (Some(left), Some(right)) => Some(Box::new(left.join(right)?)),
                (left, right) => left.clone().or(right.clone()),
            })),
            (Type::Record(left), Type::Record(right)) if left.len() == right.len() => {
                let mut fields = BTreeMap::new();
                for ((name, left_type), (right_name, right_type)) in left.iter().zip(right) {
                    if name != right_name {
                        return None;
                    }
                    fields.insert(name.clone(), left_type.join(right_type)?);
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
            Type::String => write!(f, "a string"),
            Type::Boolean => write!(f, "a Boolean"),
            Type::List(None) => write!(f, "an empty list"),
            Type::List(Some(item)) => write!(f, "a list whose items are each {item}"),
            Type::Record(fields) => {
                let names: Vec<&str> = fields.keys().map(String::as_str).collect();
                write!(f, "a record with the fields {}", names.join(", "))
            }
        }
    }
}
