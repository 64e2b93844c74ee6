#include "modules/entry/core/entry_metrics.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "modules/observe/observe.h"

namespace hemlockdoor::entry {

namespace {

constexpr core::TimePoint kNow = core::TimePoint::FromMilliseconds(10'000);

/// One worker with two blocks of four accelerators. `free` is the bit mask of
/// the free ones.
AgentDirectory OneWorker(std::uint64_t free) {
  model::Announcement announcement;
  announcement.agent = core::AgentId("a1");
  announcement.incarnation = core::Incarnation(1);
  announcement.endpoint = "127.0.0.1:1";
  announcement.shape = model::WorkerShape();
  announcement.shape->accelerators = 8;
  announcement.shape->accelerators_per_group = 4;
  announcement.free_accelerators = model::AcceleratorSet(free);
  AgentDirectory agents;
  agents.ApplyAnnouncement(announcement, kNow);
  return agents;
}

bool HasLine(const std::string& line) {
  return observe::ProcessMetrics().ToText().find(line + "\n") !=
         std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EntryMetricsTest)

// Guards against a ratio that ignores free accelerators in partly used blocks,
// or that divides by zero.
BOOST_AUTO_TEST_CASE(FragmentationCountsAcceleratorsOutsideFreeBlocks) {
  BOOST_TEST(FragmentationRatio(AgentDirectory()) == 0.0);
  BOOST_TEST(FragmentationRatio(OneWorker(0)) == 0.0);
  BOOST_TEST(FragmentationRatio(OneWorker(0xff)) == 0.0);
  BOOST_TEST(FragmentationRatio(OneWorker(0x1f)) == 0.2);
  BOOST_TEST(FragmentationRatio(OneWorker(0x77)) == 1.0);
}

// Guards against ends and refusals that are counted under a wrong label.
BOOST_AUTO_TEST_CASE(EndsAreCountedByOutcomeAndReason) {
  model::Catalogue catalogue;
  model::CatalogueEntry entry;
  entry.owner = core::OrganisationId("metrics-org");
  entry.job_class = core::JobClass("metrics-class");
  catalogue.entries.emplace(core::CatalogueEntryName("e"), entry);
  PublishCatalogueNames(catalogue);
  Job job;
  job.description.organisation = entry.owner;
  job.description.job_class = entry.job_class;
  job.submitted_at = kNow;
  job.outcome = model::JobOutcome::kNotRun;
  job.problem_type = "faulty-job";
  CountJobEnd(job, kNow);
  BOOST_TEST(HasLine(
      R"(hemlockdoor_jobs_total{class="metrics-class",organisation="metrics-org",outcome="not-run"} 1)"));
  BOOST_TEST(HasLine(R"(hemlockdoor_refusals_total{reason="faulty"} 1)"));
  BOOST_TEST(!HasLine(
      R"(hemlockdoor_job_completion_seconds_count{class="metrics-class"} 1)"));
  job.outcome = model::JobOutcome::kDone;
  job.problem_type.clear();
  job.may_have_run = true;
  CountJobEnd(job, kNow + core::Duration::Seconds(2));
  BOOST_TEST(HasLine(
      R"(hemlockdoor_job_completion_seconds_sum{class="metrics-class"} 2)"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
