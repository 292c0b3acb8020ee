#pragma once

#include <string>
#include <string_view>

namespace dogwoodport::detail {

/// Maximum nesting depth of lists and objects in documents, records and snapshots. The JSON library
/// serialises and compares values recursively, so unbounded nesting could exhaust the stack.
inline constexpr int kMaxJsonDepth = 32;

/// Returns whether the nesting depth of the JSON `text` exceeds `kMaxJsonDepth`. Complexity:
/// linear.
inline bool NestsTooDeep(std::string_view text) noexcept {
  int depth = 0;
  bool in_string = false;
  for (std::size_t n = 0; n < text.size(); ++n) {
    const char c = text[n];
    if (in_string) {
      if (c == '\\') ++n;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace dogwoodport::detail
