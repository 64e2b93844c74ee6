// Who a bearer token belongs to.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "modules/core/core.h"
#include "modules/model/model.h"

namespace hemlockdoor::entry {

/// Maps SHA-256 hashes of bearer tokens to organisations and operators.
class TokenTable {
 public:
  TokenTable() = default;
  explicit TokenTable(const model::Catalogue& catalogue);

  /// The organisation of a token, or nothing.
  std::optional<core::OrganisationId> OrganisationOf(
      std::string_view token) const;
  bool IsOperator(std::string_view token) const;

 private:
  std::map<std::string, core::OrganisationId> organisations;
  std::set<std::string> operators;
};

/// Compares in a time that depends on the lengths only.
bool EqualsInConstantTime(std::string_view left, std::string_view right);

}  // namespace hemlockdoor::entry
