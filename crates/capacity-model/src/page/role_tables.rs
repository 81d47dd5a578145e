//! One table for each role, which compares its quantities at the target size with their limits.

use super::breaking_point_text;
use crate::number::number;
use crate::projection::Projection;
use crate::quantity::Role;

const TABLE_HEAD: &str = "| resource | quantity | at the target size | limit | verdict | exceeded at | mechanism | source | runs |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// The title and introduction of the section on a role.
struct Section {
    role: Role,
    title: &'static str,
    introduction: &'static str,
}

const SECTIONS: [Section; 5] = [
    Section {
        role: Role::Gateway,
        title: "Gateway",
        introduction: "Granted for control: 1.2% of a core, 256 MB, 22 kB/s.",
    },
    Section {
        role: Role::Worker,
        title: "Worker's side of control",
        introduction: "What one worker receives from all gateways. The runs `worker-...` of the simulator's small \
                       fleets are not extrapolated: their values level off.",
    },
    Section {
        role: Role::ControlMachine,
        title: "The 7 control machines",
        introduction: "They hold the log of configuration changes; each gateway follows three of them. Only their \
                       number is given: the cost of one has no limit.",
    },
    Section {
        role: Role::EndpointList,
        title: "Endpoint list",
        introduction: "What the service that sends the endpoint list bears.",
    },
    Section { role: Role::Store, title: "Store", introduction: "There is no limit." },
];

pub(super) fn sections(projections: &[Projection]) -> String {
    let section = |section: &Section| {
        let rows = projections.iter().filter(|projection| projection.role == section.role).map(row);
        format!(
            "## {}\n\n{}\n\n{TABLE_HEAD}{}",
            section.title,
            section.introduction,
            rows.collect::<String>()
        )
    };
    SECTIONS.iter().map(section).collect::<Vec<_>>().join("\n")
}

fn row(projection: &Projection) -> String {
    let runs = projection.runs.iter().map(|run| format!("[{run}](capacity/{run}.json)"));
    let has_breaking_point = projection.limit.is_some() && !projection.has_missing_runs();
    let breaking_point = if has_breaking_point {
        breaking_point_text(projection.breaking_point, projection.breaks_below_measured)
    } else {
        String::new()
    };
    format!(
        "| {} | {} | {} {} | {} | {} | {breaking_point} | {} | {} | {} |\n",
        projection.resource.label(),
        projection.description,
        number(projection.value),
        projection.unit,
        projection.limit.map_or("none".into(), number),
        verdict(projection),
        projection.mechanism,
        projection.provenance(),
        runs.collect::<Vec<_>>().join(", "),
    )
}

/// Whether the limit is kept, and whether other plausible forms of growth give the same answer.
fn verdict(projection: &Projection) -> &'static str {
    if projection.has_missing_runs() {
        return "not run";
    }
    if projection.limit.is_none() {
        return "";
    }
    match (projection.exceeds_limit(), projection.is_uncertain()) {
        (true, true) => "**MISSES**, by other forms it would hold",
        (true, false) => "**MISSES**",
        (false, true) => "holds, by other forms it **MISSES**",
        (false, false) => "holds",
    }
}
