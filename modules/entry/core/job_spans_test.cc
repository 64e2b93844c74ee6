#include "modules/entry/core/job_spans.h"

#include <boost/test/unit_test.hpp>

namespace hemlockdoor::entry {

namespace {

const std::string kCaller =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

std::string TraceIdOf(const std::string& traceparent) {
  const auto context = observe::ParseTraceparent(traceparent);
  BOOST_REQUIRE(context.has_value());
  return context->trace_id;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(JobSpansTest)

// Guards against a hop that leaves the caller's trace, or that passes the
// caller's own span on so that the hops cannot be told apart.
BOOST_AUTO_TEST_CASE(EveryHopHasItsOwnSpanInTheCallersTrace) {
  JobSpans spans;
  BOOST_TEST(spans.Traceparent().empty());
  spans.OnAccepted({}, kCaller);
  const std::string accepted = spans.Traceparent();
  spans.OnPlaced(core::AgentId("a1"), core::AttemptNumber(1));
  const std::string first = spans.Traceparent();
  spans.OnRequeued();
  spans.OnPlaced(core::AgentId("a2"), core::AttemptNumber(2));
  const std::string second = spans.Traceparent();
  for (const std::string& hop : {accepted, first, second}) {
    BOOST_TEST(TraceIdOf(hop) == TraceIdOf(kCaller));
    BOOST_TEST(hop != kCaller);
  }
  BOOST_TEST(accepted != first);
  BOOST_TEST(first != second);
  spans.OnEnded(model::JobOutcome::kDone);
}

// Guards against a malformed header that stops a job or joins two jobs.
BOOST_AUTO_TEST_CASE(MalformedHeaderStartsATraceOfItsOwn) {
  JobSpans left;
  JobSpans right;
  left.OnAccepted({}, "00-zz");
  right.OnAccepted({}, "");
  BOOST_TEST(TraceIdOf(left.Traceparent()) != TraceIdOf(right.Traceparent()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
