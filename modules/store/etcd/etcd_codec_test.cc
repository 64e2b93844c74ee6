#include "modules/store/etcd/etcd_codec.h"

#include <boost/test/unit_test.hpp>

#include "modules/model/json/json_reader.h"

namespace hemlockdoor::store::etcd {

namespace {

bool AnyDecoderAccepts(const std::string& text) {
  const auto document = model::ParseJson(text);
  BOOST_REQUIRE(document.has_value());
  return DecodeRange(*document) || DecodeTransaction(*document) ||
         DecodeLeaseGrant(*document) || DecodeKeepAlive(*document) ||
         DecodeWatch(*document);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EtcdCodecTest)

// Guards against a malformed answer that is decoded as a valid one: as an empty
// listing, a success, or a transaction whose compares failed.
BOOST_AUTO_TEST_CASE(MalformedAnswersAreRefused) {
  for (const char* text :
       {"[]", "null", "7", "{}", R"({"header":{}})", R"({"header":[]})",
        R"({"header":{"revision":"x"}})", R"({"header":{"revision":"-1"}})",
        R"({"header":{"revision":"5"},"kvs":{},"succeeded":1})",
        R"({"header":{"revision":"5"},"kvs":[{}],"succeeded":"true"})",
        R"({"header":{"revision":"5"},"kvs":[{"key":"%%"}],"succeeded":[]})",
        R"({"result":[]})", R"({"result":{"ID":"1","TTL":"-4"}})",
        R"({"result":{"header":{"revision":"5"},"events":[{}]}})",
        R"({"error":{"code":14}})"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(!AnyDecoderAccepts(text));
    }
  }
}

// Guards against field names that differ from the published protocol. The store
// stand-in has the same authors as this codec, so both could have the same
// mistake, which tests against the stand-in would not find.
BOOST_AUTO_TEST_CASE(EncodesThePublishedFormat) {
  const Transaction transaction{{{"k", ModRevision(3)}},
                                {{"k", "v", LeaseId(9)}, {"l", {}, {}}}};
  BOOST_TEST(EncodeTransaction(transaction) ==
             R"({"compare":[{"key":"aw==","mod_revision":"3",)"
             R"("result":"EQUAL","target":"MOD"}],"success":[)"
             R"({"request_put":{"key":"aw==","lease":"9","value":"dg=="}},)"
             R"({"request_delete_range":{"key":"bA=="}}]})");
  BOOST_TEST(EncodeList("a/") == R"({"key":"YS8=","range_end":"YTA="})");
  BOOST_TEST(EncodeLeaseGrant(core::Duration::Milliseconds(4001)) ==
             R"({"TTL":"5"})");
}

// Guards against decoders that fail, or read something else, when the gateway
// omits a field with its default value: `succeeded`, `kvs`, `TTL`, `type`, an
// empty `value`.
BOOST_AUTO_TEST_CASE(OmittedFieldsHaveTheirDefault) {
  const auto parse = [](const char* text) { return *model::ParseJson(text); };
  const nlohmann::json bare = parse(R"({"header":{"revision":"5"}})");
  BOOST_TEST(!DecodeTransaction(bare)->succeeded);
  BOOST_TEST(DecodeRange(bare)->items.empty());
  const auto lapsed = DecodeKeepAlive(parse(R"({"result":{"ID":"4"}})"));
  BOOST_TEST((*lapsed == core::Duration()));
  const auto watched = DecodeWatch(
      parse(R"({"result":{"header":{"revision":"5"},"events":[)"
            R"({"kv":{"key":"aw==","mod_revision":"5"}},)"
            R"({"type":"DELETE","kv":{"key":"aw==","mod_revision":"6"}}]}})"));
  BOOST_REQUIRE(watched.has_value());
  BOOST_TEST(watched->events[0].value.value().empty());
  BOOST_TEST(!watched->events[1].value.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::store::etcd
