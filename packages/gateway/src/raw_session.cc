#include "dogwoodport/gateway/detail/raw_session.h"

#include <array>
#include <charconv>

namespace dogwoodport::detail {
namespace {

std::size_t ParseLength(const std::string& text) {
  std::size_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec == std::errc::result_out_of_range) {
    throw FramingError(FramingFault::kTooLarge, "body too large");
  }
  if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
    throw FramingError(FramingFault::kMalformed, "malformed Content-Length");
  }
  return n;
}

}  // namespace

BodyFraming ReadFraming(const Poco::Net::HTTPMessage& header) {
  BodyFraming framing;
  bool coded = false;
  for (const auto& [name, value] : header) {
    if (FieldNamesEqual(name, "Content-Length")) {
      const std::size_t n = ParseLength(value);
      if (framing.length) throw FramingError(FramingFault::kMalformed, "two Content-Length fields");
      framing.length = n;
    } else if (FieldNamesEqual(name, "Transfer-Encoding")) {
      if (coded || !FieldNamesEqual(value, "chunked")) {
        throw FramingError(FramingFault::kMalformed, "unsupported Transfer-Encoding");
      }
      coded = true;
    }
  }
  if (coded && framing.length) {
    throw FramingError(FramingFault::kMalformed, "both Content-Length and Transfer-Encoding");
  }
  framing.chunked = coded;
  return framing;
}

std::vector<HeaderField> CopyFields(const Poco::Net::HTTPMessage& header, std::size_t& size) {
  std::vector<HeaderField> fields;
  fields.reserve(header.size());
  size = 0;
  for (const auto& [name, value] : header) {
    // A field takes ": " and the line end besides its name and value.
    size += name.size() + value.size() + 4;
    fields.push_back({name, value});
  }
  return fields;
}

bool IsHopByHop(std::string_view name) noexcept {
  constexpr std::array<std::string_view, 9> kNames = {
      "Connection",          "Keep-Alive", "Proxy-Authenticate",
      "Proxy-Authorization", "TE",         "Trailer",
      "Transfer-Encoding",   "Upgrade",    "Proxy-Connection"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [name](std::string_view n) { return FieldNamesEqual(n, name); });
}

}  // namespace dogwoodport::detail
