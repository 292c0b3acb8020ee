#pragma once

/// @file
/// Requests and responses as used by the routing logic and by messages between instances.

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Whether a target ran a request; `kUnknown` if it may have. The value of the `Dogwood-Run` field.
enum class RunState : std::uint8_t { kNo, kYes, kUnknown };

/// Returns "no", "yes" or "unknown". Complexity: constant.
std::string_view ToString(RunState run) noexcept;

/// A header field.
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
  MSGPACK_DEFINE_ARRAY(name, value)
};

/// Returns the value of the field `name`, compared case-insensitively, or null if it is absent.
/// Complexity: linear in `fields`.
const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name) noexcept;

/// Returns whether two field names are equal, compared case-insensitively. Complexity: linear.
bool FieldNamesEqual(std::string_view a, std::string_view b) noexcept;

/// A request as received from a caller.
struct Request {
  std::string method;
  /// Path and query as given on the request line.
  std::string uri;
  std::vector<HeaderField> fields;
  std::string body;

  friend bool operator==(const Request&, const Request&) = default;
  MSGPACK_DEFINE_ARRAY(method, uri, fields, body)
};

/// A response to a caller.
struct Answer {
  std::uint16_t status = 0;
  std::vector<HeaderField> fields;
  std::string body;

  friend bool operator==(const Answer&, const Answer&) = default;
  MSGPACK_DEFINE_ARRAY(status, fields, body)
};

/// A response and the run state reported in its `Dogwood-Run` field.
struct Reply {
  Answer answer;
  RunState run = RunState::kNo;
};

}  // namespace dogwoodport

MSGPACK_ADD_ENUM(dogwoodport::RunState)
