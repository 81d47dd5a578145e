//! One table for each role: its quantities at the target size against their limits.

use super::breaking_point_text;
use crate::number::number;
use crate::projection::Projection;
use crate::quantity::Role;

const HEAD: &str = "| | what | at the size | may be | | fails at | mechanism | figure is | runs |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// Title and introduction of a role's section.
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
        introduction: "What one worker sees of all gateways. The laboratory's small fleets (runs `worker-...`) \
                       are not carried on to the size: what they show levels off.",
    },
    Section {
        role: Role::ControlMachine,
        title: "The 7 control machines",
        introduction: "They hold the log of changes of configuration; each gateway follows three of them. \
                       Nothing is granted for one but their number.",
    },
    Section {
        role: Role::EndpointList,
        title: "List of workers",
        introduction: "What whoever tells the list sends.",
    },
    Section { role: Role::Store, title: "Store", introduction: "Nothing was granted or bounded." },
];

pub(super) fn sections(projections: &[Projection]) -> String {
    let section = |section: &Section| {
        let rows = projections.iter().filter(|projection| projection.role == section.role).map(row);
        format!("## {}\n\n{}\n\n{HEAD}{}", section.title, section.introduction, rows.collect::<String>())
    };
    SECTIONS.iter().map(section).collect::<Vec<_>>().join("\n")
}

fn row(projection: &Projection) -> String {
    let runs = projection.runs.iter().map(|run| format!("[{run}](capacity/{run}.json)"));
    let has_breaking_point = projection.limit.is_some() && !projection.is_not_run();
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
        projection.limit.map_or("not stated".into(), number),
        verdict(projection),
        projection.mechanism,
        projection.provenance(),
        runs.collect::<Vec<_>>().join(", "),
    )
}

/// Whether the limit is kept, and whether other plausible forms agree.
fn verdict(projection: &Projection) -> &'static str {
    if projection.is_not_run() {
        return "not run";
    }
    if projection.limit.is_none() {
        return "";
    }
    match (projection.misses(), projection.is_uncertain()) {
        (true, true) => "**MISSES**, by other forms it would hold",
        (true, false) => "**MISSES**",
        (false, true) => "holds, by other forms it **MISSES**",
        (false, false) => "holds",
    }
}
