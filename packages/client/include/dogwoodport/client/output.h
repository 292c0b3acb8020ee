#pragma once

/// @file
/// Prints results as tables or JSON.

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace dogwoodport {

enum class OutputFormat { kTable, kJson };

/// Returns `text` with control characters replaced by '?', so that names and reasons entered by
/// others cannot send control sequences to the operator's terminal.
std::string Printable(const std::string& text);

/// Prints `value` in the given format. The table format prints a list of objects as a table, an
/// object as one line per field and any other value as JSON. Complexity: linear in the size of the
/// value.
void Print(std::ostream& out, OutputFormat format, const nlohmann::ordered_json& value);

}  // namespace dogwoodport
