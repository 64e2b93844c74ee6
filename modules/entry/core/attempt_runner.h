// Starts jobs on agents and follows each attempt to its end.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"

namespace hemlockdoor::entry {

/// Time an agent has to start what it was told to start. After it, a delayed
/// message can no longer start the work.
inline constexpr core::Duration kStartWindow =
    core::Duration::Milliseconds(5000);
/// Added for each started MB of payload, which takes time to arrive.
inline constexpr core::Duration kStartWindowPerMegabyte =
    core::Duration::Milliseconds(1000);
/// The start window of the largest payload.
inline constexpr core::Duration kLongestStartWindow =
    core::Duration::Milliseconds(13'000);
/// Times that one start request is sent to the same incarnation.
inline constexpr int kMaxSends = 3;
/// Attempts of one repeatable job that may fail before the job fails.
inline constexpr int kMaxAttempts = 4;
/// Refusals of one job after which it goes on with delays only.
inline constexpr int kQuickRefusals = 3;
/// Refusals of one job without a record after which it ends as not-run.
inline constexpr int kMaxRefusals = 12;
/// How long the end of non-repeatable work is sought after its agent vanished:
/// a restarted agent adopts running tasks and announces them within it.
inline constexpr core::Duration kUnknownAfter =
    core::Duration::Milliseconds(15000);
/// Period of questions to an agent about an attempt, and of repeated cancels.
inline constexpr core::Duration kAskPeriod = core::Duration::Milliseconds(500);
/// After a start, jobs are not refused as never runnable: the workers have yet
/// to announce themselves.
inline constexpr core::Duration kSettleTime =
    core::Duration::Milliseconds(3000);

/// Why an attempt ended without having started.
struct NeverStarted {
  core::AgentId agent;
  std::string reason;
};

/// Runs attempts: places, starts, resolves lost answers, takes results,
/// cancels, and ends jobs. A job ends only through `End`.
class AttemptRunner {
 public:
  explicit AttemptRunner(EntryContext& shared) : context(shared) {}

  /// Gives a job to the scheduler; it may end as refused.
  void Enqueue(Job& job);
  /// Runs the scheduler and starts what it decides.
  void Plan();
  /// Looks at times: deadlines, repeated questions, lost agents.
  void OnTick();

  void OnAnnouncement(const model::Announcement& announcement);
  /// A result arrived from an agent; answers the request.
  void OnResult(const ResultDelivered& event);
  /// Takes the end of one member's attempt; false when it does not belong to
  /// the job's present attempt.
  bool TakeNotice(Job& job,
                  const model::ResultNotice& notice,
                  const SharedBody& body);
  /// Cancels a job that this entry holds, at whatever step it is.
  void Cancel(Job& job);

  /// The attempt was never started and never will be: back to the queue.
  void OnNeverStarted(Job& job, const NeverStarted& cause);
  /// The attempt started.
  void OnStarted(Job& job);
  /// It is not known whether the attempt started: asks until it is.
  void Resolve(Job& job);
  /// Tells whether attempt `number` is still the job's present one, in `phase`.
  static bool IsCurrent(const Job* job,
                        core::AttemptNumber number,
                        JobPhase phase);
  /// Ends a job. A recorded job ends when the store has its end.
  void End(Job& job, model::JobOutcome outcome, std::string error);
  /// Ends a job as refused before it ran.
  void Refuse(Job& job, const Problem& problem);
  /// Ends a job whose end is final elsewhere too: tells callers and agents.
  void Finalize(Job& job);
  /// Tells the agents that they may drop the job's result.
  void Acknowledge(Job& job);
  /// Drops an ended job; its result is acknowledged to its agents.
  void Forget(const core::JobId& id);
  /// Takes an attempt found in a record or on agents into this entry.
  void Adopt(Job& job);
  /// Takes a job out of the scheduler, whatever its place there.
  void RemoveFromScheduler(Job& job,
                           model::JobOutcome outcome,
                           const std::optional<core::AgentId>& fault);
  /// What the document of a start request is for one member.
  nlohmann::json StartDocument(const Job& job, int member) const;
  /// A reference to the job's present attempt on one member.
  static std::string ReferenceText(const Job& job, const AttemptMember& member);
  /// Drops the old member state and returns the job to the queue at once.
  void Requeue(Job& job, core::Duration delay);
  /// Goes on with a placed job whose payload is there.
  void ContinueStart(Job& job);
  /// Sends `run` for a single task.
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
  void Ask(Job& job);
  void OnGangAnswer(Job& job, const wire::HttpResponse& response);
  void AskMembers(Job& job);
  void OnTaskAnswer(Job& job, const wire::HttpResponse& response);
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
  void RetryElsewhere(Job& job, const std::optional<core::AgentId>& fault);
  void CheckDeadline(Job& job);
  void TickJob(Job& job);

  EntryContext& context;
};

/// Reads a GrantReply from a response with any status; nothing when the
/// response is not one.
std::optional<model::GrantReply> ReadGrantReply(
    const wire::HttpResponse& response);
/// True for a status that a server gives before it acts on a request.
bool IsRefusedUnseen(int status);

}  // namespace hemlockdoor::entry
