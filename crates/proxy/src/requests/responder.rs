//! Sends final responses, and updates the counters and the log accordingly.

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

/// Closes requests with their final responses, which it also counts and logs.
pub struct Responder {
    /// Class policies, which decide whether a response counts as late.
    pub classes: Rc<ClassPolicies>,
    /// Counters to which each final response is added.
    pub metrics: Rc<Metrics>,
    /// Log that receives a line for each request that is given up, as far as
    /// [`Metrics::may_log_request`] allows.
    pub log: EventLog,
}

impl Responder {
    /// Closes a request with a backend's response. If the request is already closed, the response
    /// is dropped: another attempt of a hedged request was answered first, or the request needs no
    /// response any more.
    pub fn serve(&self, record: &mut RequestRecord, response: Response<ResponseBody>) {
        let Some(sender) = record.close() else {
            return;
        };
        let is_late = self.classes.is_late(record);
        self.metrics.count(|c| c.served += 1);
        self.metrics.count_class(record.class, |c| {
            c.served += 1;
            c.late += u32::from(is_late);
        });
        // Fails if the client has disconnected in the meantime.
        let _ = sender.send(FinalResponse::Served(response));
    }

    /// Closes a request as rejected or failed. Returns `false` if the request is already closed,
    /// for example because the client has disconnected.
    pub fn give_up(
        &self,
        record: &mut RequestRecord,
        response: GivenUpResponse,
        reason: GiveUpReason,
    ) -> bool {
        let Some(sender) = record.close() else {
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
        let _ = sender.send(response.into());
        if self.metrics.may_log_request(reason) {
            let line = given_up_line(record, response, reason);
            self.log.log(format_args!("{line}"));
        }
        true
    }
}
