#include "modules/wire/auth/bearer.h"

#include <boost/test/unit_test.hpp>

namespace hemlockdoor::wire {

BOOST_AUTO_TEST_SUITE(BearerTest)

// Guards against granting access for a prefix of the key, an empty key, several
// Authorization fields, or another scheme.
BOOST_AUTO_TEST_CASE(OnlyTheWholeKeyMatches) {
  const auto matches = [](std::initializer_list<const char*> values,
                          std::string_view key) {
    HttpHeaders headers;
    for (const char* value : values) {
      headers.Add("authorization", value);
    }
    return HasBearer(headers, key);
  };
  BOOST_TEST(matches({"Bearer secret"}, "secret"));
  BOOST_TEST(matches({"bearer secret"}, "secret"));
  BOOST_TEST(!matches({"Bearer secre"}, "secret"));
  BOOST_TEST(!matches({"Bearer secrets"}, "secret"));
  BOOST_TEST(!matches({"Bearer secreT"}, "secret"));
  BOOST_TEST(!matches({"Bearer "}, ""));
  BOOST_TEST(!matches({"Basic secret"}, "secret"));
  BOOST_TEST(!matches({"Bearer secret", "Bearer secret"}, "secret"));
  BOOST_TEST(!matches({}, "secret"));
  HttpHeaders own;
  AddBearer(own, "secret");
  BOOST_TEST(HasBearer(own, "secret"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::wire
