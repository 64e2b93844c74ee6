#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "modules/model/model.h"

namespace hemlockdoor::model {

namespace {

core::Expected<JobSubmission> Read(const std::string& text) {
  return FromText<&JobSubmissionFromJson>(text);
}

struct InvalidSubmission {
  std::string text;
  std::string path;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(JobSubmissionTest)

// Guards against a field that is ignored or stored in the wrong member.
BOOST_AUTO_TEST_CASE(ReadsEveryField) {
  const auto submission = Read(
      R"({"class":"batch","service":"index","payload":"p","deadline_ms":500,
          "gang_size":4,"accelerators_per_member":2,"adjacency":"rack",
          "declared_size":7,"declared_run_ms":9,"checkpointable":true,
          "repeatable":false,"urgent":true})");
  BOOST_REQUIRE(submission.has_value());
  const JobDescription& job = submission->description;
  BOOST_TEST(job.job_class.Text() == "batch");
  BOOST_TEST(job.service.Text() == "index");
  BOOST_TEST(submission->payload == "p");
  BOOST_TEST(job.deadline->InMilliseconds() == 500);
  BOOST_TEST(job.shape.TotalAccelerators() == 8);
  BOOST_TEST((job.shape.adjacency == Adjacency::kRack));
  BOOST_TEST(job.declared_size == 7);
  BOOST_TEST(job.declared_run.InMilliseconds() == 9);
  BOOST_TEST(job.checkpointable);
  BOOST_TEST(!job.repeatable);
  BOOST_TEST(job.urgent);
}

// Guards against invalid input that is accepted, and against an error without
// the path of the invalid field.
BOOST_AUTO_TEST_CASE(RejectsInvalidInputWithItsPath) {
  const std::vector<InvalidSubmission> cases = {
      {R"({"service":"s"})", "$.class"},
      {R"({"class":1,"service":"s"})", "$.class"},
      {R"({"class":"c","service":"s","gang_size":65})", "$.gang_size"},
      {R"({"class":"c","service":"s","gang_size":1.5})", "$.gang_size"},
      {R"({"class":"c","service":"s","gang_size":18446744073709551615})",
       "$.gang_size"},
      {R"({"class":"c","service":"s","adjacency":"near"})", "$.adjacency"},
      {R"({"class":"c","service":"s","organisation":"other"})",
       "$.organisation"},
      {R"([1,2])", "$"},
  };
  for (const InvalidSubmission& invalid : cases) {
    const auto submission = Read(invalid.text);
    BOOST_REQUIRE_MESSAGE(!submission.has_value(), invalid.text);
    BOOST_TEST(submission.error().path == invalid.path);
  }
}

// Guards against a crash on malformed JSON text, and against its acceptance.
BOOST_AUTO_TEST_CASE(RejectsMalformedText) {
  const std::vector<std::string> cases = {
      "",
      "{",
      R"({"class":"c")",
      "\xff\xfe",
      std::string(100'000, '['),
      R"({"class":")" + std::string("\x80") + R"(","service":"s"})"};
  for (const std::string& text : cases) {
    BOOST_TEST(!Read(text).has_value());
  }
}

// Guards against an error for a misspelt field that does not suggest the
// correct name.
BOOST_AUTO_TEST_CASE(UnknownFieldErrorSuggestsNearestName) {
  const auto submission = Read(R"({"class":"c","service":"s","gang_sise":2})");
  BOOST_REQUIRE(!submission.has_value());
  BOOST_TEST(submission.error().message.find("\"gang_size\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::model
