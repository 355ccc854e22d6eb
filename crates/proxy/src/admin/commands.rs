//! The HTTP format of operators' commands and of the replies to them.

use crate::http1::error::MessageError;
use hyper::StatusCode;
use std::fmt;

/// Path of the health check of the process.
const HEALTH_CHECK_PATH: &str = "/healthcheck";
/// Path of the command that starts a drain.
const START_DRAIN_PATH: &str = "/healthcheck/fail";
/// Path of the command that ends a drain.
const END_DRAIN_PATH: &str = "/healthcheck/ok";
/// Prefix of the paths of commands for a backend. The backend's name, a slash and an action follow.
const BACKENDS_PREFIX: &str = "/backends/";
/// Last segment of the path of the command that starts a backend's maintenance.
const START_MAINTENANCE_ACTION: &str = "maint";
/// Last segment of the path of the command that ends a backend's maintenance.
const END_MAINTENANCE_ACTION: &str = "ready";

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand<'a> {
    /// Report whether this process can serve.
    CheckHealth,
    /// Start a drain of the node.
    StartDrain,
    /// End the drain of the node.
    EndDrain,
    /// Start maintenance of the backend of this name: send it no new requests.
    StartMaintenance(&'a str),
    /// End maintenance of the backend of this name: put it back into use.
    EndMaintenance(&'a str),
}

impl<'a> AdminCommand<'a> {
    /// Parses the command from a request's method and path.
    ///
    /// # Errors
    ///
    /// Returns the reply to send instead: [`AdminReply::UnknownCommand`] for an unknown path, or
    /// [`AdminReply::MethodNotAllowed`] for a method that the path does not allow.
    pub fn parse(method: &str, path: &'a str) -> Result<Self, AdminReply> {
        let (command, expected_method) = Self::from_path(path).ok_or(AdminReply::UnknownCommand)?;
        if method == expected_method {
            Ok(command)
        } else {
            Err(AdminReply::MethodNotAllowed)
        }
    }

    /// Returns the command of a path and the method that it requires, or `None` for an unknown
    /// path. A backend's name may contain slashes and may be empty.
    fn from_path(path: &'a str) -> Option<(Self, &'static str)> {
        match path {
            HEALTH_CHECK_PATH => return Some((AdminCommand::CheckHealth, "GET")),
            START_DRAIN_PATH => return Some((AdminCommand::StartDrain, "POST")),
            END_DRAIN_PATH => return Some((AdminCommand::EndDrain, "POST")),
            _ => {}
        }
        let (backend, action) = path.strip_prefix(BACKENDS_PREFIX)?.rsplit_once('/')?;
        match action {
            START_MAINTENANCE_ACTION => Some((AdminCommand::StartMaintenance(backend), "POST")),
            END_MAINTENANCE_ACTION => Some((AdminCommand::EndMaintenance(backend), "POST")),
            _ => None,
        }
    }
}

/// The reply to an operator's request. Its `Display` text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminReply {
    /// The process can serve, and the node is not drained.
    Ready,
    /// The process can serve, and the node is being drained.
    ReadyDraining,
    /// The process cannot serve, since no endpoint list has named an active endpoint yet.
    NoEndpointList,
    /// The process is shutting down: the reply to a health check.
    ShuttingDown,
    /// The drain has been started, or was in progress.
    DrainStarted,
    /// The drain has been ended, or there was none.
    DrainEnded,
    /// A drain can be neither started nor ended, since the process is shutting down.
    DrainRefused,
    /// The backend is in maintenance and receives no new requests.
    MaintenanceStarted,
    /// The backend is not in maintenance.
    MaintenanceEnded,
    /// The backend is neither listed nor in maintenance.
    UnknownBackend,
    /// The change could not be stored, so nothing has changed.
    NotStored,
    /// The path requires another method.
    MethodNotAllowed,
    /// The path is not that of a command.
    UnknownCommand,
    /// The request is not valid HTTP, or exceeds a limit.
    MalformedRequest(MessageError),
}

impl AdminReply {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            AdminReply::Ready
            | AdminReply::ReadyDraining
            | AdminReply::DrainStarted
            | AdminReply::DrainEnded
            | AdminReply::MaintenanceStarted
            | AdminReply::MaintenanceEnded => StatusCode::OK,
            AdminReply::NoEndpointList | AdminReply::ShuttingDown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            AdminReply::DrainRefused => StatusCode::CONFLICT,
            AdminReply::UnknownBackend | AdminReply::UnknownCommand => StatusCode::NOT_FOUND,
            AdminReply::NotStored => StatusCode::INTERNAL_SERVER_ERROR,
            AdminReply::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            AdminReply::MalformedRequest(error) => error.status(),
        }
    }

    /// Formats the whole HTTP response. It announces that the connection is closed.
    pub fn to_http(self) -> String {
        let text = format!("{self}\n");
        let allow = if self.status() == StatusCode::METHOD_NOT_ALLOWED {
            "Allow: GET, POST\r\n"
        } else {
            ""
        };
        format!(
            "HTTP/1.1 {}\r\nContent-Type: text/plain\r\n{allow}Content-Length: {}\r\n\
             Connection: close\r\n\r\n{text}",
            self.status(),
            text.len()
        )
    }
}

impl fmt::Display for AdminReply {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            AdminReply::Ready => "ready",
            AdminReply::ReadyDraining => "ready, draining",
            AdminReply::NoEndpointList => "no endpoint list",
            AdminReply::ShuttingDown => "shutting down",
            AdminReply::DrainStarted => "draining",
            AdminReply::DrainEnded => "serving",
            AdminReply::DrainRefused => "the process is shutting down",
            AdminReply::MaintenanceStarted => "in maintenance",
            AdminReply::MaintenanceEnded => "in use",
            AdminReply::UnknownBackend => "unknown backend",
            AdminReply::NotStored => "the change could not be stored: nothing has changed",
            AdminReply::MethodNotAllowed => "method not allowed",
            AdminReply::UnknownCommand => "unknown command",
            AdminReply::MalformedRequest(error) => return error.fmt(formatter),
        })
    }
}

#[cfg(test)]
#[path = "commands_tests.rs"]
mod tests;
