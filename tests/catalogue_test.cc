// Promise P8: an accepted edit is in force everywhere within 10 s and never
// reverts.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/deployment.h"

namespace hemlockdoor::test_support {

namespace {

using nlohmann::json;
using wire::HttpMethod;

constexpr core::Duration kInForceBound = core::Duration::Seconds(10);

/// An entry as one operator sees it.
struct EntryView {
  std::string etag;
  json document;
};

std::optional<EntryView> Read(Deployment& deployment,
                              int entry,
                              const std::string& name) {
  const auto response =
      deployment.Operate(entry, HttpMethod::kGet, "/v1/catalogue/" + name);
  if (!response || response->status != 200) {
    return std::nullopt;
  }
  return EntryView{response->headers.Find("ETag").value_or(""),
                   json::parse(response->body, nullptr, false)};
}

int PriorityAt(Deployment& deployment, int entry, const std::string& name) {
  const auto view = Read(deployment, entry, name);
  return view && view->document.contains("limits")
             ? view->document["limits"].value("priority", -1)
             : -1;
}

/// Sets the priority of an entry; the HTTP status of the edit, 0 on no answer.
int SetPriority(Deployment& deployment,
                int entry,
                const std::string& name,
                int priority) {
  auto view = Read(deployment, entry, name);
  if (!view) {
    return 0;
  }
  view->document["limits"]["priority"] = priority;
  const auto response =
      deployment.Operate(entry, HttpMethod::kPut, "/v1/catalogue/" + name,
                         view->document.dump(), view->etag);
  return response ? response->status : 0;
}

bool IsAccepted(int status) {
  constexpr int kFirstNonSuccess = 300;
  return status >= wire::http_status::kOk && status < kFirstNonSuccess;
}

/// Revisions that the agents have been told, from each entry's worker list.
bool AgentsHaveRevision(Deployment& deployment,
                        int entry,
                        const std::string& etag) {
  const auto response =
      deployment.Operate(entry, HttpMethod::kGet, "/v1/workers");
  if (!response) {
    return false;
  }
  const json document = json::parse(response->body, nullptr, false);
  if (!document.contains("workers")) {
    return false;
  }
  for (const json& worker : document["workers"]) {
    const json& revision = worker.value("revision", json());
    const std::string text =
        revision.is_string() ? revision.get<std::string>() : revision.dump();
    if (etag.find(text) == std::string::npos) {
      return false;
    }
  }
  return true;
}

struct EditFault {
  std::string name;
  std::function<void(Deployment&)> apply;
  std::function<void(Deployment&)> repair;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(CatalogueTest)

// Guards against an accepted edit that is late or missing at an entry or agent.
BOOST_AUTO_TEST_CASE(AcceptedEditIsInForceEverywhere) {
  Deployment deployment;
  deployment.WaitUntilReady();
  for (int priority = 100; priority < 105; ++priority) {
    BOOST_REQUIRE(IsAccepted(
        SetPriority(deployment, priority % 2, "north-short", priority)));
    BOOST_TEST(WaitUntil(
        [&] {
          const auto view = Read(deployment, 0, "north-short");
          return PriorityAt(deployment, 0, "north-short") == priority &&
                 PriorityAt(deployment, 1, "north-short") == priority && view &&
                 AgentsHaveRevision(deployment, 0, view->etag) &&
                 AgentsHaveRevision(deployment, 1, view->etag);
        },
        kInForceBound));
  }
}

// Guards against an edit that overwrites another operator's unseen edit.
BOOST_AUTO_TEST_CASE(SecondOperatorIsToldOfTheConflict) {
  Deployment deployment;
  deployment.WaitUntilReady();
  const auto seen = Read(deployment, 1, "north-short");
  BOOST_REQUIRE(seen.has_value());
  BOOST_REQUIRE(IsAccepted(SetPriority(deployment, 0, "north-short", 201)));
  json stale = seen->document;
  stale["limits"]["priority"] = 202;
  const auto conflict =
      deployment.Operate(1, HttpMethod::kPut, "/v1/catalogue/north-short",
                         stale.dump(), seen->etag);
  BOOST_REQUIRE(conflict.has_value());
  BOOST_TEST(conflict->status == wire::http_status::kPreconditionFailed,
             conflict->body);
  const auto missing = deployment.Operate(
      1, HttpMethod::kPut, "/v1/catalogue/north-short", stale.dump());
  BOOST_REQUIRE(missing.has_value());
  BOOST_TEST(missing->status == wire::http_status::kPreconditionRequired);
  BOOST_TEST(
      WaitUntil([&] { return PriorityAt(deployment, 1, "north-short") == 201; },
                kInForceBound));
}

// Guards against an accepted edit that is lost or undone by a fault at the
// moment of the edit, and against an edit that is answered as refused but
// takes effect later.
BOOST_AUTO_TEST_CASE(FaultsDuringAnEditNeverRevertIt) {
  const std::vector<EditFault> faults = {
      {"store answer lost",
       [](Deployment& d) { d.ControlStore(R"({"lose_next_answers":1})"); },
       [](Deployment&) {}},
      {"store answers lost twice",
       [](Deployment& d) { d.ControlStore(R"({"lose_next_answers":2})"); },
       [](Deployment&) {}},
      {"store slow",
       [](Deployment& d) { d.ControlStore(R"({"delay_ms":400})"); },
       [](Deployment& d) { d.ControlStore(R"({"delay_ms":0})"); }},
      {"store down", [](Deployment& d) { d.ControlStore(R"({"down":true})"); },
       [](Deployment& d) { d.ControlStore(R"({"down":false})"); }},
      {"other entry paused", [](Deployment& d) { d.Entry(1).Pause(); },
       [](Deployment& d) { d.Entry(1).Resume(); }},
      {"other entry killed", [](Deployment& d) { d.KillEntry(1); },
       [](Deployment& d) { d.StartEntry(1); }},
      {"other entry cut from the store",
       [](Deployment& d) { d.StoreRelay(1).Cut(true); },
       [](Deployment& d) { d.StoreRelay(1).Cut(false); }},
  };
  Deployment deployment;
  deployment.WaitUntilReady();
  int priority = 300;
  for (const EditFault& fault : faults) {
    BOOST_TEST_CONTEXT("fault: " << fault.name) {
      const int old_priority = PriorityAt(deployment, 0, "north-short");
      ++priority;
      fault.apply(deployment);
      const int status = SetPriority(deployment, 0, "north-short", priority);
      fault.repair(deployment);
      const bool accepted = IsAccepted(status);
      const int expected = accepted ? priority : old_priority;
      // 503 or 504 may leave the edit open; every other refusal is final.
      const bool is_open = status >= 500 || status == 0;
      const auto in_force = [&](int wanted) {
        return PriorityAt(deployment, 0, "north-short") == wanted &&
               PriorityAt(deployment, 1, "north-short") == wanted;
      };
      BOOST_TEST(WaitUntil(
                     [&] {
                       return in_force(expected) ||
                              (is_open && in_force(priority));
                     },
                     kInForceBound),
                 "edit status " << status);
      const int settled = PriorityAt(deployment, 0, "north-short");
      for (int check = 0; check < 20; ++check) {
        WaitUntil([] { return false; }, core::Duration::Milliseconds(50));
        BOOST_TEST(in_force(settled));
      }
      priority = std::max(priority, settled);
    }
  }
}

// Guards against a bad edit that changes something, or an error that does not
// say what is wrong.
BOOST_AUTO_TEST_CASE(BadEditChangesNothing) {
  Deployment deployment;
  deployment.WaitUntilReady();
  const auto seen = Read(deployment, 0, "north-batch");
  BOOST_REQUIRE(seen.has_value());
  json too_much = seen->document;
  too_much["guarantees"] = {{{"count", 4},
                             {"gang_size", 1},
                             {"accelerators_per_member", 8},
                             {"adjacency", "worker"}}};
  json unknown = seen->document;
  unknown["limits"]["priorty"] = 1;
  for (const json& bad : {too_much, unknown}) {
    const auto refused =
        deployment.Operate(0, HttpMethod::kPut, "/v1/catalogue/north-batch",
                           bad.dump(), seen->etag);
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(refused->status == wire::http_status::kUnprocessable,
               refused->body);
    BOOST_TEST(refused->body.find("north-batch") != std::string::npos,
               refused->body);
  }
  const auto after = Read(deployment, 0, "north-batch");
  BOOST_REQUIRE(after.has_value());
  BOOST_TEST(after->etag == seen->etag);
}

// Guards against an operator interface that callers can use.
BOOST_AUTO_TEST_CASE(OnlyOperatorsEdit) {
  Deployment deployment;
  deployment.WaitUntilReady();
  for (const std::string token :
       {Deployment::kNorthToken, "wrong", Deployment::kInternalKey}) {
    const auto refused =
        Exchange(MakeCall(deployment.EntryPort(0), HttpMethod::kPut,
                          "/v1/catalogue/north-short", "{}", token));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->status == 401 || refused->status == 403),
               refused->status);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::test_support
