#pragma once

/// @file
/// HTTP messages as the rest of the program sees them.

#include <string>
#include <string_view>
#include <vector>

#include "dogwoodport/net/body_budget.h"

namespace dogwoodport::net {

/// One header field.
struct Field {
  std::string name;
  std::string value;
};

/// Header fields in their order of arrival.
class Fields {
 public:
  void Add(std::string_view name, std::string_view value) {
    items_.push_back({std::string(name), std::string(value)});
  }
  /// Returns the first field called `name` (any case), or nullptr. Complexity: linear.
  const std::string* Find(std::string_view name) const noexcept;
  /// Returns the number of fields called `name`. Complexity: linear.
  std::size_t Count(std::string_view name) const noexcept;

  auto begin() const noexcept { return items_.begin(); }
  auto end() const noexcept { return items_.end(); }

 private:
  std::vector<Field> items_;
};

/// A complete request.
struct HttpRequest {
  std::string method;
  /// Path and query as received; an absolute-form target is reduced to them.
  std::string target;
  /// Host without the port.
  std::string host;
  Fields fields;
  std::string body;
  /// Memory that the body takes, if it is counted.
  BodyLeasePtr lease;
  bool has_body = false;
  bool keep_alive = true;
};

/// A complete response.
struct HttpResponse {
  int status = 0;
  Fields fields;
  std::string body;
  /// Memory that the body takes, if it is counted.
  BodyLeasePtr lease;
  /// False when the sender will not use the connection again.
  bool keep_alive = true;
};

/// Whether two field names are equal in any case.
bool EqualNames(std::string_view a, std::string_view b) noexcept;

/// Whether a field concerns one connection only and is not forwarded. `connection` is the value of
/// the Connection field, which may name further ones.
bool IsHopByHop(std::string_view name, std::string_view connection) noexcept;

/// Returns the standard reason phrase, or an empty text for an unknown status.
std::string_view ReasonPhrase(int status) noexcept;

}  // namespace dogwoodport::net
