// Paths and status codes of the internal calls between entries and agents.
#pragma once

namespace hemlockdoor::batch::internal_api {

/// Agent to planner: `AgentReport`, answered by `ReportAnswer`.
inline constexpr const char* kReport = "/internal/v1/batch/report";
/// Planner to agent: `OrderBatch`, answered by `AgentReport`.
inline constexpr const char* kOrders = "/internal/v1/batch/orders";
/// Entry to planner: a `JobRecord` that the entry has stored.
inline constexpr const char* kSubmitted = "/internal/v1/batch/submitted";
/// Entry to planner: the id of a job whose cancellation the entry has stored.
inline constexpr const char* kCancelled = "/internal/v1/batch/cancelled";
/// Entry to planner: queries the state of the job `?ID`.
inline constexpr const char* kState = "/internal/v1/batch/state";
/// Entry to planner: queries the number of waiting jobs in the queue `?NAME`.
inline constexpr const char* kWaiting = "/internal/v1/batch/waiting";

/// Entry to entry: a `SnapshotSummary`, answered by a `SnapshotAnswer`.
inline constexpr const char* kConfiguration =
    "/internal/v1/batch/configuration";

/// Operator to entry, and entry to planner: an `ExplainRequest`, answered by an
/// `Explanation`. A refusal has a body with "detail" and, if a field of the
/// request is the cause, "path".
inline constexpr const char* kExplain = "/internal/v1/batch/explain";

/// Request header of a call that an entry has forwarded to the planner. It is
/// not forwarded again.
inline constexpr const char* kForwardedHeader = "Forwarded-To-Planner";

/// Request header of calls about submissions and states: the planner adds a
/// `RoomSummary` to its answer, since that of the entry is no longer recent.
inline constexpr const char* kWantsRoomHeader = "Wants-Room-Summary";

/// HTTP status of an entry that is not the planner. The body is the planner's
/// endpoint, or empty while it is unknown.
inline constexpr int kNotPlanner = 421;

}  // namespace hemlockdoor::batch::internal_api
