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

// Guards against outgoing requests that leave the caller's trace, or that carry
// the caller's own span, so that the trace cannot tell them apart.
BOOST_AUTO_TEST_CASE(EveryAttemptHasItsOwnSpanInTheCallersTrace) {
  JobSpans spans;
  BOOST_TEST(spans.Traceparent().empty());
  spans.OnAccepted({}, kCaller);
  const std::string accepted = spans.Traceparent();
  spans.OnPlaced(core::AgentId("a1"), core::AttemptNumber(1));
  const std::string first = spans.Traceparent();
  spans.OnRequeued();
  spans.OnPlaced(core::AgentId("a2"), core::AttemptNumber(2));
  const std::string second = spans.Traceparent();
  for (const std::string& traceparent : {accepted, first, second}) {
    BOOST_TEST(TraceIdOf(traceparent) == TraceIdOf(kCaller));
    BOOST_TEST(traceparent != kCaller);
  }
  BOOST_TEST(accepted != first);
  BOOST_TEST(first != second);
  spans.OnEnded(model::JobOutcome::kDone);
}

// Guards against a malformed traceparent header that makes a job fail or puts
// two jobs into one trace.
BOOST_AUTO_TEST_CASE(MalformedHeaderStartsANewTrace) {
  JobSpans left;
  JobSpans right;
  left.OnAccepted({}, "00-zz");
  right.OnAccepted({}, "");
  BOOST_TEST(TraceIdOf(left.Traceparent()) != TraceIdOf(right.Traceparent()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
