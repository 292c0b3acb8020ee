#pragma once

/// @file
/// Fingerprints that identify a request that is sent again under another request id.

#include <cstdint>
#include <string>

#include "dogwoodport/net/http_message.h"

namespace dogwoodport::fleet {

/// Hash of the parts of a request that are identical when it is sent again.
using Fingerprint = std::uint64_t;

/// Returns the fingerprint of the method, host, path with query, body and client account of a
/// request. `account` is empty on public routes. Complexity: linear in the length of the body.
Fingerprint FingerprintOf(const net::HttpRequest& request, const std::string& account);

/// Returns the fingerprint as sixteen hexadecimal digits, for logs and record keys.
std::string ToText(Fingerprint fingerprint);

}  // namespace dogwoodport::fleet
