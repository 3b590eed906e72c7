//! Reads the settings file and detects changes to it.

use std::path::{Path, PathBuf};
use std::{fs, io};

use mimosaplatform::settings::{self, DEFAULT_PATH, PATH_VARIABLE};
use mimosashift::deployment::Node;

/// The settings file and its last contents.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

/// Reason for which no usable settings could be loaded.
#[derive(Debug)]
pub enum Error {
    /// The file cannot be read.
    Read(PathBuf, io::Error),
    /// The file is invalid.
    Invalid(settings::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Read(path, error) => write!(f, "settings: {}: {error}", path.display()),
            Self::Invalid(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl SettingsFile {
    /// Opens the file given by the flag, else by the environment, else at the
    /// default path.
    pub fn open(flag: Option<PathBuf>) -> Result<(Self, Node), Error> {
        let variable = std::env::var_os(PATH_VARIABLE).map(PathBuf::from);
        let path = flag.or(variable).unwrap_or_else(|| DEFAULT_PATH.into());
        let text = read(&path)?;
        let node = settings::parse(&text).map_err(Error::Invalid)?;
        Ok((Self { path, text }, node))
    }

    /// Reads the file again; returns `None` if it is unchanged.
    pub fn reload(&mut self) -> Option<Result<Node, Error>> {
        let text = match read(&self.path) {
            Ok(text) if text == self.text => return None,
            Ok(text) => text,
            Err(error) => return Some(Err(error)),
        };
        self.text = text;
        Some(settings::parse(&self.text).map_err(Error::Invalid))
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))
}
