// Tables that map enumerators to their names in JSON.
#pragma once

#include <optional>
#include <string_view>

namespace hemlockdoor::model {

/// One row of a name table; a table is a `std::array` of rows.
template <typename Value>
struct NamedValue {
  Value value;
  std::string_view name;
};

/// Returns the name of a value; empty when the table does not contain `value`.
template <typename Table, typename Value>
std::string_view NameOf(const Table& table, Value value) {
  for (const auto& row : table) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "";
}

/// Returns the value of a name; nothing when the table does not contain `name`.
template <typename Table>
auto ValueOf(const Table& table, std::string_view name)
    -> std::optional<decltype(table[0].value)> {
  for (const auto& row : table) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

}  // namespace hemlockdoor::model
