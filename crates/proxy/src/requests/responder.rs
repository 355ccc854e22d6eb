//! Sends final responses, with the counts and log lines that belong to them.

use super::class_policies::ClassPolicies;
use super::registry::RequestRecord;
use super::request::FinalResponse;
use super::request_log::{given_up_line, GivenUpResponse};
use crate::event_log::EventLog;
use crate::metrics::Metrics;
use crate::upstream::response::ResponseBody;
use balancer::GiveUpReason;
use hyper::Response;
use std::rc::Rc;

/// Sends final responses.
pub struct Responder {
    /// Decides which responses count as late.
    pub classes: Rc<ClassPolicies>,
    /// Counts the responses.
    pub metrics: Rc<Metrics>,
    /// Receives a line on each request that is given up, within the limits of [`Metrics`].
    pub log: EventLog,
}

impl Responder {
    /// Closes a request with a backend's response. Where it is closed already this is the response to
    /// a hedged attempt, and is dropped.
    pub fn serve(&self, record: &mut RequestRecord, response: Response<ResponseBody>) {
        let Some(client) = record.close() else {
            return;
        };
        let is_late = self.classes.is_late(record);
        self.metrics.count(|c| c.served += 1);
        self.metrics.count_class(record.class, |c| {
            c.served += 1;
            c.late += u32::from(is_late);
        });
        // Fails if the client has disconnected in the meantime.
        let _ = client.send(FinalResponse::Served(response));
    }

    /// Closes a request as rejected or failed. Returns `false` if it is closed already, as after the
    /// client has disconnected.
    pub fn give_up(
        &self,
        record: &mut RequestRecord,
        response: GivenUpResponse,
        reason: GiveUpReason,
    ) -> bool {
        let Some(client) = record.close() else {
            return false;
        };
        self.metrics.count_class(record.class, |c| {
            *c.given_up.entry(reason).or_default() += 1;
        });
        self.metrics.count(|c| match response {
            GivenUpResponse::Rejected { .. } => c.rejected += 1,
            GivenUpResponse::Failed => c.failed += 1,
        });
        // Fails if the client has disconnected in the meantime.
        let _ = client.send(response.into());
        if self.metrics.may_log_request(reason) {
            let line = given_up_line(record, response, reason);
            self.log.log(format_args!("{line}"));
        }
        true
    }
}
