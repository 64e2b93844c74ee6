#include "modules/entry/auth/token_directory.h"

#include <QCryptographicHash>
#include <boost/test/unit_test.hpp>
#include <string>

namespace hemlockdoor::entry {

namespace {

std::string HashOf(const char* token) {
  return QCryptographicHash::hash(token, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

model::CatalogueEntry EntryOf(const char* name,
                              const char* owner,
                              std::vector<std::string> hashes) {
  model::CatalogueEntry entry;
  entry.name = core::CatalogueEntryName(name);
  entry.owner = core::OrganisationId(owner);
  entry.token_sha256 = std::move(hashes);
  return entry;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TokenDirectoryTest)

// Guards against a caller that acts for another organisation, and against
// operator rights for an organisation's token.
BOOST_AUTO_TEST_CASE(TokenIdentifiesItsOwnerOnly) {
  model::Catalogue catalogue;
  for (const model::CatalogueEntry& entry :
       {EntryOf("a", "north", {HashOf("n1"), HashOf("n2")}),
        EntryOf("b", "south", {HashOf("s1"), HashOf("shared")}),
        EntryOf("c", "north", {HashOf("n1"), HashOf("shared")})}) {
    catalogue.entries.emplace(entry.name, entry);
  }
  catalogue.operator_token_sha256 = {HashOf("root")};
  const TokenDirectory directory = TokenDirectory::FromCatalogue(catalogue);
  for (const char* token : {"n1", "n2"}) {
    const auto found = directory.Identify(token);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->organisation->Text() == "north");
    BOOST_TEST(!found->is_operator);
  }
  BOOST_TEST(directory.Identify("s1")->organisation->Text() == "south");
  BOOST_TEST(directory.Identify("root")->is_operator);
  BOOST_TEST(!directory.Identify("root")->organisation.has_value());
  for (const char* token : {"", "n", "n11", "shared"}) {
    BOOST_TEST(!directory.Identify(token).has_value());
  }
  BOOST_TEST(!directory.Identify(HashOf("n1")).has_value());
  BOOST_TEST(!TokenDirectory().Identify("n1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hemlockdoor::entry
