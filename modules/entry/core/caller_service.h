// Requests of callers, and of other entries on their behalf.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "modules/core/core.h"
#include "modules/entry/core/entry_context.h"
#include "modules/entry/core/record_service.h"

namespace hemlockdoor::entry {

/// Answers the caller API. Every request is answered exactly once.
class CallerService {
 public:
  explicit CallerService(EntryContext& shared) : context(shared) {}

  void OnSubmit(const SubmitJob& event);
  void OnQuery(const QueryJob& event);
  void OnList(const ListJobs& event);
  void OnCancel(const CancelJob& event);
  void OnClientDisconnected(const ClientDisconnected& event);
  void OnHandedOver(const JobHandedOver& event);

  /// Answers all requests that wait for a job that has ended.
  void AnswerWaiters(Job& job);
  /// Answers all requests that wait for a job with `response`, for example when
  /// this entry stops and the job stays in the store.
  void AnswerWaiters(Job& job, const wire::HttpResponse& response);
  /// Answers the requests that wait for a job and whose wait time is over.
  void AnswerDueWaiters(const core::JobId& id);
  /// Answers all waiting requests whose wait time is over.
  void OnTick();

 private:
  /// A query that asks one peer after another for a job that this entry does
  /// not hold.
  struct Search {
    QueryJob query;
    std::size_t next_peer = 0;
  };

  /// Answers a submission that cannot be accepted and returns true. Otherwise
  /// returns false.
  bool RefuseSubmission(const SubmitJob& event);
  void AddWaiter(Job& job, const SubmitJob& event);
  void JoinJob(Job& job, const SubmitJob& event);
  core::JobId NewJobId(const SubmitJob& event);
  void CancelFollowed(Job& job);
  void AcknowledgeHeld(const core::JobId& id);
  void AcknowledgeFetched(const model::ResultNotice& notice,
                          const std::string& endpoint);
  void AnswerEnd(const QueryJob& query, const model::ResultNotice& notice);
  void AnswerQuery(const Job& job, const QueryJob& query);
  void SearchAgents(const QueryJob& query);
  void SearchStore(const QueryJob& query);
  void SearchPeers(const std::shared_ptr<Search>& search);
  void CancelThroughPeers(const CancelJob& event, std::size_t next_peer);
  void FetchResult(const QueryJob& query, const std::string& endpoint);
  void AnswerNotFound(RequestId request);

  EntryContext& context;
  std::uint64_t submissions = 0;
  /// The jobs that requests wait for, by request. Finds the job when a client
  /// disconnects.
  std::map<RequestId, core::JobId> waiting;
};

/// Parses the answer to `GET /internal/v1/tasks/JOB`. Returns nothing when the
/// status or the body is not that of a task status.
std::optional<model::TaskStatus> ReadTaskStatus(
    const wire::HttpResponse& response);

}  // namespace hemlockdoor::entry
