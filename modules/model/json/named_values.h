// Tables that give enumerators their names in JSON.
#pragma once

#include <optional>
#include <string_view>

namespace hemlockdoor::model {

/// One row of a name table: a `std::array` of these is a table.
template <typename Value>
struct NamedValue {
  Value value;
  std::string_view name;
};

/// The name of a value; empty when the table does not have it.
template <typename Table, typename Value>
std::string_view NameOf(const Table& table, Value value) {
  for (const auto& row : table) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "";
}

/// The value of a name, or nothing.
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
