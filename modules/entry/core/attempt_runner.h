// Starts jobs on agents and tracks each attempt to its end.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"

namespace hemlockdoor::entry {

/// How long after its placement an attempt may start. Agents refuse a later
/// start, so that a delayed message cannot start the job any more.
inline constexpr core::Duration kStartWindow =
    core::Duration::Milliseconds(5000);
/// Added to `kStartWindow` for each MB of payload, rounded up, since the
/// payload takes time to arrive.
inline constexpr core::Duration kStartWindowPerMegabyte =
    core::Duration::Milliseconds(1000);
/// Start window of a job with the largest payload.
inline constexpr core::Duration kMaxStartWindow =
    core::Duration::Milliseconds(13'000);
/// Number of times that a start request is sent to the same agent incarnation.
inline constexpr int kMaxSends = 3;
/// Number of failed attempts after which a repeatable job fails.
inline constexpr int kMaxAttempts = 4;
/// Number of refused starts after which a job is placed again only after a
/// delay.
inline constexpr int kMaxImmediateRetries = 3;
/// Number of refused starts after which a job without a store record ends as
/// not-run.
inline constexpr int kMaxRefusals = 12;
/// How long after the loss of its agent a non-repeatable attempt ends as
/// unknown. Within this time a restarted agent adopts its running tasks and
/// announces them.
inline constexpr core::Duration kLostAgentTimeout =
    core::Duration::Milliseconds(15000);
/// Period at which an agent is queried about an unresolved attempt, and at
/// which unanswered cancel, commit and release calls are repeated. Also the
/// delay before a job is submitted to the scheduler again within
/// `kStartupGracePeriod`.
inline constexpr core::Duration kQueryPeriod =
    core::Duration::Milliseconds(500);
/// How long after its start an entry does not refuse jobs as never runnable,
/// because workers may not have announced themselves yet.
inline constexpr core::Duration kStartupGracePeriod =
    core::Duration::Milliseconds(3000);

/// Which agent did not start an attempt, and why.
struct NeverStarted {
  core::AgentId agent;
  std::string reason;
};

/// Runs attempts: places and starts jobs, resolves lost answers, accepts
/// results, and cancels and ends jobs. A job that this entry holds ends only
/// through `End`.
class AttemptRunner {
 public:
  explicit AttemptRunner(EntryContext& shared) : context(shared) {}

  /// Submits a job to the scheduler. Refuses the job when the scheduler rejects
  /// it, and ends it when it was cancelled before.
  void Enqueue(Job& job);
  /// Runs the scheduler and carries out its decisions. Does nothing while this
  /// entry is the planning owner but may not plan.
  void Plan();
  /// Checks deadlines, repeats unanswered calls and detects lost agents.
  void OnTick();

  /// Marks attempts that the announcement lists as running as started, also
  /// when a restarted agent has adopted them.
  void OnAnnouncement(const model::Announcement& announcement);
  /// Handles the delivery of a result and answers the request: 200 when the
  /// sender may drop the result, 202 when it must keep it until it is fetched,
  /// a problem when it must keep or redeliver it.
  void OnResult(const ResultDelivered& event);
  /// Applies the end of one member's attempt to the job. Returns false when the
  /// notice does not belong to the job's present attempt.
  bool ApplyNotice(Job& job,
                   const model::ResultNotice& notice,
                   const SharedBody& body);
  /// Cancels a job that this entry holds, whatever its phase. Does nothing when
  /// the job has ended.
  void Cancel(Job& job);

  /// Handles an attempt that has not started and cannot start any more: returns
  /// the job to the queue, or ends it when its deadline has passed, it is
  /// cancelled or it has used up its retries.
  void OnNeverStarted(Job& job, const NeverStarted& cause);
  /// Marks the present attempt as running.
  void OnStarted(Job& job);
  /// Starts to query the agent about an attempt whose state is not known.
  void Resolve(Job& job);
  /// Returns true when attempt `number` is still the job's present attempt and
  /// the job is in `phase`. `job` may be null.
  static bool IsCurrent(const Job* job,
                        core::AttemptNumber number,
                        JobPhase phase);
  /// Ends a job. A job with a store record becomes final only when its end has
  /// been recorded.
  void End(Job& job, model::JobOutcome outcome, std::string error);
  /// Ends a job as not-run with the status and text of `problem`.
  void Refuse(Job& job, const Problem& problem);
  /// Makes the end of a job final: answers its callers and acknowledges the
  /// result to its agents.
  void Finalize(Job& job);
  /// Tells the job's agents that they may drop its result. Does nothing while
  /// the only copy of the result is on an agent.
  void Acknowledge(Job& job);
  /// Removes an ended job and acknowledges its result to its agents.
  void Forget(const core::JobId& id);
  /// Resumes a job's present attempt that was found in a store record or on
  /// agents, and queries its agent unless that announces the task.
  void Adopt(Job& job);
  /// Removes a job from the scheduler, whether queued or placed. `fault` is the
  /// agent that caused the outcome, if any.
  void RemoveFromScheduler(Job& job,
                           model::JobOutcome outcome,
                           const std::optional<core::AgentId>& fault);
  /// Returns the JSON body, without the payload, of a `run` or `reserve`
  /// request for one member.
  nlohmann::json StartDocument(const Job& job, int member) const;
  /// Returns the JSON text of a reference to one member of the present attempt.
  static std::string ReferenceText(const Job& job, const AttemptMember& member);
  /// Discards the present attempt and queues the job again after `delay`.
  void Requeue(Job& job, core::Duration delay);
  /// Continues the start of a placed job whose payload is in memory.
  void ContinueStart(Job& job);
  /// Sends `run` to the agent of a job that is not a gang.
  void SendRun(const core::JobId& id);

 private:
  void Start(const decide::StartDecision& decision);
  bool BuildAttempt(Job& job, const decide::StartDecision& decision);
  void Preempt(const decide::PreemptDecision& decision);
  void OnRunAnswer(const core::JobId& id,
                   core::AttemptNumber number,
                   const core::Expected<wire::HttpResponse>& answer);
  void OnRunInDoubt(Job& job);
  void OnRefusal(Job& job, const model::GrantReply& reply);
  void QueryAttempt(Job& job);
  void OnGangStateAnswer(Job& job, const wire::HttpResponse& response);
  void QueryMembers(Job& job);
  void OnTaskStatusAnswer(Job& job, const wire::HttpResponse& response);
  void SendTombstone(Job& job);
  void OnAgentLost(Job& job);
  void SendCancels(Job& job);
  void OnCancelAnswer(Job& job,
                      std::size_t member,
                      const wire::HttpResponse& response);
  void OnMemberFailed(Job& job,
                      const model::ResultNotice& notice,
                      const std::string& text);
  void OnMemberCancelled(Job& job,
                         const model::ResultNotice& notice,
                         const std::string& text);
  void RetryAfterFailure(Job& job, const std::optional<core::AgentId>& fault);
  void CheckDeadline(Job& job);
  void TickJob(Job& job);

  EntryContext& context;
};

/// Reads a GrantReply from a response with any status. Returns nothing when the
/// body is not a GrantReply.
std::optional<model::GrantReply> ReadGrantReply(
    const wire::HttpResponse& response);
/// Returns true for a status that a server sends only when it has rejected a
/// request without acting on it.
bool IsRefusedBeforeProcessing(int status);

}  // namespace hemlockdoor::entry
