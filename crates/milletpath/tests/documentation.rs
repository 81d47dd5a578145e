//! Consistency of the documentation: each relative link points to an existing file, and each package is listed in the
//! readme's table and shown in the architecture diagram.

use milletpath_test_support::program::repository_file;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Folders that contain Markdown pages, and pages at the root of the repository.
const PAGES: [&str; 5] = ["docs", "deploy", "README.md", "CONTRIBUTING.md", "CHANGELOG.md"];

/// A link from a page to a file of the repository.
struct Link {
    page: PathBuf,
    line: usize,
    target: String,
}

/// All Markdown files at or below a path.
fn pages(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return if path.extension().is_some_and(|e| e == "md") { vec![path.to_owned()] } else { Vec::new() };
    }
    let entries = std::fs::read_dir(path).expect("the folder is readable");
    entries.flat_map(|entry| pages(&entry.expect("a readable entry").path())).collect()
}

/// The targets of the links in one line, which have the form `[text](target)`.
fn targets(line: &str) -> impl Iterator<Item = &str> {
    line.split("](").skip(1).filter_map(|rest| rest.split(')').next())
}

/// The links of a page to files. Links within the page, links to other hosts and fenced code blocks are left out.
fn links(page: &Path) -> Vec<Link> {
    let text = std::fs::read_to_string(page).expect("the page is readable");
    let mut links = Vec::new();
    let mut is_fenced = false;
    for (index, line) in text.lines().enumerate() {
        is_fenced ^= line.trim_start().starts_with("```");
        for target in targets(line).filter(|_| !is_fenced) {
            if !target.starts_with('#') && !target.contains("://") {
                links.push(Link { page: page.to_owned(), line: index + 1, target: target.to_owned() });
            }
        }
    }
    links
}

impl Link {
    /// The location of the link and its target.
    fn description(&self) -> String {
        format!("{}:{}: {}", self.page.display(), self.line, self.target)
    }

    /// Whether the linked file exists. A fragment after `#` is not checked.
    fn target_exists(&self) -> bool {
        let file = self.target.split('#').next().unwrap_or_default();
        self.page.parent().is_some_and(|folder| folder.join(file).exists())
    }
}

#[test]
fn each_link_target_exists() {
    let pages = PAGES.iter().flat_map(|path| pages(&repository_file(path)));
    let links: Vec<_> = pages.flat_map(|page| links(&page)).collect();
    assert!(links.len() > 100, "only {} links were found", links.len());
    let broken = links.iter().filter(|link| !link.target_exists());
    let broken: Vec<_> = broken.map(Link::description).collect();
    assert!(broken.is_empty(), "links to files that do not exist: {broken:#?}");
}

#[test]
fn a_broken_link_is_found() {
    let page = repository_file("README.md");
    let link = |target: &str| Link { page: page.clone(), line: 1, target: target.to_owned() };
    assert!(link("docs/ARCHITECTURE.md#threads").target_exists());
    assert!(!link("docs/no-such-page.md").target_exists());
    assert_eq!(targets("[a](b.md) and [c](d/e.md#f)").collect::<Vec<_>>(), ["b.md", "d/e.md#f"]);
}

fn packages() -> BTreeSet<String> {
    let folders = std::fs::read_dir(repository_file("crates")).expect("the crates folder is readable");
    let folders = folders.map(|folder| folder.expect("a readable entry").path());
    let packages = folders.filter(|folder| folder.join("Cargo.toml").is_file());
    packages.filter_map(|folder| Some(folder.file_name()?.to_string_lossy().into_owned())).collect()
}

#[test]
fn each_package_is_in_the_readme_table_and_in_the_diagram() {
    let readme = std::fs::read_to_string(repository_file("README.md")).expect("the readme is readable");
    let diagram =
        std::fs::read_to_string(repository_file("docs/architecture.svg")).expect("the diagram is readable");
    for package in packages() {
        assert!(readme.contains(&format!("| `crates/{package}` |")), "README.md has no row for {package}");
        assert!(diagram.contains(&format!(">{package}<")), "docs/architecture.svg does not show {package}");
    }
}
