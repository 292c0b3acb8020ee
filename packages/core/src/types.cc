#include "dogwoodport/core/types.h"

#include <xxhash.h>

namespace dogwoodport {

std::uint64_t detail::HashText(std::string_view text) noexcept {
  return XXH3_64bits(text.data(), text.size());
}

std::string ToString(const Epoch& epoch) {
  return std::to_string(epoch.delegation) + "." + std::to_string(epoch.counter);
}

}  // namespace dogwoodport
