#include "modules/batch/model/operator_snapshot.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "modules/model/testing/odd_json.h"

namespace hemlockdoor::batch {

namespace {

store::KeyValue ItemOf(const std::string& key,
                       const std::string& value,
                       std::uint64_t revision) {
  return {key, value, store::ModRevision(revision)};
}

OperatorSnapshot SnapshotOf(std::vector<store::KeyValue> items,
                            std::uint64_t revision) {
  return OperatorSnapshot({std::move(items), store::ModRevision(revision)});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OperatorSnapshotTest)

// Guards against a key that was removed and comes back from an entry that has
// not seen the removal.
BOOST_AUTO_TEST_CASE(OnlyALaterSnapshotReplacesThePresentOne) {
  const OperatorSnapshot before =
      SnapshotOf({ItemOf("config", "1", 5), ItemOf("evacuate/a", "", 6)}, 9);
  const OperatorSnapshot after = SnapshotOf({ItemOf("config", "1", 5)}, 10);
  OperatorSnapshot snapshot = before;
  BOOST_TEST(snapshot.OnSnapshot(after));
  BOOST_TEST(snapshot.Versions().size() == 1U);
  BOOST_TEST(!snapshot.OnSnapshot(before));
  BOOST_TEST(snapshot.Versions().size() == 1U);
  // The same content as of a later version is no change.
  BOOST_TEST(!snapshot.OnSnapshot(SnapshotOf({ItemOf("config", "1", 5)}, 20)));
  BOOST_TEST((snapshot.Revision() == store::ModRevision(20)));
}

BOOST_AUTO_TEST_CASE(EventsThatAreIncludedChangeNothing) {
  OperatorSnapshot snapshot = SnapshotOf({ItemOf("config", "2", 8)}, 8);
  BOOST_TEST(!snapshot.OnEvent({"config", "1", store::ModRevision(7)}));
  BOOST_TEST(!snapshot.OnEvent({"config", "2", store::ModRevision(8)}));
  BOOST_TEST(snapshot.OnEvent({"config", "3", store::ModRevision(9)}));
  // One transaction changes two keys.
  BOOST_TEST(snapshot.OnEvent({"evacuate/a", "", store::ModRevision(9)}));
  BOOST_TEST(
      snapshot.OnEvent({"evacuate/a", std::nullopt, store::ModRevision(10)}));
  BOOST_TEST(snapshot.ToListing().items.size() == 1U);
  BOOST_TEST(snapshot.ToListing().items[0].value == "3");
}

BOOST_AUTO_TEST_CASE(MessagesAreReadAsTheyWereWritten) {
  SnapshotAnswer answer;
  answer.summary = {"10.0.0.1:7000",
                    store::ModRevision(12),
                    core::Duration::Milliseconds(340),
                    {{"config", store::ModRevision(11)}}};
  answer.content =
      SnapshotOf({ItemOf("config", "{\"a\":\"\xc3\xa9\"}", 11)}, 12);
  const auto read = SnapshotAnswerFromText(ToText(answer));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->summary.endpoint == "10.0.0.1:7000");
  BOOST_TEST(read->summary.age.InMilliseconds() == 340);
  BOOST_REQUIRE(read->content.has_value());
  BOOST_TEST((read->content->Revision() == store::ModRevision(12)));
  BOOST_TEST(read->content->ToListing().items.at(0).value ==
             "{\"a\":\"\xc3\xa9\"}");
  answer.content.reset();
  BOOST_TEST(!SnapshotAnswerFromText(ToText(answer))->content.has_value());
  BOOST_TEST((SnapshotRequestFromText(ToText(SnapshotRequest{answer.summary}))
                  ->summary.versions == answer.summary.versions));
}

// Another process may answer at the address of a former entry.
BOOST_AUTO_TEST_CASE(OddMessagesAreErrors) {
  std::vector<std::string> odd = {
      "{}",
      R"({"endpoint":"e","revision":-1,"age_ms":0,"versions":{}})",
      R"({"endpoint":"e","revision":1,"age_ms":-1,"versions":{}})",
      R"({"endpoint":"e","revision":1,"age_ms":1,"versions":{"a":"b"}})",
      R"({"endpoint":"e","revision":1,"age_ms":1,"items":[7]})",
      R"({"endpoint":"e","revision":1,"age_ms":1,"items":[{"key":"k"}]})",
      R"({"endpoint":"e","revision":1,"age_ms":1,"items":
        [{"key":"k","value":"v","revision":-1}]})"};
  for (const std::string& value : model::testing::OddValues()) {
    odd.push_back(value);
  }
  for (const std::string& text : odd) {
    BOOST_TEST_CONTEXT(text.substr(0, 80)) {
      BOOST_TEST(!SnapshotAnswerFromText(text).has_value());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::batch
