//! The files that the settings come from, read together: what the connections of one frontend may take is not another's to
//! give out.

use std::net::SocketAddr;

use thiserror::Error;

use super::{fleet, gearman, http, operator, streaming};
use crate::json::{self, JsonError, JsonValue, field, text};

/// Why the files cannot be used.
#[derive(Debug, Error)]
pub enum FilesError {
    /// A file cannot be read.
    #[error("{path}: {cause}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        cause: std::io::Error,
    },
    /// A file is no JSON.
    #[error("{path}: {cause}")]
    Json {
        /// The file.
        path: String,
        /// Why.
        cause: JsonError,
    },
    /// The operator's file does not fit.
    #[error(transparent)]
    Operator(#[from] operator::FileError),
    /// The console's address in the environment does not read.
    #[error("LB_CONSOLE is no address: {0}")]
    ConsoleVariable(String),
    /// The console's address in the platform's configuration does not read.
    #[error("`console` is no address: {0}")]
    ConsoleField(String),
    /// Gearman's frontend has two files.
    #[error("{0}: Gearman is set up in two files")]
    TwoGearmanFiles(String),
    /// Gearman's settings do not fit.
    #[error("{path}: {cause}")]
    Gearman {
        /// The file.
        path: String,
        /// What is wrong.
        cause: gearman::ConfigError,
    },
    /// The platform's configuration does not fit.
    #[error("{path}: {cause}")]
    Http {
        /// The file.
        path: String,
        /// What is wrong.
        cause: http::ConfigError,
    },
}

/// The files that the settings come from, by their paths.
pub struct Files {
    /// The platform's configuration.
    pub config: Option<String>,
    /// The settings of Gearman's frontend alone.
    pub gearman: Option<String>,
    /// The operator's file of all frontends.
    pub operator: Option<String>,
}

/// What the files say, a frontend each.
pub struct Configs {
    /// The platform's.
    pub http: Option<http::Config>,
    /// Gearman's.
    pub gearman: Option<gearman::Config>,
    /// The streaming frontend's.
    pub streaming: Option<streaming::Config>,
    /// The fleet's.
    pub fleet: Option<fleet::Config>,
    /// The console's address: of `$LB_CONSOLE`, of `console` in the platform's configuration, or of the operator's file, in
    /// that order.
    pub console: Option<SocketAddr>,
}

impl Files {
    /// Reads the files that there are.
    ///
    /// # Errors
    /// Where one of them cannot be read, or does not fit.
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

    /// Gearman's settings, of a file of their own or of the operator's; the deployment's settings stand in for their own.
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

    /// The file that Gearman's settings are in.
    pub fn gearman_path(&self) -> Option<&String> {
        self.gearman.as_ref().or(self.operator.as_ref())
    }
}

/// The console's address, of the environment or of the platform's configuration.
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
