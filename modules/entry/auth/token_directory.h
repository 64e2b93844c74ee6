// Identifies the sender of a request by its bearer token.
#pragma once

#include <QByteArray>
#include <optional>
#include <string_view>
#include <vector>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

/// The caller that a token identifies.
struct CallerIdentity {
  /// Absent for a token that belongs to operators only.
  std::optional<core::OrganisationId> organisation;
  bool is_operator = false;
};

/// The token hashes of one catalogue.
class TokenDirectory {
 public:
  /// An empty directory knows no token.
  TokenDirectory() = default;
  /// Takes the hashes of a checked catalogue.
  static TokenDirectory FromCatalogue(const model::Catalogue& catalogue);

  /// Returns the caller that the token identifies; kUnauthorized for an unknown
  /// token, and for one that is listed for several organisations. Takes
  /// constant time, whichever hash matches.
  core::Expected<CallerIdentity> Identify(std::string_view token) const;

 private:
  struct TokenHash {
    QByteArray hash;
    /// Index in `organisations`; nothing for the hash of an operator's token.
    std::optional<std::size_t> organisation;
  };

  void Add(const std::string& sha256_hex,
           std::optional<std::size_t> organisation);

  std::vector<core::OrganisationId> organisations;
  std::vector<TokenHash> items;
};

}  // namespace hemlockdoor::entry
