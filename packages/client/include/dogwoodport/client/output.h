#pragma once

/// @file
/// Tables and JSON on the client's output.

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace dogwoodport {

enum class OutputFormat { kTable, kJson };

/// Returns `text` with control characters replaced by '?', because names and reasons of others must
/// not act on the operator's terminal.
std::string Printable(const std::string& text);

/// Prints a list of objects as a table, an object as one line per field, anything else as JSON; or
/// all of it as JSON. Complexity: linear in the value.
void Print(std::ostream& out, OutputFormat format, const nlohmann::ordered_json& value);

}  // namespace dogwoodport
