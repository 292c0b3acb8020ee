#pragma once

/// @file
/// Reading of whole HTTP/1.1 messages. POCO's body streams end a truncated body like a complete
/// one, so the framing is checked here.

#include <Poco/Exception.h>
#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPSession.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodport/core/request.h"
#include "dogwoodport/gateway/gateway_error.h"

namespace dogwoodport::detail {

/// Kinds of broken messages.
enum class FramingFault { kMalformed, kTruncated, kTooLarge, kHeaderTooLarge };

/// A message on a connection that can't be read to its end.
class FramingError : public GatewayError {
 public:
  FramingError(FramingFault fault, const std::string& text) : GatewayError(text), fault_(fault) {}
  FramingFault fault() const noexcept { return fault_; }

 private:
  FramingFault fault_;
};

/// How a body is delimited.
struct BodyFraming {
  bool chunked = false;
  std::optional<std::size_t> length;
};

/// Reads the framing from the header.
/// @throws FramingError on contradictory or malformed fields: two lengths, a length together with a
/// transfer coding, a coding other than chunked. They make two parties disagree where a message
/// ends.
BodyFraming ReadFraming(const Poco::Net::HTTPMessage& header);

/// Returns the fields of a header as plain values, and their total size in `size`.
std::vector<HeaderField> CopyFields(const Poco::Net::HTTPMessage& header, std::size_t& size);

/// Returns whether `name` is a field of one connection only, which is not passed on.
bool IsHopByHop(std::string_view name) noexcept;

/// Adds whole-message reading to one of POCO's session classes.
template <typename Base>
class RawSession : public Base {
 public:
  using Base::Base;

  /// Reads a request line or status line with its fields.
  /// @throws Poco::Exception on malformed input or a broken connection.
  template <typename Header>
  void ReadHeader(Header& header) {
    Poco::Net::HTTPHeaderInputStream stream(*this);
    header.read(stream);
  }

  /// Reads a body of at most `limit` bytes.
  /// @throws FramingError when it is broken or longer than `limit`.
  std::string ReadBody(const BodyFraming& framing, std::size_t limit) {
    std::string body;
    if (framing.chunked) {
      ReadChunks(body, limit);
    } else if (framing.length) {
      if (*framing.length > limit) throw FramingError(FramingFault::kTooLarge, "body too large");
      Append(body, *framing.length);
    }
    return body;
  }

  /// Returns whether bytes after the last message were read already.
  bool HasBufferedBytes() const { return this->buffered() > 0; }

 private:
  static constexpr std::size_t kStep = 65536;
  static constexpr std::size_t kMaxLine = 1024;

  void Append(std::string& body, std::size_t n) {
    while (n > 0) {
      const std::size_t old = body.size();
      const std::size_t step = std::min(n, kStep);
      body.resize(old + step);
      const int got = this->read(body.data() + old, static_cast<std::streamsize>(step));
      if (got <= 0) throw FramingError(FramingFault::kTruncated, "body truncated");
      body.resize(old + static_cast<std::size_t>(got));
      n -= static_cast<std::size_t>(got);
    }
  }

  std::string ReadLine() {
    std::string line;
    for (;;) {
      const int ch = this->get();
      if (ch < 0) throw FramingError(FramingFault::kTruncated, "body truncated");
      if (ch == '\n') break;
      line.push_back(static_cast<char>(ch));
      if (line.size() > kMaxLine) throw FramingError(FramingFault::kMalformed, "long chunk line");
    }
    if (!line.empty() && line.back() == '\r') line.pop_back();
    return line;
  }

  static std::size_t ParseChunkSize(const std::string& line) {
    std::size_t digits = 0;
    std::size_t size = 0;
    for (; digits < line.size() && std::isxdigit(static_cast<unsigned char>(line[digits])) != 0;
         ++digits) {
      if (digits >= 8) throw FramingError(FramingFault::kTooLarge, "chunk too large");
      size = size * 16 + static_cast<std::size_t>(std::stoi(line.substr(digits, 1), nullptr, 16));
    }
    if (digits == 0 || (digits < line.size() && line[digits] != ';' && line[digits] != ' ')) {
      throw FramingError(FramingFault::kMalformed, "malformed chunk size");
    }
    return size;
  }

  void ReadChunks(std::string& body, std::size_t limit) {
    for (;;) {
      const std::size_t size = ParseChunkSize(ReadLine());
      if (size == 0) break;
      if (body.size() + size > limit) throw FramingError(FramingFault::kTooLarge, "body too large");
      Append(body, size);
      if (!ReadLine().empty()) throw FramingError(FramingFault::kMalformed, "malformed chunk end");
    }
    // Trailer fields are read and dropped; their number is bounded like that of a chunk line.
    for (std::size_t n = 0; !ReadLine().empty(); ++n) {
      if (n > 32) throw FramingError(FramingFault::kMalformed, "too many trailer fields");
    }
  }
};

}  // namespace dogwoodport::detail
