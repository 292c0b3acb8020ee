#include "dogwoodport/log_service/http_log_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timespan.h>

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

namespace dogwoodport {
namespace {

using nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

Poco::Timespan ToTimespan(Duration duration) { return Poco::Timespan(duration.count()); }

[[noreturn]] void ThrowMalformed(const std::string& what) {
  throw LogServiceError(LogFailure::kMalformed, "malformed answer of the log service: " + what);
}

/// Reads at most `limit` bytes.
std::string ReadBody(std::istream& in, std::size_t limit) {
  std::string body;
  std::array<char, 16384> buf;
  while (in.read(buf.data(), buf.size()) || in.gcount() > 0) {
    body.append(buf.data(), static_cast<std::size_t>(in.gcount()));
    if (body.size() > limit) ThrowMalformed("more than " + std::to_string(limit) + " bytes");
  }
  return body;
}

template <typename Read>
auto ParseAnswer(const std::string& body, Read read) {
  try {
    return read(json::parse(body));
  } catch (const json::exception& e) {
    ThrowMalformed(e.what());
  }
}

std::uint64_t ReadOffset(const json& in, const char* name) {
  const json& value = in.at(name);
  if (!value.is_number_unsigned()) ThrowMalformed(std::string(name) + " is not an offset");
  return value.get<std::uint64_t>();
}

}  // namespace

struct HttpLogService::Answer {
  int status = 0;
  std::string body;
};

HttpLogService::Answer HttpLogService::Call(const std::string& method, const std::string& path,
                                            const std::string& body) const {
  bool sent = false;
  try {
    Poco::Net::HTTPClientSession session(settings_.host, settings_.port);
    session.setTimeout(ToTimespan(settings_.connect_timeout), ToTimespan(settings_.answer_timeout),
                       ToTimespan(settings_.answer_timeout));
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.setContentType("application/json");
    std::ostream& out = session.sendRequest(request);
    sent = true;
    out << body << std::flush;
    HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    Answer answer{response.getStatus(), ReadBody(in, settings_.max_answer_bytes)};
    const bool cut = response.hasContentLength() &&
                     answer.body.size() != static_cast<std::size_t>(response.getContentLength64());
    if (cut) ThrowMalformed("the answer is cut off");
    return answer;
  } catch (const Poco::Exception& e) {
    const auto failure = sent ? LogFailure::kResponseLost : LogFailure::kUnreachable;
    std::throw_with_nested(LogServiceError(failure, "log service: " + e.displayText()));
  }
}

std::string HttpLogService::RecordsPath() const { return "/v1/logs/" + settings_.log + "/records"; }

std::uint64_t HttpLogService::Append(const std::vector<std::string>& records) {
  const json body = {{"records", records}};
  const Answer answer = Call(HTTPRequest::HTTP_POST, RecordsPath(),
                             body.dump(-1, ' ', false, json::error_handler_t::replace));
  if (answer.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
    throw LogServiceError(LogFailure::kUnreachable, "the log service refused the append");
  }
  if (answer.status != HTTPResponse::HTTP_OK) {
    throw LogServiceError(LogFailure::kResponseLost,
                          "the append was answered with status " + std::to_string(answer.status));
  }
  return ParseAnswer(answer.body, [](const json& in) { return ReadOffset(in, "offset"); });
}

LogPage HttpLogService::Read(std::uint64_t from, std::uint32_t max) {
  const Answer answer =
      Call(HTTPRequest::HTTP_GET,
           RecordsPath() + "?from=" + std::to_string(from) + "&max=" + std::to_string(max), "");
  if (answer.status == HTTPResponse::HTTP_GONE) {
    throw LogServiceError(LogFailure::kExpired,
                          "offset " + std::to_string(from) + " is no longer retained");
  }
  if (answer.status != HTTPResponse::HTTP_OK) {
    throw LogServiceError(LogFailure::kUnreachable,
                          "the read was answered with status " + std::to_string(answer.status));
  }
  return ParseAnswer(answer.body, [](const json& in) {
    LogPage page{ReadOffset(in, "first_retained"), ReadOffset(in, "next"), {}};
    for (const json& record : in.at("records")) {
      page.records.push_back({ReadOffset(record, "offset"), record.at("data").get<std::string>()});
    }
    return page;
  });
}

std::uint64_t HttpLogService::FirstRetained() {
  // A read that asks for nothing from the far end returns the bounds whatever is retained.
  return Read(kBeyondLogEnd, 0).first_retained;
}

std::vector<ListedInstance> HttpLogService::ListInstances() {
  const Answer answer = Call(HTTPRequest::HTTP_GET, "/v1/instances", "");
  if (answer.status != HTTPResponse::HTTP_OK) {
    throw LogServiceError(LogFailure::kUnreachable,
                          "the list was answered with status " + std::to_string(answer.status));
  }
  return ParseAnswer(answer.body, [](const json& in) {
    std::vector<ListedInstance> list;
    for (const json& entry : in.at("instances")) {
      const auto state = entry.at("state").get<std::string>();
      if (state != "live" && state != "leaving") ThrowMalformed("unknown state '" + state + "'");
      list.push_back({entry.at("id").get<std::string>(), entry.at("data_centre").get<std::string>(),
                      state == "live" ? ListedState::kLive : ListedState::kLeaving});
    }
    return list;
  });
}

}  // namespace dogwoodport
