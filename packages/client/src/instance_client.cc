#include "dogwoodport/client/instance_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <istream>

#include "dogwoodport/client/client_error.h"

namespace dogwoodport {
namespace {

using nlohmann::ordered_json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t kMaxPageBytes = 64'000'000;

std::string ReadPage(std::istream& in, const std::string& name) {
  std::string body;
  std::array<char, 16384> buf;
  while (in.read(buf.data(), buf.size()) || in.gcount() > 0) {
    body.append(buf.data(), static_cast<std::size_t>(in.gcount()));
    if (body.size() > kMaxPageBytes) {
      throw ClientError(ExitStatus::kFailed, name + ": the page is larger than 64 MB");
    }
  }
  return body;
}

ordered_json ParsePage(int status, const std::string& body, const std::string& name) {
  ordered_json page = ordered_json::parse(body, nullptr, false);
  if (status == HTTPResponse::HTTP_OK && !page.is_discarded()) return page;
  if (status == HTTPResponse::HTTP_OK) {
    throw ClientError(ExitStatus::kFailed, name + ": the page is not JSON");
  }
  std::string text = name + ": responded with status " + std::to_string(status);
  if (page.is_object() && page.contains("message") && page["message"].is_string()) {
    text += ": " + page["message"].get<std::string>();
  }
  throw ClientError(ExitStatus::kFailed, text);
}

}  // namespace

ordered_json HttpInstanceClient::Get(const InstanceAddress& instance, const std::string& path) {
  try {
    Poco::Net::HTTPClientSession session(instance.host, instance.port);
    session.setTimeout(Poco::Timespan(timeout_.count()));
    HTTPRequest request(HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
    if (!secret_.empty()) request.set("Authorization", "Bearer " + secret_);
    session.sendRequest(request);
    HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    const std::string body = ReadPage(in, instance.name);
    return ParsePage(response.getStatus(), body, instance.name);
  } catch (const Poco::Exception& e) {
    std::throw_with_nested(
        ClientError(ExitStatus::kUnreachable, instance.name + ": " + e.displayText()));
  }
}

std::string EncodeQueryValue(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "!#$%&'()*+,/:;=?@[]", encoded);
  return encoded;
}

}  // namespace dogwoodport
