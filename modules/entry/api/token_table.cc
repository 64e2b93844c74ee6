#include "modules/entry/api/token_table.h"

#include <QCryptographicHash>

namespace hemlockdoor::entry {

namespace {

std::string Sha256Hex(std::string_view text) {
  return QCryptographicHash::hash(
             QByteArrayView(text.data(), static_cast<qsizetype>(text.size())),
             QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

}  // namespace

TokenTable::TokenTable(const model::Catalogue& catalogue) {
  for (const auto& [name, entry] : catalogue.entries) {
    for (const std::string& hash : entry.token_sha256) {
      this->organisations.emplace(hash, entry.owner);
    }
  }
  this->operators.insert(catalogue.operator_token_sha256.begin(),
                         catalogue.operator_token_sha256.end());
}

std::optional<core::OrganisationId> TokenTable::OrganisationOf(
    std::string_view token) const {
  const auto place = this->organisations.find(Sha256Hex(token));
  if (place == this->organisations.end()) {
    return std::nullopt;
  }
  return place->second;
}

bool TokenTable::IsOperator(std::string_view token) const {
  return this->operators.contains(Sha256Hex(token));
}

bool EqualsInConstantTime(std::string_view left, std::string_view right) {
  unsigned difference = left.size() == right.size() ? 0U : 1U;
  for (std::size_t i = 0; i < left.size(); ++i) {
    const char other = right.empty() ? '\0' : right[i % right.size()];
    difference |=
        static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(other);
  }
  return difference == 0U;
}

}  // namespace hemlockdoor::entry
