#include "dogwoodport/net/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <ostream>

namespace dogwoodport::net {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {"connection",
                                                       "keep-alive",
                                                       "proxy-connection",
                                                       "proxy-authenticate",
                                                       "proxy-authorization",
                                                       "te",
                                                       "trailer",
                                                       "transfer-encoding",
                                                       "upgrade"};

boost::beast::string_view ToBeastView(std::string_view text) noexcept {
  return {text.data(), text.size()};
}

}  // namespace

bool EqualNames(std::string_view a, std::string_view b) noexcept {
  return boost::beast::iequals(ToBeastView(a), ToBeastView(b));
}

const std::string* Fields::Find(std::string_view name) const noexcept {
  for (const Field& field : items_) {
    if (EqualNames(field.name, name)) return &field.value;
  }
  return nullptr;
}

std::size_t Fields::Count(std::string_view name) const noexcept {
  return static_cast<std::size_t>(std::count_if(
      items_.begin(), items_.end(), [&](const Field& f) { return EqualNames(f.name, name); }));
}

bool IsHopByHop(std::string_view name, std::string_view connection) noexcept {
  for (const std::string_view known : kHopByHop) {
    if (EqualNames(name, known)) return true;
  }
  return !connection.empty() &&
         boost::beast::http::token_list(ToBeastView(connection)).exists(ToBeastView(name));
}

Fields EndToEndFields(const Fields& fields,
                      const std::function<bool(std::string_view)>& is_end_to_end) {
  std::string options;
  for (const Field& it : fields) {
    if (EqualNames(it.name, "Connection")) options.append(it.value).append(",");
  }
  Fields result;
  for (const Field& it : fields) {
    const bool cannot_be_named = EqualNames(it.name, "Host") || is_end_to_end(it.name);
    if (!IsHopByHop(it.name, cannot_be_named ? "" : options)) result.Add(it.name, it.value);
  }
  return result;
}

std::string_view ReasonPhrase(int status) noexcept {
  const auto text =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  return {text.data(), text.size()};
}

}  // namespace dogwoodport::net
