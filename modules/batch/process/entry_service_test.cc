#include "modules/batch/process/entry_service.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

#include "modules/batch/testing/fixtures.h"
#include "modules/wire/testing/wait_for.h"

namespace hemlockdoor::batch {

namespace {

using testing::MakeJob;
using testing::MakeStep;
using wire::testing::WaitFor;

constexpr core::Duration kPatience = core::Duration::Milliseconds(600);

PlannerServiceOptions Options() {
  PlannerServiceOptions options;
  options.entry = core::EntryId("entry");
  options.endpoint = "127.0.0.1:1";
  options.term = core::Duration::Seconds(5);
  return options;
}

struct Entry {
  Entry() : service(Options(), store) { this->store.DriveByTimer(); }

  void SetFaults(bool down, int lost_answers) {
    store::MemoryStoreFaults faults;
    faults.down = down;
    faults.lose_next_answers = lost_answers;
    this->store.SetFaults(faults);
  }
  SubmitResult Submit() {
    std::optional<SubmitResult> result;
    this->service.Submit(std::make_shared<const JobRecord>(
                             MakeJob("j", {MakeStep(1, {1000, 1000, 1})})),
                         core::Clock::Now() + kPatience,
                         [&result](SubmitResult outcome) { result = outcome; });
    BOOST_REQUIRE(WaitFor([&result] { return result.has_value(); }));
    return *result;
  }
  bool HoldsJob() {
    std::optional<bool> found;
    this->store.Get(
        store_keys::JobKey(core::JobId("j")),
        [&found](const auto& item) { found = item && item->has_value(); });
    BOOST_REQUIRE(WaitFor([&found] { return found.has_value(); }));
    return *found;
  }

  store::MemoryStore store;
  EntryService<store::MemoryStore> service;
};

/// Passes calls to a store that others use as well. Holds commits while
/// `holds_commits` is set, like a request that is late on the network.
class LateStore {
 public:
  explicit LateStore(store::MemoryStore& shared) : inner(shared) {}

  void Get(const std::string& key,
           store::Callback<std::optional<store::KeyValue>> done) {
    this->inner.Get(key, std::move(done));
  }
  void List(const std::string& prefix, store::Callback<store::Listing> done) {
    this->inner.List(prefix, std::move(done));
  }
  void Commit(const store::Transaction& transaction,
              store::Callback<store::TransactionResult> done) {
    if (this->holds_commits) {
      this->held = [this, transaction, done = std::move(done)] {
        this->inner.Commit(transaction, done);
      };
    } else {
      this->inner.Commit(transaction, std::move(done));
    }
  }
  void GrantLease(core::Duration ttl, store::Callback<store::LeaseId> done) {
    this->inner.GrantLease(ttl, std::move(done));
  }
  void KeepAlive(store::LeaseId lease, store::Callback<core::Duration> done) {
    this->inner.KeepAlive(lease, std::move(done));
  }
  store::WatchId Watch(
      const std::string& prefix,
      store::ModRevision from,
      store::Callback<std::vector<store::WatchEvent>> on_events) {
    return this->inner.Watch(prefix, from, std::move(on_events));
  }
  void CancelWatch(store::WatchId watch) { this->inner.CancelWatch(watch); }
  store::CallCounts Counts() const { return this->inner.Counts(); }

  bool holds_commits = false;
  std::function<void()> held;

 private:
  store::MemoryStore& inner;
};

/// Two entries at one store; neither is the planner.
struct TwoEntries {
  TwoEntries() : late(store), first(Options(), late), second(Options(), store) {
    this->store.DriveByTimer();
    this->first.Planning().Resign();
    this->second.Planning().Resign();
  }

  /// Submits or refuses a job at an entry. The result is set later.
  template <typename Service>
  std::shared_ptr<std::optional<SubmitResult>> Send(Service& service,
                                                    bool refuses) {
    auto result = std::make_shared<std::optional<SubmitResult>>();
    auto record = std::make_shared<JobRecord>(
        MakeJob("j", {MakeStep(1, {1000, 1000, 1})}));
    record->accepted_wall_ms = ++this->wall_ms;
    AdmissionDecision decision = service.Admit(*record);
    decision.reason = AdmissionReason::kTooLate;
    const core::TimePoint deadline = core::Clock::Now() + kPatience;
    const auto done = [result](SubmitResult outcome) { *result = outcome; };
    if (refuses) {
      service.Refuse(record, decision, deadline, done);
    } else {
      service.Submit(record, deadline, done);
    }
    return result;
  }
  template <typename Service>
  SubmitResult Wait(Service& service, bool refuses) {
    const auto result = this->Send(service, refuses);
    BOOST_REQUIRE(WaitFor([result] { return result->has_value(); }));
    return **result;
  }
  std::optional<JobRecord> Stored() {
    const auto items = this->store.TakeSnapshot().items;
    const auto found = items.find(store_keys::JobKey(core::JobId("j")));
    return found == items.end()
               ? std::nullopt
               : std::optional(*JobRecordFromText(found->second.value));
  }

  store::MemoryStore store;
  LateStore late;
  EntryService<LateStore> first;
  EntryService<store::MemoryStore> second;
  std::int64_t wall_ms = 1'000'000;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(EntryServiceTest)

// The store carries out the write and its answer is lost: the job will run, so
// the caller is never told that it was not accepted.
BOOST_AUTO_TEST_CASE(ALostAnswerIsNeverTakenForARefusal) {
  constexpr int kMany = 1000;
  for (const int lost : {1, 2, kMany}) {
    Entry entry;
    entry.SetFaults(false, lost);
    const SubmitResult result = entry.Submit();
    BOOST_TEST_CONTEXT("lost answers " << lost) {
      BOOST_TEST((result != SubmitResult::kNotStored));
      BOOST_TEST((result != SubmitResult::kConflict));
      entry.SetFaults(false, 0);
      BOOST_TEST(entry.HoldsJob());
      // The caller asks again with the same id.
      BOOST_TEST((entry.Submit() == SubmitResult::kAccepted));
    }
  }
}

BOOST_AUTO_TEST_CASE(ARefusedJobIsNotStoredLater) {
  Entry entry;
  entry.SetFaults(true, 0);
  BOOST_TEST((entry.Submit() == SubmitResult::kNotStored));
  entry.SetFaults(false, 0);
  BOOST_TEST(!entry.HoldsJob());
}

// The caller leaves the first entry, whose commit is late on the network, and
// is refused at the second one. The late commit must not store the job after
// that.
BOOST_AUTO_TEST_CASE(ALateRequestDoesNotStoreARefusedJob) {
  TwoEntries entries;
  entries.late.holds_commits = true;
  const auto first = entries.Send(entries.first, false);
  BOOST_TEST((entries.Wait(entries.second, true) == SubmitResult::kRejected));
  entries.late.holds_commits = false;
  entries.late.held();
  BOOST_REQUIRE(WaitFor([first] { return first->has_value(); }));
  BOOST_TEST((*first == SubmitResult::kRejected));
  BOOST_TEST(!entries.Stored().has_value());
}

// An entry does not know what other entries have stored: a job that is stored
// must never be reported as rejected, also if the answer of the store was lost.
BOOST_AUTO_TEST_CASE(AStoredJobIsNotRejected) {
  for (const int lost_answers : {0, 1000}) {
    TwoEntries entries;
    entries.store.SetFaults({false, lost_answers, core::Duration()});
    const SubmitResult first = entries.Wait(entries.first, false);
    BOOST_TEST((first == SubmitResult::kAccepted || lost_answers > 0));
    entries.store.SetFaults({});
    BOOST_TEST((entries.Wait(entries.second, true) == SubmitResult::kAccepted));
  }
}

// The retry of a rejected job keeps the time of the first request, at the entry
// that rejected it and at another one. The latter must have seen the store
// since, which it does every second.
BOOST_AUTO_TEST_CASE(ARejectedJobIsStoredByARetryAndKeepsItsAge) {
  for (const bool asks_the_other : {false, true}) {
    TwoEntries entries;
    BOOST_TEST((entries.Wait(entries.second, true) == SubmitResult::kRejected));
    const std::int64_t first_attempt_wall_ms = entries.wall_ms;
    BOOST_TEST((entries.Wait(entries.second, true) == SubmitResult::kRejected));
    if (asks_the_other) {
      entries.first.Planning().OnRevisionSeen(
          entries.store.TakeSnapshot().revision);
    }
    const SubmitResult retry = asks_the_other
                                   ? entries.Wait(entries.first, false)
                                   : entries.Wait(entries.second, false);
    BOOST_TEST((retry == SubmitResult::kAccepted));
    BOOST_REQUIRE(entries.Stored().has_value());
    BOOST_TEST(entries.Stored()->first_attempt_wall_ms ==
               first_attempt_wall_ms);
    BOOST_TEST((entries.Wait(entries.first, true) == SubmitResult::kAccepted));
  }
}

// Entries decide from the planner's summary, which comes with its answers to
// submissions and to state queries, at most once a second.
BOOST_AUTO_TEST_CASE(TheSummaryTravelsInThePlannersAnswers) {
  for (const bool asks_for_state : {false, true}) {
    store::MemoryStore store;
    store.DriveByTimer();
    std::unique_ptr<EntryService<store::MemoryStore>> planner;
    int answers_with_summary = 0;
    const auto server = wire::HttpServer::Listen(
        "127.0.0.1", 0, wire::HttpServerLimits(),
        [&](const wire::HttpRequest& request,
            const wire::HttpResponder& responder) {
          answers_with_summary +=
              request.headers.Find(internal_api::kWantsRoomHeader) ? 1 : 0;
          planner->HandleInternal(request, responder);
        });
    BOOST_REQUIRE(server.has_value());
    PlannerServiceOptions options = Options();
    options.endpoint = "127.0.0.1:" + std::to_string((*server)->Port());
    planner =
        std::make_unique<EntryService<store::MemoryStore>>(options, store);
    BOOST_REQUIRE(
        WaitFor([&] { return planner->Planning().Active() != nullptr; }));
    EntryService<store::MemoryStore> entry(Options(), store);
    BOOST_REQUIRE(
        WaitFor([&] { return !entry.Planning().PlannerEndpoint().empty(); }));

    JobRecord record = MakeJob("j", {MakeStep(1, {1000, 1000, 1})});
    planner->Planning().Active()->AddJob(record, core::Clock::Now());
    const auto ask = [&] {
      if (asks_for_state) {
        entry.FindState(record.spec.id, [](const auto&) {});
      } else {
        entry.Submit(std::make_shared<const JobRecord>(record),
                     core::Clock::Now() + kPatience, [](SubmitResult) {});
      }
    };
    BOOST_TEST((entry.Admit(record).summary_age > kMaxSummaryAge));
    ask();
    BOOST_TEST(WaitFor(
        [&] { return entry.Admit(record).summary_age < kMaxSummaryAge; }));
    ask();
    WaitFor([] { return false; }, 100);
    BOOST_TEST(answers_with_summary == 1);
  }
}

/// An entry that serves its internal calls.
struct ServingEntry {
  ServingEntry(store::MemoryStore& store, const std::string& name) {
    auto listening = wire::HttpServer::Listen(
        "127.0.0.1", 0, wire::HttpServerLimits(),
        [this](const wire::HttpRequest& request,
               const wire::HttpResponder& responder) {
          BOOST_TEST(this->service->HandleInternal(request, responder));
        });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(*listening);
    PlannerServiceOptions options = Options();
    options.entry = core::EntryId(name);
    options.endpoint = "127.0.0.1:" + std::to_string(this->server->Port());
    this->service =
        std::make_unique<EntryService<store::MemoryStore>>(options, store);
  }

  wire::HttpResponse Call(const std::string& body,
                          wire::HttpMethod method = wire::HttpMethod::kPost) {
    wire::HttpClient client;
    wire::HttpCall call;
    call.endpoint = {"127.0.0.1", this->server->Port()};
    call.method = method;
    call.target = internal_api::kExplain;
    call.body = body;
    std::optional<core::Expected<wire::HttpResponse>> answer;
    client.Send(call, [&answer](core::Expected<wire::HttpResponse> received) {
      answer = std::move(received);
    });
    BOOST_REQUIRE(WaitFor([&answer] { return answer.has_value(); }));
    BOOST_REQUIRE(answer->has_value());
    return **answer;
  }

  std::unique_ptr<EntryService<store::MemoryStore>> service;
  std::unique_ptr<wire::HttpServer> server;
};

// Guards against entries that answer an operator differently by whether they
// are the planner, and against statuses that do not tell a wrong request from a
// missing planner.
BOOST_AUTO_TEST_CASE(EachEntryExplainsAJob) {
  store::MemoryStore store;
  store.DriveByTimer();
  ServingEntry planner(store, "planner");
  BOOST_REQUIRE(
      WaitFor([&] { return planner.service->Planning().Active() != nullptr; }));
  ServingEntry other(store, "other");
  BOOST_REQUIRE(WaitFor(
      [&] { return !other.service->Planning().PlannerEndpoint().empty(); }));
  planner.service->Planning().Active()->AddJob(
      MakeJob("j", {MakeStep(1, {1000, 1000, 1})}), core::Clock::Now());
  for (ServingEntry* entry : {&planner, &other}) {
    const wire::HttpResponse found = entry->Call(R"({"job":"j"})");
    BOOST_TEST(found.status == 200, found.body);
    BOOST_TEST(found.body.find("no worker offers service") !=
               std::string::npos);
    BOOST_TEST(entry->Call(R"({"job":"none"})").status == 404);
    const wire::HttpResponse invalid =
        entry->Call(R"({"queue":"q","steps":[{"cuont":1}]})");
    BOOST_TEST(invalid.status == 400);
    BOOST_TEST(invalid.body.find("$.steps[0].cuont") != std::string::npos);
    BOOST_TEST(entry->Call("", wire::HttpMethod::kGet).status == 405);
  }
  planner.service->Planning().Resign();
  other.service->Planning().Resign();
  BOOST_TEST(planner.Call(R"({"job":"j"})").status == 503);
}

// Guards against a planner that spends its time on explanations instead of
// decisions, and against a refusal that does not say when to ask again.
BOOST_AUTO_TEST_CASE(ExplanationsAreLimited) {
  store::MemoryStore store;
  store.DriveByTimer();
  ServingEntry planner(store, "planner");
  BOOST_REQUIRE(
      WaitFor([&] { return planner.service->Planning().Active() != nullptr; }));
  ServingEntry other(store, "other");
  BOOST_REQUIRE(WaitFor(
      [&] { return !other.service->Planning().PlannerEndpoint().empty(); }));
  const core::TimePoint begin = core::Clock::Now();
  int refused = 0;
  constexpr int kCalls = 8;
  constexpr int kAllowed = 5;
  for (int i = 0; i < kCalls; ++i) {
    const wire::HttpResponse answer =
        (i % 2 == 0 ? planner : other).Call(R"({"job":"none"})");
    if (answer.status == 429) {
      ++refused;
      BOOST_TEST(answer.headers.Find("Retry-After").value_or("") == "1");
    }
  }
  // On a machine so slow that the calls took a second, more are allowed.
  if (core::Clock::Now() < begin + core::Duration::Seconds(1)) {
    BOOST_TEST(refused == kCalls - kAllowed);
  }
  CallLimit limit(2, core::Duration::Seconds(1));
  const core::TimePoint start = core::TimePoint::FromMilliseconds(1000);
  BOOST_TEST(limit.Allow(start));
  BOOST_TEST(limit.Allow(start + core::Duration::Milliseconds(900)));
  BOOST_TEST(!limit.Allow(start + core::Duration::Milliseconds(999)));
  BOOST_TEST(limit.Allow(start + core::Duration::Milliseconds(1000)));
  BOOST_TEST(!limit.Allow(start + core::Duration::Milliseconds(1000)));
}

// Whatever happens to the refusal's write, the caller is told that the job was
// not accepted only if it is not stored.
BOOST_AUTO_TEST_CASE(ARefusalThatCannotBeStoredIsNotGiven) {
  for (const int lost_answers : {1, 2, 1000}) {
    TwoEntries entries;
    entries.store.SetFaults({false, lost_answers, core::Duration()});
    const SubmitResult result = entries.Wait(entries.second, true);
    const bool says_refused =
        result == SubmitResult::kRejected || result == SubmitResult::kNotStored;
    BOOST_TEST((!says_refused || !entries.Stored().has_value()));
  }
  TwoEntries entries;
  entries.store.SetFaults({true, 0, core::Duration()});
  BOOST_TEST((entries.Wait(entries.second, true) == SubmitResult::kNotStored));
}

BOOST_AUTO_TEST_CASE(ARejectionCostsOneWriteAndAnAcceptanceNoMoreThanBefore) {
  TwoEntries entries;
  entries.Wait(entries.second, true);
  const store::CallCounts before = entries.store.Counts();
  entries.Wait(entries.second, true);
  entries.Wait(entries.second, false);
  const store::CallCounts after = entries.store.Counts();
  BOOST_TEST(after.writes - before.writes == 2U);
  BOOST_TEST(after.reads == before.reads);
  BOOST_TEST(after.lease_calls == before.lease_calls);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
