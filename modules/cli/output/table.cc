#include "modules/cli/output/table.h"

#include <algorithm>
#include <optional>

#include "modules/cli/output/console.h"
#include "modules/model/model.h"

namespace hemlockdoor::cli {

namespace {

constexpr const char* kAbsent = "-";

std::optional<std::string> CellText(const nlohmann::json& row,
                                    const std::string& pointer) {
  const nlohmann::json::json_pointer place(pointer);
  if (!row.is_object() || !row.contains(place)) {
    return std::nullopt;
  }
  const nlohmann::json& value = row[place];
  if (value.is_string()) {
    return PrintableText(value.get<std::string>());
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_array()) {
    return std::to_string(value.size());
  }
  return model::DumpJson(value);
}

/// One column with its cells, heading first.
std::vector<std::string> Cells(const TableColumn& column,
                               const nlohmann::json& rows) {
  std::vector<std::string> cells = {column.heading};
  bool used = false;
  for (const nlohmann::json& row : rows) {
    const std::optional<std::string> text = CellText(row, column.pointer);
    used = used || text.has_value();
    cells.push_back(text.value_or(kAbsent));
  }
  return used ? cells : std::vector<std::string>();
}

}  // namespace

std::string DrawTable(const std::vector<TableColumn>& columns,
                      const nlohmann::json& rows) {
  constexpr std::size_t kGap = 2;
  std::vector<std::string> lines(rows.size() + 1);
  for (const TableColumn& column : columns) {
    const std::vector<std::string> cells = Cells(column, rows);
    std::size_t width = 0;
    for (const std::string& cell : cells) {
      width = std::max(width, cell.size());
    }
    for (std::size_t i = 0; i < cells.size(); ++i) {
      lines[i] += cells[i] + std::string(width - cells[i].size() + kGap, ' ');
    }
  }
  std::string table;
  for (std::string& line : lines) {
    line.erase(line.find_last_not_of(' ') + 1);
    table += line + "\n";
  }
  return table;
}

}  // namespace hemlockdoor::cli
