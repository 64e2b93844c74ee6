#include <boost/test/unit_test.hpp>

#include "modules/decide/limits/admission.h"
#include "modules/decide/limits/concurrency_limit.h"
#include "modules/decide/limits/retry_budget.h"

namespace hemlockdoor::decide {

BOOST_AUTO_TEST_SUITE(LimitsTest)

// Guards against a concurrency limit that reaches zero, exceeds the slots of
// the worker, or never recovers.
BOOST_AUTO_TEST_CASE(ConcurrencyLimitFallsFastAndRisesSlowly) {
  ConcurrencyLimit concurrency;
  int limit = 8;
  for (int i = 0; i < 20; ++i) {
    limit = concurrency.OnRefused(0, limit);
    BOOST_REQUIRE(limit >= 1);
  }
  BOOST_TEST(limit == 1);
  int successes = 0;
  while (limit < 8) {
    limit = concurrency.OnSuccess(0, limit, 8);
    BOOST_REQUIRE(++successes < 100);
  }
  BOOST_TEST(successes == 1 + 2 + 3 + 4 + 5 + 6 + 7);
  BOOST_TEST(concurrency.OnSuccess(0, limit, 8) == 8);
}

// Guards against retries that multiply the load when all jobs fail, and against
// long jobs that can never be retried again.
BOOST_AUTO_TEST_CASE(RetriesAreBoundedWithoutSuccess) {
  RetryBudget budget;
  const core::TimePoint now = core::TimePoint::FromMilliseconds(1000);
  int retries = 0;
  while (budget.TryTake(0, now)) {
    BOOST_REQUIRE(++retries <= 200);
  }
  for (int i = 0; i < 5; ++i) {
    budget.OnSuccess(0);
  }
  BOOST_TEST(budget.TryTake(0, now));
  BOOST_TEST(!budget.TryTake(0, now));
  BOOST_TEST(budget.TryTake(0, now + core::Duration::Seconds(1)));
  BOOST_TEST(budget.TryTake(1, now));
}

// Guards against shedding while no job is queued, and against refusing the jobs
// of an organisation because of the queue of another.
BOOST_AUTO_TEST_CASE(ShedsJobsOfTheOverloadingOrganisation) {
  Admission admission;
  AdmissionRequest request;
  request.deadline = core::Duration::Seconds(10);
  request.expected_run = core::Duration::Seconds(1);
  request.slots = 8;
  request.share = 0.5;
  BOOST_TEST(!admission.Refuse(request).has_value());
  for (int i = 0; i < 100; ++i) {
    admission.OnQueued(0, core::Duration::Seconds(1));
  }
  const std::optional<core::Duration> retry_after = admission.Refuse(request);
  BOOST_REQUIRE(retry_after.has_value());
  BOOST_TEST((*retry_after >= core::Duration::Seconds(1)));
  request.organisation = 1;
  BOOST_TEST(!admission.Refuse(request).has_value());
  for (int i = 0; i < 100; ++i) {
    admission.OnDequeued(0, core::Duration::Seconds(1));
  }
  request.organisation = 0;
  BOOST_TEST(!admission.Refuse(request).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::decide
