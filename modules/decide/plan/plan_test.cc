#include "modules/decide/plan/plan.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace hemlockdoor::decide {

namespace {

const char* const kWorkers = R"({"workers": [
  {"id": "w1", "data_centre": "d", "rack": "r", "slots": 8, "connections": 64,
   "cores": 8, "memory_bytes": 1, "accelerators": 8, "services": ["s"]},
  {"id": "w2", "data_centre": "d", "rack": "r", "slots": 8, "connections": 64,
   "cores": 8, "memory_bytes": 1, "accelerators": 8, "services": ["s"]}]})";
const char* const kCatalogue = R"({"entries": {
  "a": {"owner": "north", "class": "c", "guarantees":
        [{"count": 1, "gang_size": 1, "accelerators_per_member": 8}]},
  "b": {"owner": "south", "class": "c"}}})";
const char* const kJobs = R"({"jobs": [
  // Comments are allowed.
  {"id": "loan-1", "organisation": "south", "class": "c", "service": "s",
   "accelerators_per_member": 8,
   "running_on": [{"agent": "w1", "accelerators": [0,1,2,3,4,5,6,7]}]},
  {"id": "loan-2", "organisation": "south", "class": "c", "service": "s",
   "accelerators_per_member": 8},
  {"id": "urgent", "organisation": "north", "class": "c", "service": "s",
   "accelerators_per_member": 8, "urgent": true},
  {"id": "late", "organisation": "south", "class": "c", "service": "s",
   "accelerators_per_member": 1},
  {"id": "never", "organisation": "south", "class": "c", "service": "s",
   "accelerators_per_member": 9},
  {"id": "stranger", "organisation": "east", "class": "c", "service": "s"}]})";

PlanInputs Inputs(const std::string& jobs = kJobs) {
  PlanInputs inputs;
  inputs.workers = {"workers.json", kWorkers};
  inputs.catalogue = {"catalogue.json", kCatalogue};
  inputs.jobs = {"jobs.json", jobs};
  return inputs;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlanTest)

// Guards against a report that differs from the scheduler's decisions.
BOOST_AUTO_TEST_CASE(ReportsVerdictOnEachJob) {
  const core::Expected<PlanReport> report = RunPlan(Inputs());
  BOOST_REQUIRE(report.has_value());
  BOOST_REQUIRE(report->jobs.size() == 6);
  const auto& jobs = report->jobs;
  BOOST_TEST((jobs[0].verdict == PlanVerdict::kRunning));
  // North's job takes the free worker, so no job has to be stopped.
  BOOST_TEST((jobs[2].verdict == PlanVerdict::kPlaced));
  BOOST_TEST(jobs[2].within_guarantee);
  BOOST_TEST(jobs[2].members[0].agent.Text() == "w2");
  BOOST_TEST((jobs[1].verdict == PlanVerdict::kWaiting));
  BOOST_TEST(jobs[1].reason.find("accelerators") != std::string::npos);
  BOOST_TEST((jobs[3].verdict == PlanVerdict::kWaiting));
  BOOST_TEST((jobs[4].verdict == PlanVerdict::kRefused));
  BOOST_TEST((jobs[5].verdict == PlanVerdict::kRefused));
  BOOST_TEST(report->ToText().find("never: refused") != std::string::npos);
  BOOST_TEST(report->ToJson().find("\"within_guarantee\": true") !=
             std::string::npos);
}

// Guards against a report that does not tell which job is preempted for which.
BOOST_AUTO_TEST_CASE(ReportsWhichJobIsPreemptedForWhich) {
  std::string jobs = kJobs;
  const std::string queued = R"("id": "loan-2", "organisation")";
  jobs.replace(jobs.find(queued), queued.size(),
               R"("id": "loan-2", "running_on": [{"agent": "w2",
                  "accelerators": [0,1,2,3,4,5,6,7]}], "organisation")");
  const core::Expected<PlanReport> report = RunPlan(Inputs(jobs));
  BOOST_REQUIRE(report.has_value());
  const PlannedJob& urgent = report->jobs[2];
  BOOST_TEST((urgent.verdict == PlanVerdict::kWaiting));
  BOOST_REQUIRE(urgent.stops.size() == 1);
  const bool first = urgent.stops[0].Text() == "loan-1";
  const PlannedJob& stopped = report->jobs[first ? 0 : 1];
  BOOST_TEST((stopped.verdict == PlanVerdict::kStopped));
  BOOST_TEST(stopped.reason == "stop for urgent");
}

// Guards against a report that depends on anything but the inputs.
BOOST_AUTO_TEST_CASE(SameInputsGiveTheSameOutput) {
  const core::Expected<PlanReport> first = RunPlan(Inputs());
  const core::Expected<PlanReport> second = RunPlan(Inputs());
  BOOST_REQUIRE(first.has_value() && second.has_value());
  BOOST_TEST(first->ToText() == second->ToText());
  BOOST_TEST(first->ToJson() == second->ToJson());
}

// Guards against invalid input that is accepted, and against errors that do not
// name the file and the JSON path.
BOOST_AUTO_TEST_CASE(ErrorsNameFileAndPath) {
  struct Case {
    std::string jobs;
    std::string path;
  };
  const std::vector<Case> cases = {
      {"{", "jobs.json"},
      {R"({"jobs": [{"id": "x"}]})", "jobs.json: $.jobs[0].organisation"},
      {R"({"jobs": [{"id": "x", "organisation": "o", "class": "c",
          "service": "s", "gang_sise": 2}]})",
       "jobs.json: $.jobs[0].gang_sise"},
      {R"({"jobs": [{"id": "x", "organisation": "o", "class": "c",
          "service": "s", "accelerators_per_member": 1,
          "running_on": [{"agent": "w9", "accelerators": [0]}]}]})",
       "jobs.json: $.jobs[0].running_on"},
      {R"({"jobs": [{"id": "x", "organisation": "o", "class": "c",
          "service": "s", "gang_size": 2,
          "running_on": [{"agent": "w1"}]}]})",
       "jobs.json: $.jobs[0].running_on"},
  };
  for (const Case& row : cases) {
    const core::Expected<PlanReport> report = RunPlan(Inputs(row.jobs));
    BOOST_REQUIRE_MESSAGE(!report.has_value(), row.jobs);
    BOOST_TEST(report.error().path == row.path);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::decide
