//! The files that the settings are read from. They are read together because the frontends share one limit on
//! file descriptors: descriptors reserved by one frontend are not available to another.

use std::net::SocketAddr;

use thiserror::Error;

use super::{fleet, gearman, http, operator, streaming};
use crate::json::{self, JsonError, JsonValue, field, text};

/// The reason why the files are rejected.
#[derive(Debug, Error)]
pub enum FilesError {
    /// A file cannot be read.
    #[error("{path}: {cause}")]
    Read {
        /// The path of the file.
        path: String,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// A file is not valid JSON.
    #[error("{path}: {cause}")]
    Json {
        /// The path of the file.
        path: String,
        /// The syntax error.
        cause: JsonError,
    },
    /// The operator's file is invalid.
    #[error(transparent)]
    Operator(#[from] operator::FileError),
    /// `LB_CONSOLE` in the environment is not a valid address.
    #[error("LB_CONSOLE is not a socket address: {0}")]
    ConsoleVariable(String),
    /// `console` in the platform's configuration is not a valid address.
    #[error("`console` is not a socket address: {0}")]
    ConsoleField(String),
    /// The Gearman frontend is configured in two files.
    #[error("{0}: Gearman is set up in two files")]
    TwoGearmanFiles(String),
    /// The settings of the Gearman frontend are invalid.
    #[error("{path}: {cause}")]
    Gearman {
        /// The path of the file.
        path: String,
        /// The error found.
        cause: gearman::ConfigError,
    },
    /// The platform's configuration is invalid.
    #[error("{path}: {cause}")]
    Http {
        /// The path of the file.
        path: String,
        /// The error found.
        cause: http::ConfigError,
    },
}

/// Paths of the files that the settings are read from.
pub struct Files {
    /// The platform's configuration.
    pub config: Option<String>,
    /// The file with the settings of the Gearman frontend alone.
    pub gearman: Option<String>,
    /// The operator's file, which may configure all frontends.
    pub operator: Option<String>,
}

/// The configurations read from the files.
pub struct Configs {
    /// The HTTP frontend's configuration.
    pub http: Option<http::Config>,
    /// The Gearman frontend's configuration.
    pub gearman: Option<gearman::Config>,
    /// The streaming frontend's configuration.
    pub streaming: Option<streaming::Config>,
    /// The fleet's configuration.
    pub fleet: Option<fleet::Config>,
    /// The console's address, taken from the first of these that is set: `$LB_CONSOLE`, `console` in the
    /// platform's configuration, the operator's file.
    pub console: Option<SocketAddr>,
}

impl Files {
    /// Reads all files that are given.
    ///
    /// # Errors
    /// If one of them cannot be read or is invalid.
    pub fn read(&self) -> Result<Configs, FilesError> {
        let config = self.config.as_deref().map(load).transpose()?;
        let operator = self.operator.as_ref().map(|path| operator::read(path.as_ref())).transpose()?;
        let console = match console_address(config.as_ref())? {
            Some(address) => Some(address),
            None => operator.as_ref().and_then(|operator| operator.console),
        };
        let (gearman_table, streaming, fleet) = operator
            .map_or((None, None, None), |operator| (operator.gearman, operator.stream, operator.fleet));
        let gearman = self.read_gearman(gearman_table, config.as_ref())?;
        let gearman_descriptors = gearman.as_ref().map_or(0, |config| config.peers);
        let streaming_descriptors = streaming.as_ref().map_or(0, streaming::StreamingFrontend::descriptors);
        let reserved = gearman_descriptors + streaming_descriptors;
        let http = config.zip(self.config.as_ref()).map(|(config, path)| {
            http::Config::read(&config, reserved)
                .map_err(|cause| FilesError::Http { path: path.clone(), cause })
        });
        Ok(Configs { http: http.transpose()?, gearman, streaming, fleet, console })
    }

    /// Reads the Gearman frontend's settings from their own file or the operator's file. Where they have no
    /// `settings` of their own, the platform's apply.
    fn read_gearman(
        &self,
        table: Option<JsonValue>,
        config: Option<&JsonValue>,
    ) -> Result<Option<gearman::Config>, FilesError> {
        let value = match (&self.gearman, table) {
            (Some(path), Some(_)) => return Err(FilesError::TwoGearmanFiles(path.clone())),
            (Some(path), None) => Some(load(path)?),
            (None, table) => table,
        };
        let Some((value, path)) = value.zip(self.gearman_path()) else { return Ok(None) };
        let settings = config.and_then(|config| field(config, "settings"));
        let config = gearman::Config::read(&value, settings);
        let config = config.map_err(|cause| FilesError::Gearman { path: path.clone(), cause })?;
        Ok(Some(config))
    }

    /// Returns the path of the file with the Gearman frontend's settings.
    pub fn gearman_path(&self) -> Option<&String> {
        self.gearman.as_ref().or(self.operator.as_ref())
    }
}

/// Returns the console's address from the environment or the platform's configuration.
fn console_address(config: Option<&JsonValue>) -> Result<Option<SocketAddr>, FilesError> {
    if let Ok(found) = std::env::var("LB_CONSOLE") {
        return found.parse().map(Some).map_err(|_| FilesError::ConsoleVariable(found));
    }
    match config.and_then(|config| text(config, "console")) {
        Some(found) => found.parse().map(Some).map_err(|_| FilesError::ConsoleField(found.to_string())),
        None => Ok(None),
    }
}

fn load(path: &str) -> Result<JsonValue, FilesError> {
    let bytes = std::fs::read(path).map_err(|cause| FilesError::Read { path: path.to_string(), cause })?;
    json::parse(&bytes).map_err(|cause| FilesError::Json { path: path.to_string(), cause })
}
