#include "dogwoodport/client/output.h"

#include <vector>

namespace dogwoodport {
namespace {

using nlohmann::ordered_json;

std::string Cell(const ordered_json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) return Printable(value.get<std::string>());
  return Printable(value.dump(-1, ' ', false, ordered_json::error_handler_t::replace));
}

bool IsObjectList(const ordered_json& value) {
  return value.is_array() &&
         std::all_of(value.begin(), value.end(), [](const auto& row) { return row.is_object(); });
}

/// Returns the number of characters of UTF-8 text, so that columns align.
std::size_t CharCount(const std::string& text) {
  return static_cast<std::size_t>(
      std::count_if(text.begin(), text.end(), [](char c) { return (c & 0xC0) != 0x80; }));
}

void PrintRows(std::ostream& out, const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const auto& row : rows) {
    for (std::size_t n = 0; n < row.size(); ++n) widths[n] = std::max(widths[n], CharCount(row[n]));
  }
  for (const auto& row : rows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      out << row[n];
      if (n + 1 < row.size()) out << std::string(widths[n] - CharCount(row[n]) + 2, ' ');
    }
    out << "\n";
  }
}

void PrintTable(std::ostream& out, const ordered_json& list) {
  std::vector<std::string> columns;
  for (const ordered_json& row : list) {
    for (const auto& [name, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  if (columns.empty()) {
    out << "(none)\n";
    return;
  }
  std::vector<std::vector<std::string>> rows = {{}};
  for (const std::string& name : columns) rows.front().push_back(Printable(name));
  for (const ordered_json& row : list) {
    rows.emplace_back();
    for (const std::string& name : columns) {
      rows.back().push_back(row.contains(name) ? Cell(row[name]) : "-");
    }
  }
  PrintRows(out, rows);
}

}  // namespace

std::string Printable(const std::string& text) {
  std::string result = text;
  for (char& c : result) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7F) c = '?';
  }
  return result;
}

void Print(std::ostream& out, OutputFormat format, const ordered_json& value) {
  if (format == OutputFormat::kTable && IsObjectList(value)) {
    PrintTable(out, value);
  } else if (format == OutputFormat::kTable && value.is_object() && !value.empty()) {
    std::vector<std::vector<std::string>> rows;
    for (const auto& [name, field] : value.items()) rows.push_back({Printable(name), Cell(field)});
    PrintRows(out, rows);
  } else {
    out << value.dump(2, ' ', false, ordered_json::error_handler_t::replace) << "\n";
  }
}

}  // namespace dogwoodport
