//! A quantity to be evaluated at the target size: the runs that it is computed from, the positions on their axes, the
//! formula, and the limit.

use std::rc::Rc;

/// The part of the system that bears a cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A gateway.
    Gateway,
    /// A worker, which all gateways connect to.
    Worker,
    /// A machine that replicates the log of configuration changes.
    ControlMachine,
    /// The service that sends the endpoint list to the gateways.
    EndpointList,
    /// The store from which workers fetch functions.
    Store,
}

/// The resource that a quantity measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Number of entries or connections held.
    State,
    /// Network traffic.
    Messages,
    /// CPU time.
    Cpu,
    /// Memory.
    Memory,
    /// Latency, or the age of information.
    Time,
}

impl Resource {
    /// The name as printed on the page.
    pub fn label(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Messages => "messages",
            Self::Cpu => "CPU",
            Self::Memory => "memory",
            Self::Time => "time",
        }
    }
}

/// A run, and the position on its axes that corresponds to the target size.
#[derive(Clone, Copy, Debug)]
pub struct RunInput {
    /// Name of the run.
    pub run: &'static str,
    /// Position on the first axis.
    pub size: f64,
    /// Position on the second axis; 0 if the run has one axis.
    pub second_size: f64,
}

impl RunInput {
    /// A position on the axis of a single-axis run.
    pub fn new(run: &'static str, size: f64) -> Self {
        Self { run, size, second_size: 0.0 }
    }
}

/// Computes a quantity from the size, given as a fraction of the target size, and the values of its runs at that size.
pub type Formula = Rc<dyn Fn(f64, &[f64]) -> f64>;

/// A quantity to be evaluated at the target size.
#[derive(Clone)]
pub struct Quantity {
    /// The part of the system that bears the cost.
    pub role: Role,
    /// The resource that is used.
    pub resource: Resource,
    /// The name of the quantity on the page.
    pub description: String,
    /// The mechanism that causes the cost; `None` for that of the first run.
    pub mechanism: Option<String>,
    /// The runs that the quantity is computed from.
    pub inputs: Vec<RunInput>,
    /// Computes the quantity from the values of the runs.
    pub formula: Formula,
    /// Unit of the result and of the limit.
    pub unit: &'static str,
    /// The largest acceptable value; `None` if there is no limit.
    pub limit: Option<f64>,
}

impl Quantity {
    /// A quantity equal to the value of one run, without a limit.
    pub fn from_run(
        role: Role,
        resource: Resource,
        description: impl Into<String>,
        input: RunInput,
        unit: &'static str,
    ) -> Self {
        Self {
            role,
            resource,
            description: description.into(),
            mechanism: None,
            inputs: vec![input],
            formula: Rc::new(|_, values| values[0]),
            unit,
            limit: None,
        }
    }

    /// A quantity that is calculated from the size alone, without a run. `formula` takes the size as a fraction of the
    /// target size.
    pub fn calculated(
        role: Role,
        resource: Resource,
        description: &str,
        mechanism: &str,
        unit: &'static str,
        formula: impl Fn(f64) -> f64 + 'static,
    ) -> Self {
        Self {
            role,
            resource,
            description: description.into(),
            mechanism: Some(mechanism.into()),
            inputs: Vec::new(),
            formula: Rc::new(move |size, _| formula(size)),
            unit,
            limit: None,
        }
    }

    /// The sum of one or more quantities, which must have the same role, resource and unit.
    pub fn sum(description: &str, mechanism: &str, parts: &[&Self]) -> Self {
        let summands: Vec<(usize, Formula)> =
            parts.iter().map(|part| (part.inputs.len(), part.formula.clone())).collect();
        let formula = move |size: f64, values: &[f64]| {
            let (mut rest, mut sum) = (values, 0.0);
            for (inputs, formula) in &summands {
                let (own, others) = rest.split_at(*inputs);
                sum += formula(size, own);
                rest = others;
            }
            sum
        };
        Self {
            description: description.into(),
            mechanism: Some(mechanism.into()),
            inputs: parts.iter().flat_map(|part| part.inputs.clone()).collect(),
            formula: Rc::new(formula),
            limit: None,
            ..parts[0].clone()
        }
    }

    /// Replaces the formula by the value of the first run multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> Self {
        self.with_formula(move |_, values| values[0] * factor)
    }

    /// Replaces the formula.
    pub fn with_formula(self, formula: impl Fn(f64, &[f64]) -> f64 + 'static) -> Self {
        Self { formula: Rc::new(formula), ..self }
    }

    /// Replaces the runs.
    pub fn with_inputs(self, inputs: Vec<RunInput>) -> Self {
        Self { inputs, ..self }
    }

    /// Sets the limit, in the unit of the quantity.
    pub fn with_limit(self, limit: f64) -> Self {
        Self { limit: Some(limit), ..self }
    }
}
