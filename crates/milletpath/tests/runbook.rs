//! The runbook (`docs/oncall.md`) has an entry for each log line of level WARN and ERROR that a program in production
//! writes, and no entries for other lines. Both sets are read from the text of the sources and of the page.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Packages whose log lines are written only in scenarios and scale tests.
const TEST_TOOLS: [&str; 4] = ["emulator", "history-checker", "scale-test", "simulator"];

/// The questions that each entry answers, in this order.
const QUESTIONS: [&str; 5] = ["Means", "By itself", "Look at", "Do", "Can wait"];

/// The levels whose lines need an entry: the start of the macro call, and the level as the page states it.
const LEVELS: [(&str, &str); 2] = [("warn!(", "WARN"), ("error!(", "ERROR")];

/// The text of a log line, with `{}` for each value. A text that consists of values only would match any line, so the
/// name of the source file is appended to it.
type Message = String;

/// The levels at which a log line is written, and the source files that write it.
#[derive(Debug, Default)]
struct LogLine {
    levels: BTreeSet<&'static str>,
    files: BTreeSet<String>,
}

/// An entry of the runbook.
#[derive(Debug)]
struct Entry {
    heading: String,
    /// The lines below the heading.
    body: Vec<String>,
}

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All Rust files below a folder, except the test modules `tests.rs`.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the source folder is readable") {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|e| e == "rs")
            && path.file_stem().is_some_and(|s| s != "tests")
        {
            found.push(path);
        }
    }
    found
}

/// The text of a source file without comment lines.
fn without_comments(text: &str) -> String {
    let lines: Vec<_> = text.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
    lines.join("\n")
}

/// The lines that programs in production write at one of the [`LEVELS`].
fn log_lines() -> BTreeMap<Message, LogLine> {
    let mut lines: BTreeMap<Message, LogLine> = BTreeMap::new();
    for package in std::fs::read_dir(workspace().join("crates")).expect("the crates folder is readable") {
        let package = package.expect("a readable entry").path();
        let name = file_name(&package);
        if TEST_TOOLS.contains(&name.as_str()) || !package.join("Cargo.toml").is_file() {
            continue;
        }
        for file in sources(&package.join("src")) {
            let text =
                without_comments(&std::fs::read_to_string(&file).expect("the source file is readable"));
            for (macro_name, level) in LEVELS {
                for message in messages(&text, macro_name) {
                    let line = lines.entry(unambiguous_message(message, &file_name(&file))).or_default();
                    line.levels.insert(level);
                    line.files.insert(file.display().to_string());
                }
            }
        }
    }
    lines
}

fn file_name(path: &Path) -> String {
    path.file_name().expect("a file name").to_string_lossy().into_owned()
}

/// The text of a log line, with the name of the source file if the text contains no word.
fn unambiguous_message(text: String, file_name: &str) -> Message {
    if text.contains(char::is_alphabetic) { text } else { format!("{text} in {file_name}") }
}

/// The messages of all calls of a macro in a source text.
fn messages(text: &str, macro_name: &str) -> Vec<Message> {
    let is_other_macro = |before: &str| before.ends_with(|c: char| c.is_alphanumeric() || c == '_');
    let calls = text.match_indices(macro_name).filter(|(at, _)| !is_other_macro(&text[..*at]));
    calls.map(|(at, _)| message_of_call(&text[at + macro_name.len()..])).collect()
}

/// The message of one macro call: the last string literal among its arguments, except those in nested brackets.
fn message_of_call(arguments: &str) -> Message {
    let mut characters = arguments.chars();
    let (mut depth, mut message) = (0_u32, None);
    while let Some(character) = characters.next() {
        match character {
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' if depth > 0 => depth -= 1,
            ')' => break,
            '"' => {
                let literal = string_literal(&mut characters);
                message = if depth == 0 { Some(literal) } else { message };
            }
            _ => {}
        }
    }
    let message = message.unwrap_or_else(|| panic!("a log macro call without a message: {:.200}", arguments));
    with_empty_placeholders(&message)
}

/// Reads the rest of a string literal after its opening quote.
fn string_literal(characters: &mut std::str::Chars<'_>) -> String {
    let mut literal = String::new();
    while let Some(character) = characters.next() {
        match character {
            '"' => break,
            '\\' => match characters.next() {
                // A backslash at the end of a line skips the line break and the indentation of the next line.
                Some('\n') => {
                    let rest = characters.as_str().trim_start();
                    *characters = rest.chars();
                }
                Some(escaped) => literal.push(escaped),
                None => break,
            },
            _ => literal.push(character),
        }
    }
    literal
}

/// The text with each placeholder, such as `{name}` or `{name:?}`, replaced by `{}`.
fn with_empty_placeholders(text: &str) -> String {
    let mut result = String::new();
    let mut inside = false;
    for character in text.chars() {
        match character {
            '{' => result.push_str("{}"),
            '}' => {}
            _ if inside => {}
            _ => result.push(character),
        }
        inside = (inside || character == '{') && character != '}';
    }
    result
}

fn runbook() -> String {
    std::fs::read_to_string(workspace().join("docs/oncall.md")).expect("the runbook is readable")
}

/// The entries of a runbook. Each begins with a third-level heading, which is the text of a log line in backquotes.
fn entries(page: &str) -> BTreeMap<Message, Entry> {
    let mut entries = BTreeMap::new();
    for section in page.split("\n### ").skip(1) {
        let mut lines = section.lines();
        let heading = lines.next().expect("a section has a heading").to_owned();
        let text = heading.strip_prefix('`').and_then(|heading| heading.strip_suffix('`'));
        let text = text
            .unwrap_or_else(|| panic!("{heading}: the heading of an entry must be a log line in backquotes"));
        let body: Vec<_> = lines.take_while(|line| !line.starts_with('#')).map(str::to_owned).collect();
        for message in messages_of_entry(&with_empty_placeholders(text), &body) {
            let duplicate = entries.insert(message, Entry { heading: heading.clone(), body: body.clone() });
            assert!(duplicate.is_none(), "{heading}: the runbook has two entries for this log line");
        }
    }
    entries
}

/// The log lines that an entry describes: one, or if its text consists of values only, one for each source file that
/// the entry names.
fn messages_of_entry(text: &str, body: &[String]) -> Vec<Message> {
    if text.contains(char::is_alphabetic) {
        return vec![text.to_owned()];
    }
    let quoted = body.iter().flat_map(|line| line.split('`'));
    let files = quoted.filter(|word| word.ends_with(".rs") && !word.contains('/'));
    let messages: Vec<_> = files.map(|file| unambiguous_message(text.to_owned(), file)).collect();
    assert!(
        !messages.is_empty(),
        "{text}: an entry whose text consists of values only must name the source files that write it"
    );
    messages
}

/// The log lines without an entry in the runbook.
fn lines_without_entry<'l>(
    lines: &'l BTreeMap<Message, LogLine>,
    entries: &BTreeMap<Message, Entry>,
) -> Vec<(&'l Message, &'l LogLine)> {
    lines.iter().filter(|(message, _)| !entries.contains_key(*message)).collect()
}

#[test]
fn each_line_of_level_warn_or_error_has_an_entry() {
    let lines = log_lines();
    let lines_without_entry = lines_without_entry(&lines, &entries(&runbook()));
    assert!(
        lines_without_entry.is_empty(),
        "docs/oncall.md has no entry for these log lines: {lines_without_entry:#?}"
    );
}

#[test]
fn each_entry_matches_a_log_line_in_the_sources() {
    let lines = log_lines();
    let unused: Vec<_> =
        entries(&runbook()).into_iter().filter(|(message, _)| !lines.contains_key(message)).collect();
    let headings: Vec<_> = unused.iter().map(|(_, entry)| &entry.heading).collect();
    assert!(unused.is_empty(), "docs/oncall.md has entries for log lines that do not exist: {headings:#?}");
}

#[test]
fn each_entry_states_the_level_and_answers_all_questions() {
    let lines = log_lines();
    for (message, entry) in entries(&runbook()) {
        let heading = &entry.heading;
        let levels: Vec<_> = lines.get(&message).map(|line| line.levels.iter().collect()).unwrap_or_default();
        let first = entry.body.first().map(String::as_str).unwrap_or_default();
        for level in levels {
            assert!(
                first.starts_with(*level),
                "{heading}: the first line of the entry must begin with {level}"
            );
        }
        let answers = entry.body.iter().filter_map(|line| line.strip_prefix("- **")?.split_once("**: "));
        let (questions, answers): (Vec<_>, Vec<_>) = answers.unzip();
        assert_eq!(questions, QUESTIONS, "{heading}");
        assert!(answers.iter().all(|answer| !answer.trim().is_empty()), "{heading}: an answer is empty");
    }
}

#[test]
fn a_log_line_whose_entry_is_removed_is_reported() {
    let (lines, mut entries) = (log_lines(), entries(&runbook()));
    let removed = lines.keys().next().expect("a log line");
    entries.remove(removed);
    let lines_without_entry: Vec<_> =
        lines_without_entry(&lines, &entries).into_iter().map(|(message, _)| message).collect();
    assert_eq!(lines_without_entry, [removed]);
}

#[test]
fn messages_are_found_among_fields_and_over_several_lines() {
    let source =
        "tracing::warn!(\n    a = list.join(\", \"),\n    ?b,\n    \"one {b}, \\\n     two: {c:?}\"\n);";
    assert_eq!(messages(source, "warn!("), ["one {}, two: {}"]);
    assert_eq!(messages("return warn!(%e, \"a \\\"quoted\\\" word\")", "warn!("), ["a \"quoted\" word"]);
    assert!(messages("my_warn!(\"no log line\")", "warn!(").is_empty());
    assert_eq!(without_comments("// warn!(\"in a comment\")\nwarn!(\"b\")"), "warn!(\"b\")");
}

/// No source writes at one of the [`LEVELS`] by other means than their macros, so that this test finds every line.
#[test]
fn no_warning_or_error_is_logged_by_another_macro() {
    for package in std::fs::read_dir(workspace().join("crates")).expect("the crates folder is readable") {
        let folder = package.expect("a readable entry").path().join("src");
        if !folder.is_dir() {
            continue;
        }
        for file in sources(&folder) {
            let text =
                without_comments(&std::fs::read_to_string(&file).expect("the source file is readable"));
            let name = file.display();
            assert!(!text.contains("Level::WARN") && !text.contains("Level::ERROR"), "{name}");
            assert!(!text.contains("event!("), "{name}: use warn! or error!");
        }
    }
}
