//! Reads and checks configuration documents of operators.

use crate::policy;
use doorswitch_core::config;
use snafu::ResultExt;
use std::{fmt, fs, path};

/// Why a document could not be read or is invalid.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("cannot read {}: {source}", file.display()))]
    Read { file: path::PathBuf, source: std::io::Error },
    #[snafu(display("{}: {fault}", file.display()))]
    Parse { file: path::PathBuf, fault: String },
    #[snafu(display("{}: {problems}", file.display()))]
    Invalid { file: path::PathBuf, problems: Problems },
}

/// All problems of a document, displayed on a line each.
#[derive(Debug)]
pub struct Problems(pub Vec<config::Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n  " };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

/// Reads and checks a document. `earlier` is the document that it replaces, which restricts some changes.
pub fn load(
    file: &path::Path,
    earlier: Option<&config::Document>,
) -> Result<config::Document, Error> {
    let text = fs::read_to_string(file).context(ReadSnafu { file })?;
    parse(&text, file, earlier)
}

/// Parses and checks a document that was read from `file`.
pub fn parse(
    text: &str,
    file: &path::Path,
    earlier: Option<&config::Document>,
) -> Result<config::Document, Error> {
    let document: config::Document = serde_saphyr::from_str(text)
        .map_err(|error| Error::Parse { file: file.to_owned(), fault: error.to_string() })?;
    let mut problems = document.problems(earlier);
    problems.extend(policy::problems(&document));
    if problems.is_empty() {
        return Ok(document);
    }
    InvalidSnafu { file, problems: Problems(problems) }.fail()
}
