// Aligned text tables for people.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hemlockdoor::cli {

/// A column: a heading and where its value is in each row, as a JSON pointer.
struct TableColumn {
  std::string heading;
  std::string pointer;
};

/// Draws rows of JSON objects. Columns that no row has are left out; lists are
/// shown by their length; text is made printable.
std::string DrawTable(const std::vector<TableColumn>& columns,
                      const nlohmann::json& rows);

}  // namespace hemlockdoor::cli
