//! The commands that operators send and the replies to them, as they appear on the wire.

use crate::http1::error::MessageError;
use hyper::StatusCode;
use std::fmt;

/// Path of the process's health check.
const HEALTH_CHECK_PATH: &str = "/healthcheck";
/// Path that starts a drain.
const START_DRAIN_PATH: &str = "/healthcheck/fail";
/// Path that ends a drain.
const END_DRAIN_PATH: &str = "/healthcheck/ok";
/// Beginning of the paths of backends, which go on with a name and an action.
const BACKENDS_PREFIX: &str = "/backends/";
/// Action that starts a backend's maintenance.
const START_MAINTENANCE_ACTION: &str = "maint";
/// Action that ends a backend's maintenance.
const END_MAINTENANCE_ACTION: &str = "ready";

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand<'a> {
    /// Whether this process can serve.
    CheckHealth,
    /// Drain the node.
    StartDrain,
    /// End the node's drain.
    EndDrain,
    /// Send no new requests to the backend of this name.
    StartMaintenance(&'a str),
    /// Put the backend of this name back into use.
    EndMaintenance(&'a str),
}

impl<'a> AdminCommand<'a> {
    /// The command that a request's method and path stand for.
    ///
    /// # Errors
    ///
    /// Returns the reply to a request that stands for none.
    pub fn parse(method: &str, path: &'a str) -> Result<Self, AdminReply> {
        let (command, expected_method) = Self::from_path(path).ok_or(AdminReply::UnknownCommand)?;
        if method == expected_method {
            Ok(command)
        } else {
            Err(AdminReply::MethodNotAllowed)
        }
    }

    /// The command of a path, and the method that goes with it.
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

/// The reply to an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminReply {
    /// The process can serve.
    Ready,
    /// The process can serve, and the node is drained.
    ReadyDraining,
    /// No endpoint list has named an active endpoint yet.
    NoEndpointList,
    /// The process is shutting down.
    ShuttingDown,
    /// The node is drained.
    DrainStarted,
    /// The node is not drained any more.
    DrainEnded,
    /// The drain can be neither started nor ended: the process is shutting down.
    DrainRefused,
    /// The backend gets no new requests.
    MaintenanceStarted,
    /// The backend is in use.
    MaintenanceEnded,
    /// No list names the backend.
    UnknownBackend,
    /// The change could not be stored, so that nothing has changed.
    NotStored,
    /// The path exists, with another method.
    MethodNotAllowed,
    /// There is no such path.
    UnknownCommand,
    /// The request is not valid HTTP.
    MalformedRequest(MessageError),
}

impl AdminReply {
    /// Status of the response.
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

    /// The response on the wire, after which the connection ends.
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
