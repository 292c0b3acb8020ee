#include "dogwoodport/net/http_parser.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <utility>

namespace dogwoodport::net {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using BeastText = boost::beast::string_view;

/// Maximum number of header fields of a response. A field occupies several times the bytes that the
/// shortest one has in a message.
constexpr std::size_t kMaxResponseFields = 1'000;

std::string_view ToStringView(BeastText text) noexcept { return {text.data(), text.size()}; }

/// Whether the header section in `data` contains a folded line. Line folding is obsolete (RFC 9112,
/// section 5.2), and implementations interpret it differently.
bool HasFoldedLine(std::string_view data) noexcept {
  const std::string_view head = data.substr(0, data.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

/// Collects the fields and the body; common to requests and responses.
template <bool kIsRequest>
class MessageCollector : public http::basic_parser<kIsRequest> {
 public:
  using Base = http::basic_parser<kIsRequest>;

  explicit MessageCollector(const MessageLimits& limits) : header_bytes(limits.header_bytes) {
    this->header_limit(limits.header_bytes);
    this->body_limit(limits.body_bytes);
    this->eager(true);
    if (limits.bodies) lease = BodyLeasePtr(new BodyLease(limits.bodies));
  }

  std::uint32_t header_bytes;
  Fields fields;
  std::string body;
  BodyLeasePtr lease;

 protected:
  void on_field_impl(http::field /*id*/, BeastText name, BeastText value,
                     error_code& /*ec*/) override {
    fields.Add(ToStringView(name), ToStringView(value));
  }
  void on_header_impl(error_code& /*ec*/) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         error_code& /*ec*/) override {}
  std::size_t on_body_impl(BeastText data, error_code& ec) override {
    const std::size_t size = body.size() + data.size();
    if (size > body.capacity()) {
      const std::size_t new_capacity = std::max(size, 2 * body.capacity());
      if (lease && !lease->Grow(new_capacity)) {
        ec = http::error::buffer_overflow;
        return 0;
      }
      body.reserve(new_capacity);
    }
    body.append(data.data(), data.size());
    return data.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, BeastText /*extensions*/,
                            error_code& /*ec*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, BeastText data,
                                 error_code& ec) override {
    return on_body_impl(data, ec);
  }
  void on_finish_impl(error_code& /*ec*/) override {}
};

/// Passes `data` to `parser` until all of it is consumed, the message is complete or the parser
/// fails. Returns the number of bytes consumed. Chunk headers and trailers are consumed only once
/// they are complete; they must not exceed the limit of the header section.
template <typename Parser>
std::size_t Feed(Parser& parser, std::string_view data, error_code& ec) {
  std::size_t used = 0;
  while (used < data.size() && !parser.is_done()) {
    const std::string_view rest = data.substr(used);
    used += parser.put(boost::asio::const_buffer(rest.data(), rest.size()), ec);
    if (ec) break;
  }
  if (ec == http::error::need_more) ec = {};
  if (!ec && !parser.is_done() && data.size() - used > parser.header_bytes) {
    ec = http::error::bad_chunk;
  }
  return used;
}

RequestFault FaultOf(const error_code& ec) {
  if (ec == http::error::header_limit) return {431, "the header section is too large"};
  if (ec == http::error::body_limit) return {413, "the body is too large"};
  if (ec == http::error::buffer_overflow) return {503, "there is no memory for the body now"};
  if (ec == http::error::bad_version) return {505, "the HTTP version is not supported"};
  return {400, "the request is malformed: " + ec.message()};
}

/// Splits "http://host/path" into host and path. Returns false if the target has another form.
bool SplitAbsoluteTarget(std::string& target, std::string& host) {
  constexpr std::string_view kScheme = "http://";
  const std::string_view text = target;
  if (!EqualNames(text.substr(0, kScheme.size()), kScheme)) return false;
  const std::size_t path = target.find('/', kScheme.size());
  host = target.substr(kScheme.size(),
                       path == std::string::npos ? std::string::npos : path - kScheme.size());
  target = path == std::string::npos ? "/" : target.substr(path);
  return !host.empty();
}

std::string WithoutPort(const std::string& host) {
  const std::size_t colon = host.rfind(':');
  const bool in_brackets = !host.empty() && host.back() == ']';
  return colon == std::string::npos || in_brackets ? host : host.substr(0, colon);
}

}  // namespace

class RequestParser::Impl final : public MessageCollector<true> {
 public:
  using MessageCollector::MessageCollector;

  HttpRequest request;
  std::optional<RequestFault> fault;
  bool expects_continue = false;
  /// HTTP version as Beast reports it: 10 for HTTP/1.0, 11 for HTTP/1.1.
  int http_version = 0;

  /// Applies the rules of RFC 9110 and RFC 9112 that Beast does not check.
  void CheckHead() {
    request.keep_alive = keep_alive();
    request.has_body = chunked() || content_length().value_or(0) > 0;
    if (request.method == "TRACE" || request.method == "CONNECT") {
      Fail(405, "the method is not supported");
    }
    const std::string* const coding = fields.Find("Transfer-Encoding");
    if (coding != nullptr && (!EqualNames(*coding, "chunked") || http_version < 11 ||
                              fields.Find("Content-Length") != nullptr)) {
      Fail(400, "the transfer coding is not supported or ambiguous");
    }
    if (fields.Count("Host") > 1) Fail(400, "there is more than one Host field");
    const std::string* const host = fields.Find("Host");
    if (http_version >= 11 && host == nullptr) Fail(400, "the Host field is missing");
    if (host != nullptr) request.host = *host;
    if (request.target.empty() || request.target[0] != '/') {
      if (!SplitAbsoluteTarget(request.target, request.host)) {
        Fail(400, "the request target is not a path");
      }
    }
    request.host = WithoutPort(request.host);
    const std::string* const expect = fields.Find("Expect");
    expects_continue = expect != nullptr && EqualNames(*expect, "100-continue");
  }

  void Fail(int status, std::string text) {
    if (!fault) fault = RequestFault{status, std::move(text)};
  }

 protected:
  void on_request_impl(http::verb /*verb*/, BeastText method, BeastText target, int version,
                       error_code& ec) override {
    if (version != 10 && version != 11) ec = http::error::bad_version;
    http_version = version;
    request.method = ToStringView(method);
    request.target = ToStringView(target);
  }
  void on_response_impl(int /*code*/, BeastText /*reason*/, int /*version*/,
                        error_code& /*ec*/) override {}
  void on_header_impl(error_code& /*ec*/) override { CheckHead(); }
};

RequestParser::RequestParser(const MessageLimits& limits) : impl_(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&&) noexcept = default;

std::size_t RequestParser::Put(std::string_view data) {
  if (!impl_->is_header_done() && HasFoldedLine(data)) {
    impl_->Fail(400, "a header field is folded over several lines");
    return data.size();
  }
  error_code ec;
  const std::size_t used = Feed(*impl_, data, ec);
  if (ec) {
    const RequestFault fault = FaultOf(ec);
    impl_->Fail(fault.status, fault.text);
  }
  return used;
}

bool RequestParser::complete() const noexcept { return impl_->is_done(); }
bool RequestParser::head_complete() const noexcept { return impl_->is_header_done(); }
const std::optional<RequestFault>& RequestParser::fault() const noexcept { return impl_->fault; }
bool RequestParser::expects_continue() const noexcept { return impl_->expects_continue; }

HttpRequest RequestParser::Take() {
  impl_->request.fields = std::move(impl_->fields);
  impl_->request.body = std::move(impl_->body);
  impl_->request.lease = std::move(impl_->lease);
  return std::move(impl_->request);
}

class ResponseParser::Impl final : public MessageCollector<false> {
 public:
  Impl(const MessageLimits& limits, bool is_head_request) : MessageCollector(limits) {
    skip(is_head_request);
  }

  int status = 0;
  bool failed = false;

 protected:
  void on_field_impl(http::field id, BeastText name, BeastText value, error_code& ec) override {
    if (fields.size() >= kMaxResponseFields) {
      ec = http::error::header_limit;
      return;
    }
    MessageCollector::on_field_impl(id, name, value, ec);
  }
  void on_request_impl(http::verb /*verb*/, BeastText /*method*/, BeastText /*target*/,
                       int /*version*/, error_code& /*ec*/) override {}
  void on_response_impl(int code, BeastText /*reason*/, int /*version*/,
                        error_code& /*ec*/) override {
    status = code;
  }
  void on_header_impl(error_code& ec) override {
    // With an unknown transfer coding, the end of the body is ambiguous.
    const std::string* const coding = fields.Find("Transfer-Encoding");
    if (coding != nullptr && !EqualNames(*coding, "chunked")) {
      ec = http::error::bad_transfer_encoding;
    }
  }
};

ResponseParser::ResponseParser(const MessageLimits& limits, bool is_head_request)
    : impl_(std::make_unique<Impl>(limits, is_head_request)) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&&) noexcept = default;

std::size_t ResponseParser::Put(std::string_view data) {
  error_code ec;
  const std::size_t used = Feed(*impl_, data, ec);
  if (ec) impl_->failed = true;
  return used;
}

void ResponseParser::PutEof() {
  if (!impl_->is_header_done()) {
    impl_->failed = true;
    return;
  }
  error_code ec;
  impl_->put_eof(ec);
  if (ec) impl_->failed = true;
}

bool ResponseParser::complete() const noexcept { return impl_->is_done() && !impl_->failed; }
bool ResponseParser::failed() const noexcept { return impl_->failed; }
bool ResponseParser::started() const noexcept { return impl_->got_some(); }

HttpResponse ResponseParser::Take() {
  HttpResponse response;
  response.status = impl_->status;
  response.keep_alive = impl_->keep_alive();
  response.fields = std::move(impl_->fields);
  response.body = std::move(impl_->body);
  response.lease = std::move(impl_->lease);
  return response;
}

}  // namespace dogwoodport::net
