#pragma once

/// @file
/// Refusals as sent to callers.

#include <cstdint>
#include <string>

#include "dogwoodport/core/request.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Builds a refusal with the JSON body `{"code","message","run","request_id"}`. Complexity: linear
/// in the length of the strings.
/// @param retry_after value of the `Retry-After` field, rounded up to whole seconds; the field is
/// omitted if this is zero.
///
/// @code
/// return MakeRefusal(404, "unknown_route", "no route matches this path", RunState::kNo, id);
/// @endcode
Reply MakeRefusal(std::uint16_t status, const std::string& code, const std::string& message,
                  RunState run, const std::string& request_id, Duration retry_after = Duration(0));

}  // namespace dogwoodport
