#include "modules/entry/core/operator_service.h"

#include <boost/test/unit_test.hpp>

#include "modules/entry/testing/core_harness_test.h"

namespace hemlockdoor::entry {

namespace {

using testing::CoreHarness;
using wire::HttpMethod;

constexpr const char* kEntry = R"({"owner": "north", "class": "batch"})";

}  // namespace

BOOST_AUTO_TEST_SUITE(OperatorServiceTest)

// Guards against an edit that is accepted without If-Match, with an outdated
// revision, without operator rights or with an invalid catalogue.
BOOST_AUTO_TEST_CASE(EditsNeedTheCurrentRevisionAndAValidCatalogue) {
  struct Case {
    HttpMethod method;
    const char* path;
    const char* body;
    const char* if_match;
    const char* token;
    int status;
    std::size_t edits;
  };
  const char* const impossible =
      R"({"owner": "north", "class": "batch", "guarantees":
          [{"count": 9, "gang_size": 9, "accelerators_per_member": 9}]})";
  const Case cases[] = {
      {HttpMethod::kPut, "/v1/catalogue/n", kEntry, "\"3\"", "operator", 0, 1},
      {HttpMethod::kDelete, "/v1/catalogue/north", "", "3", "operator", 0, 1},
      {HttpMethod::kPut, "/v1/catalogue", R"({"entries": {}})", "3", "operator",
       0, 1},
      {HttpMethod::kPut, "/v1/catalogue/n", kEntry, "", "operator", 428, 0},
      {HttpMethod::kPut, "/v1/catalogue/n", kEntry, "\"2\"", "operator", 412,
       0},
      {HttpMethod::kPut, "/v1/catalogue/n", kEntry, "x", "operator", 428, 0},
      {HttpMethod::kPut, "/v1/catalogue/n", kEntry, "3", "north", 403, 0},
      {HttpMethod::kPut, "/v1/catalogue/n", kEntry, "3", "nobody", 401, 0},
      {HttpMethod::kPut, "/v1/catalogue/n", R"({"own": 1})", "3", "operator",
       422, 0},
      {HttpMethod::kPut, "/v1/catalogue/n", impossible, "3", "operator", 422,
       0},
      {HttpMethod::kDelete, "/v1/catalogue/none", "", "3", "operator", 404, 0},
      {HttpMethod::kDelete, "/v1/catalogue", "", "3", "operator", 405, 0},
      {HttpMethod::kPost, "/v1/catalogue:check", R"({"entries": {}})", "",
       "operator", 200, 0},
      {HttpMethod::kPost, "/v1/catalogue:check", "{", "", "operator", 400, 0},
  };
  for (const Case& each : cases) {
    CoreHarness t;
    t.AddEntry("e1");
    t.AddAgent("a1", 8, 8);
    t.Advance(1000);
    t.if_match = each.if_match;
    const auto edit =
        t.Request(0, each.method, each.path, each.body, {}, each.token);
    BOOST_TEST(t.StatusOf(edit) == each.status, each.path << each.body);
    BOOST_TEST(t.edits.size() == each.edits, each.path << each.body);
  }
}

// Guards against reads without the ETag that an edit has to send as If-Match.
BOOST_AUTO_TEST_CASE(ReadsCarryTheRevisionAsETag) {
  CoreHarness t;
  t.AddEntry("e1");
  for (const char* path : {"/v1/catalogue", "/v1/catalogue/north"}) {
    const auto read = t.Request(0, HttpMethod::kGet, path, {}, {}, "operator");
    BOOST_TEST(t.StatusOf(read) == 200);
    BOOST_TEST(t.HeaderOf(read, "ETag") == "\"3\"");
  }
  const auto none =
      t.Request(0, HttpMethod::kGet, "/v1/catalogue/x", {}, {}, "operator");
  BOOST_TEST(t.StatusOf(none) == 404);
}

// Guards against a status that suggests the wrong next step to the operator
// after an edit.
BOOST_AUTO_TEST_CASE(EachOutcomeOfAnEditHasItsStatus) {
  struct Case {
    core::ErrorCode code;
    int status;
  };
  const Case cases[] = {{core::ErrorCode::kConflict, 412},
                        {core::ErrorCode::kUnavailable, 503},
                        {core::ErrorCode::kResourceExhausted, 503},
                        {core::ErrorCode::kTimeout, 504},
                        {core::ErrorCode::kNotFound, 404},
                        {core::ErrorCode::kInvalidArgument, 422}};
  for (const Case& each : cases) {
    const wire::HttpResponse response =
        MakeEditResponse(core::MakeError(each.code, "reason"));
    BOOST_TEST(response.status == each.status);
    BOOST_TEST(response.headers.Find("Retry-After").has_value() ==
               (each.status == 503));
  }
  BOOST_TEST(MakeEditResponse(core::CatalogueRevision(9)).status == 200);
}

// Guards against new work for a drained worker, and against an unknown worker
// that is reported as drained.
BOOST_AUTO_TEST_CASE(DrainedWorkerGetsNoWork) {
  CoreHarness t;
  t.AddEntry("e1");
  t.AddAgent("a1", 8, 8);
  t.Advance(4000);
  const auto drain = t.Request(0, HttpMethod::kPost, "/v1/workers/a1/drain", {},
                               {}, "operator");
  const auto unknown = t.Request(0, HttpMethod::kPost, "/v1/workers/a9/drain",
                                 {}, {}, "operator");
  BOOST_TEST(t.StatusOf(drain) == 202);
  BOOST_TEST(t.StatusOf(unknown) == 404);
  t.Submit(0, {{"payload", "p"}});
  t.Advance(2000);
  BOOST_TEST(t.Starts() == 0);
  const auto workers =
      t.Request(0, HttpMethod::kGet, "/v1/workers", {}, {}, "operator");
  BOOST_TEST(t.DocumentOf(workers)["workers"][0].value("placeable", true) ==
             false);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
