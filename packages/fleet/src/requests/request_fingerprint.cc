#include "dogwoodport/fleet/requests/request_fingerprint.h"

#include <array>
#include <cstdio>

#include "dogwoodport/core/types.h"

namespace dogwoodport::fleet {

Fingerprint FingerprintOf(const net::HttpRequest& request, const std::string& account) {
  // None of these parts contains a line feed, so the boundaries between them are unambiguous.
  std::string head;
  for (const std::string& it : {request.method, request.host, request.target, account}) {
    head.append(it).append("\n");
  }
  head += ToText(dogwoodport::detail::HashText(request.body));
  return dogwoodport::detail::HashText(head);
}

std::string ToText(Fingerprint fingerprint) {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
  return buf.data();
}

}  // namespace dogwoodport::fleet
