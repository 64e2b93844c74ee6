#include "modules/entry/core/entry_context.h"

#include <utility>

namespace hemlockdoor::entry {

namespace {

/// Removes the continuation of `call` from `pending` and runs it. Does nothing
/// when `pending` has no such call.
template <typename Pending, typename Outcome>
void RunContinuation(Pending& pending, CallId call, const Outcome& outcome) {
  const auto place = pending.find(call);
  if (place == pending.end()) {
    return;
  }
  const auto done = std::move(place->second);
  pending.erase(place);
  done(outcome);
}

}  // namespace

void EntryContext::Answer(RequestId request, wire::HttpResponse response) {
  this->commands.emplace_back(
      ::hemlockdoor::entry::Answer{request, std::move(response)});
}

void EntryContext::AnswerProblem(RequestId request, const Problem& problem) {
  this->Answer(request, MakeProblemResponse(problem));
}

void EntryContext::Call(const CallTarget& target,
                        std::string body,
                        OnResponse done) {
  const CallId call = this->NextCall();
  this->responses.emplace(call, std::move(done));
  this->commands.emplace_back(CallPeer{call, target.endpoint, target.method,
                                       target.target, std::move(body),
                                       kShortCallTimeout});
}

void EntryContext::SendWork(const CallTarget& target,
                            nlohmann::json document,
                            SharedBody payload,
                            OnResponse done,
                            std::string payload_field) {
  const CallId call = this->NextCall();
  constexpr std::int64_t kMegabyte = std::int64_t{1024} * 1024;
  const std::int64_t megabytes =
      payload ? static_cast<std::int64_t>(payload->size()) / kMegabyte : 0;
  const core::Duration timeout =
      kWorkCallTimeout + kWorkCallTimePerMegabyte * megabytes;
  this->responses.emplace(call, std::move(done));
  this->commands.emplace_back(::hemlockdoor::entry::SendWork{
      call, target.endpoint, target.target, std::move(document),
      std::move(payload), std::move(payload_field), timeout});
}

void EntryContext::Read(const std::string& key, OnKey done) {
  const CallId call = this->NextCall();
  this->keys.emplace(call, std::move(done));
  this->commands.emplace_back(ReadKey{call, key});
}

void EntryContext::List(const std::string& prefix, OnPrefix done) {
  const CallId call = this->NextCall();
  this->prefixes.emplace(call, std::move(done));
  this->commands.emplace_back(ReadPrefix{call, prefix});
}

void EntryContext::Commit(store::Transaction transaction, OnTransaction done) {
  const CallId call = this->NextCall();
  this->transactions.emplace(call, std::move(done));
  this->commands.emplace_back(CommitTransaction{call, std::move(transaction)});
}

void EntryContext::Grant(core::Duration ttl, OnLease done) {
  const CallId call = this->NextCall();
  this->leases.emplace(call, std::move(done));
  this->commands.emplace_back(GrantLease{call, ttl});
}

void EntryContext::Renew(store::LeaseId lease, OnLeaseRenewed done) {
  const CallId call = this->NextCall();
  this->renewals.emplace(call, std::move(done));
  this->commands.emplace_back(RenewLease{call, lease});
}

void EntryContext::WriteCatalogue(const EditCatalogue& edit) {
  this->commands.emplace_back(WriteCatalogueEdit{edit});
}

void EntryContext::ReportRevision(core::CatalogueRevision revision) {
  this->commands.emplace_back(NoteRevision{revision});
}

void EntryContext::RequestStop() {
  this->commands.emplace_back(Stop{});
}

void EntryContext::Log(observe::LogLevel level,
                       std::string message,
                       const Job* job) {
  observe::LogContext context;
  if (job != nullptr) {
    context.job = job->description.id;
    context.organisation = job->description.organisation;
  }
  this->commands.emplace_back(
      WriteLog{level, std::move(message), std::move(context)});
}

void EntryContext::Resume(const CallEnded& event) {
  RunContinuation(this->responses, event.call, event.response);
}

void EntryContext::Resume(const KeyRead& event) {
  RunContinuation(this->keys, event.call, event.item);
}

void EntryContext::Resume(const PrefixRead& event) {
  RunContinuation(this->prefixes, event.call, event.listing);
}

void EntryContext::Resume(const TransactionEnded& event) {
  RunContinuation(this->transactions, event.call, event.outcome);
}

void EntryContext::Resume(const LeaseGranted& event) {
  RunContinuation(this->leases, event.call, event.lease);
}

void EntryContext::Resume(const LeaseRenewed& event) {
  RunContinuation(this->renewals, event.call, event.time_left);
}

Commands EntryContext::TakeCommands() {
  return std::exchange(this->commands, {});
}

CallId EntryContext::NextCall() {
  return CallId(++this->last_call);
}

}  // namespace hemlockdoor::entry
