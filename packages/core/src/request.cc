#include "dogwoodport/core/request.h"

#include <algorithm>
#include <array>

namespace dogwoodport {
namespace {

char ToLower(char c) noexcept { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

}  // namespace

std::string_view ToString(RunState run) noexcept {
  constexpr std::array<std::string_view, 3> kNames = {"no", "yes", "unknown"};
  const auto index = static_cast<std::size_t>(run);
  return index < kNames.size() ? kNames[index] : "unknown";
}

bool FieldNamesEqual(std::string_view a, std::string_view b) noexcept {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name) noexcept {
  for (const HeaderField& field : fields) {
    if (FieldNamesEqual(field.name, name)) return &field.value;
  }
  return nullptr;
}

}  // namespace dogwoodport
