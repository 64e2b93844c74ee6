#include "modules/observe/traces/trace_context.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

namespace hemlockdoor::observe {

namespace {

const std::string kTrace = "4bf92f3577b34da6a3ce929d0e0e4736";
const std::string kSpan = "00f067aa0ba902b7";

}  // namespace

BOOST_AUTO_TEST_SUITE(TraceContextTest)

// Guards against a caller's trace that is lost on the way to the agent.
BOOST_AUTO_TEST_CASE(ContinuesAValidTrace) {
  const std::string text = "00-" + kTrace + "-" + kSpan + "-01";
  const auto parsed = ParseTraceparent(text);
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(ToTraceparent(*parsed) == text);
  const TraceContext next = ContinueTrace(text);
  BOOST_TEST(next.trace_id == kTrace);
  BOOST_TEST(next.span_id != kSpan);
  BOOST_TEST(
      ParseTraceparent("cc-" + kTrace + "-" + kSpan + "-01-more").has_value());
  BOOST_TEST(!ParseTraceparent("00-" + kTrace + "-" + kSpan + "-00")->sampled);
}

// Guards against malformed input that is forwarded or crashes the parser.
BOOST_AUTO_TEST_CASE(MalformedInputStartsANewTrace) {
  const std::vector<std::string> cases = {
      "",
      "00",
      "00-" + kTrace + "-" + kSpan,
      "00-" + kTrace + "-" + kSpan + "-01-more",
      "ff-" + kTrace + "-" + kSpan + "-01",
      "00-" + std::string(32, '0') + "-" + kSpan + "-01",
      "00-" + kTrace + "-" + std::string(16, '0') + "-01",
      "00-" + std::string(32, 'A') + "-" + kSpan + "-01",
      "00_" + kTrace + "-" + kSpan + "-01",
      "00-" + kTrace + "-" + kSpan + "-0\n",
      std::string(100'000, '-'),
  };
  for (const std::string& text : cases) {
    BOOST_TEST(!ParseTraceparent(text).has_value(), text.substr(0, 80));
    const TraceContext started = ContinueTrace(text);
    BOOST_TEST(ParseTraceparent(ToTraceparent(started)).has_value());
    BOOST_TEST(started.trace_id != kTrace);
  }
}

// Guards against ids that repeat, which would join unrelated traces.
BOOST_AUTO_TEST_CASE(NewTracesDiffer) {
  constexpr std::size_t kTraces = 1000;
  std::set<std::string> ids;
  for (std::size_t i = 0; i < kTraces; ++i) {
    ids.insert(StartTrace().trace_id);
  }
  BOOST_TEST(ids.size() == kTraces);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::observe
