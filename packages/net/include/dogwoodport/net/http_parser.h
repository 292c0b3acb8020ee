#pragma once

/// @file
/// Incremental HTTP/1.1 parsers on top of Boost.Beast. They also reject messages with ambiguous
/// framing, which another HTTP implementation could split differently (request smuggling).

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodport/net/http_message.h"

namespace dogwoodport::net {

/// Size limits of a message, in bytes.
struct MessageLimits {
  /// Limit of the header section, and of each chunk header and the trailers of a chunked body.
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 64ULL * 1024 * 1024;
  /// Memory budget shared by the bodies of all messages; null for no shared budget.
  BodyBudgetPtr bodies;
};

/// Reason why a request cannot be parsed: the response status and a message for people.
struct RequestFault {
  int status = 400;
  std::string text;
};

/// Parses one request.
///
/// @code
/// RequestParser parser(limits);
/// const std::size_t n = parser.Put(buffer);
/// buffer.erase(0, n);
/// if (parser.complete()) Handle(parser.Take());
/// @endcode
class RequestParser {
 public:
  explicit RequestParser(const MessageLimits& limits);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  /// Parses `data` and returns the number of bytes consumed. Bytes after the end of the message are
  /// not consumed.
  std::size_t Put(std::string_view data);

  bool complete() const noexcept;
  /// Whether the header section has been parsed.
  bool head_complete() const noexcept;
  /// The error, if the request cannot be parsed.
  const std::optional<RequestFault>& fault() const noexcept;
  /// Whether the client waits for "100 Continue" before it sends the body.
  bool expects_continue() const noexcept;
  HttpRequest Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Parses one response.
class ResponseParser {
 public:
  /// `is_head_request` must be set for the response to a HEAD request, which has no body.
  ResponseParser(const MessageLimits& limits, bool is_head_request);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  std::size_t Put(std::string_view data);
  /// Signals an orderly close by the peer, which ends a body of unspecified length.
  void PutEof();

  bool complete() const noexcept;
  bool failed() const noexcept;
  /// Whether any byte of a response has been parsed.
  bool started() const noexcept;
  HttpResponse Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodport::net
