// Paths of the calls between entries and agents.
#pragma once

namespace hemlockdoor::batch::internal_api {

/// Agent to planner: `AgentReport`, answered by `ReportAnswer`.
inline constexpr const char* kReport = "/internal/v1/batch/report";
/// Planner to agent: `OrderBatch`, answered by `AgentReport`.
inline constexpr const char* kOrders = "/internal/v1/batch/orders";
/// Entry to planner: a `JobRecord` that is stored.
inline constexpr const char* kSubmitted = "/internal/v1/batch/submitted";
/// Entry to planner: the id of a job whose cancellation is stored.
inline constexpr const char* kCancelled = "/internal/v1/batch/cancelled";
/// Entry to planner: a job's state by `?ID`.
inline constexpr const char* kState = "/internal/v1/batch/state";
/// Entry to planner: the length of the queue `?NAME`.
inline constexpr const char* kWaiting = "/internal/v1/batch/waiting";

/// The asked entry is not the planner; the body is the planner's endpoint, or
/// empty while it is not known.
inline constexpr int kNotPlanner = 421;

}  // namespace hemlockdoor::batch::internal_api
