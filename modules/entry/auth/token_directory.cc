#include "modules/entry/auth/token_directory.h"

#include <QCryptographicHash>
#include <algorithm>
#include <string>

#include "modules/wire/auth/bearer.h"

namespace hemlockdoor::entry {

namespace {

std::string_view BytesOf(const QByteArray& bytes) {
  return {bytes.data(), static_cast<std::size_t>(bytes.size())};
}

}  // namespace

void TokenDirectory::Add(const std::string& sha256_hex,
                         std::optional<std::size_t> organisation) {
  this->items.push_back(
      TokenHash{QByteArray::fromHex(QByteArray::fromStdString(sha256_hex)),
                organisation});
}

TokenDirectory TokenDirectory::FromCatalogue(
    const model::Catalogue& catalogue) {
  TokenDirectory directory;
  std::vector<core::OrganisationId>& known = directory.organisations;
  for (const auto& [name, entry] : catalogue.entries) {
    auto place = std::find(known.begin(), known.end(), entry.owner);
    if (place == known.end()) {
      place = known.insert(known.end(), entry.owner);
    }
    const auto index = static_cast<std::size_t>(place - known.begin());
    for (const std::string& hash : entry.token_sha256) {
      directory.Add(hash, index);
    }
  }
  for (const std::string& hash : catalogue.operator_token_sha256) {
    directory.Add(hash, std::nullopt);
  }
  return directory;
}

core::Expected<CallerIdentity> TokenDirectory::Identify(
    std::string_view token) const {
  const QByteArray hash = QCryptographicHash::hash(
      QByteArrayView(token.data(), static_cast<qsizetype>(token.size())),
      QCryptographicHash::Sha256);
  bool is_operator = false;
  bool ambiguous = false;
  std::optional<std::size_t> organisation;
  for (const TokenHash& item : this->items) {
    if (!wire::EqualInConstantTime(BytesOf(hash), BytesOf(item.hash))) {
      continue;
    }
    if (!item.organisation) {
      is_operator = true;
      continue;
    }
    ambiguous =
        ambiguous || (organisation && organisation != item.organisation);
    organisation = item.organisation;
  }
  if (ambiguous || (!organisation && !is_operator)) {
    return core::MakeError(core::ErrorCode::kUnauthorized,
                           "the bearer token is not in the catalogue");
  }
  CallerIdentity identity;
  identity.is_operator = is_operator;
  if (organisation) {
    identity.organisation = this->organisations[*organisation];
  }
  return identity;
}

}  // namespace hemlockdoor::entry
