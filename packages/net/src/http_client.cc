#include "dogwoodport/net/http_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace dogwoodport::net {
namespace {

constexpr std::array<const char*, 5> kFailureNames = {"not_connected", "stale", "broken",
                                                      "malformed", "rejected"};
/// Maximum number of interim responses and responses to other requests per call. Beyond it the call
/// fails and the connection is closed.
constexpr int kMaxSkippedResponses = 16;

/// Maximum number of calls without success whose ids a connection keeps. It is closed afterwards.
constexpr std::size_t kMaxUnsuccessfulCalls = 256;

/// Returns the value of "timeout=N" (seconds) in the Keep-Alive field, or zero if there is none.
Duration KeepAliveTimeout(const Fields& fields) {
  const std::string* const value = fields.Find("Keep-Alive");
  if (value == nullptr) return Duration{0};
  const std::size_t at = value->find("timeout=");
  if (at == std::string::npos) return Duration{0};
  std::int64_t seconds = 0;
  const char* const begin = value->data() + at + std::string_view("timeout=").size();
  std::from_chars(begin, value->data() + value->size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

const char* NameOf(CallFailure failure) noexcept {
  return kFailureNames[static_cast<std::size_t>(failure)];
}

std::string ToBytes(const HttpRequest& request) { return ToBytes(request, request.body); }

std::string ToBytes(const HttpRequest& request, std::string_view body) {
  std::string out;
  out.reserve(512 + body.size());
  out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  const std::string* const connection = request.fields.Find("Connection");
  const std::string_view connection_options =
      connection == nullptr ? std::string_view() : *connection;
  bool had_length = false;
  for (const Field& field : request.fields) {
    if (EqualNames(field.name, "Content-Length")) {
      had_length = true;
      continue;
    }
    if (EqualNames(field.name, "Expect") || IsHopByHop(field.name, connection_options)) continue;
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  if (had_length || request.has_body) {
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  }
  out.append("\r\n").append(body);
  return out;
}

ClientConnection::ClientConnection(EventLoop& loop, std::string address, std::uint64_t number,
                                   MessageLimits limits, ConnectionEvents events)
    : loop_(loop),
      address_(std::move(address)),
      number_(number),
      limits_(std::move(limits)),
      events_(std::move(events)),
      parser_(limits_, false),
      idle_since_(loop.now()) {}

ClientConnection::~ClientConnection() {
  if (stream_) stream_->Close();
}

void ClientConnection::Open() { stream_ = StreamPtr(new Stream(loop_, address_, this)); }

void ClientConnection::Send(std::string_view bytes, bool is_head_request, CallHandler* handler,
                            std::string_view call_id) {
  handler_ = handler;
  ++calls_;
  has_call_id_ = !call_id.empty();
  call_id_hash_ = std::hash<std::string_view>()(call_id);
  is_head_request_ = is_head_request;
  skipped_responses_ = 0;
  parser_ = ResponseParser(limits_, is_head_request);
  sent_bytes_before_call_ = stream_->sent_bytes();
  if (stream_->connected()) {
    stream_->Write(bytes);
  } else {
    unsent_request_ = bytes;
  }
}

bool ClientConnection::MayRepeatResponseTo(std::string_view call_id) const {
  if (unsuccessful_calls_.empty()) return false;
  const std::size_t hash = std::hash<std::string_view>()(call_id);
  return std::find(unsuccessful_calls_.begin(), unsuccessful_calls_.end(), hash) !=
         unsuccessful_calls_.end();
}

bool ClientConnection::any_sent() const noexcept {
  return stream_ && stream_->sent_bytes() > sent_bytes_before_call_;
}

void ClientConnection::Abort() {
  // Reset, because the peer must not receive the rest of an aborted call.
  if (handler_ != nullptr && stream_) stream_->Reset();
  handler_ = nullptr;
  Close();
}

void ClientConnection::OnConnected() {
  if (unsent_request_.empty()) return;
  stream_->Write(unsent_request_);
  unsent_request_.clear();
}

bool ClientConnection::NextResponse() {
  std::string& input = stream_->input();
  const std::size_t used = parser_.Put(input);
  input.erase(0, used);
  return parser_.complete();
}

void ClientConnection::OnInput() {
  const ClientConnectionPtr lifetime_guard(this);
  if (handler_ == nullptr) {
    if (events_.on_unsolicited) events_.on_unsolicited(this);
    Close();
    return;
  }
  while (handler_ != nullptr && NextResponse()) {
    HttpResponse response = parser_.Take();
    const bool interim = response.status >= 100 && response.status < 200;
    const ResponseMatch match = interim ? ResponseMatch::kForeign : handler_->Match(response);
    if (match != ResponseMatch::kForeign) {
      Finish(std::move(response), match);
      return;
    }
    if (!interim) saw_foreign_response_ = true;
    if (!interim && !response.keep_alive) {
      Fail(CallFailure::kBroken);
      return;
    }
    if (++skipped_responses_ > kMaxSkippedResponses) {
      Fail(CallFailure::kMalformed);
      return;
    }
    parser_ = ResponseParser(limits_, is_head_request_);
  }
  if (parser_.failed()) Fail(CallFailure::kMalformed);
}

void ClientConnection::Finish(HttpResponse response, ResponseMatch match) {
  CallHandler* const handler = std::exchange(handler_, nullptr);
  const Duration limit = KeepAliveTimeout(response.fields);
  if (limit > Duration{0}) peer_idle_limit_ = limit;
  idle_since_ = loop_.now();
  const bool success = handler->IsSuccess(response);
  if (has_call_id_ && !success) unsuccessful_calls_.push_back(call_id_hash_);
  const bool may_be_confused = match == ResponseMatch::kUnidentified && !success;
  const bool reusable = response.keep_alive && !may_be_confused && stream_->open() &&
                        stream_->input().empty() && stream_->flushed() && !saw_foreign_response_ &&
                        unsuccessful_calls_.size() < kMaxUnsuccessfulCalls;
  handler->OnResponse(std::move(response));
  if (!reusable) {
    Close();
  } else if (handler_ == nullptr && open()) {
    events_.on_idle(this);
  }
}

void ClientConnection::Fail(CallFailure failure) {
  CallHandler* const handler = std::exchange(handler_, nullptr);
  Close();
  if (handler != nullptr) handler->OnFailure(failure);
}

void ClientConnection::Close() {
  if (stream_) stream_->Close();
  if (events_.on_closed) {
    const ClientConnectionPtr lifetime_guard(this);
    const auto on_closed = std::exchange(events_.on_closed, nullptr);
    on_closed(this);
  }
}

void ClientConnection::OnEnd(StreamEnd end) {
  const ClientConnectionPtr lifetime_guard(this);
  if (end == StreamEnd::kNotConnected) {
    Fail(CallFailure::kNotConnected);
    return;
  }
  if (handler_ != nullptr && end == StreamEnd::kClosed && parser_.started()) {
    parser_.PutEof();
    if (parser_.complete()) {
      HttpResponse response = parser_.Take();
      response.keep_alive = false;
      const ResponseMatch match = handler_->Match(response);
      if (match != ResponseMatch::kForeign) {
        Finish(std::move(response), match);
        return;
      }
    }
    Fail(CallFailure::kMalformed);
    return;
  }
  const bool is_first_call = sent_bytes_before_call_ == 0;
  const bool rejected = end == StreamEnd::kReset && is_first_call && !parser_.started();
  if (rejected && any_sent()) {
    Fail(CallFailure::kRejected);
    return;
  }
  Fail(any_sent() ? CallFailure::kBroken : CallFailure::kStale);
}

}  // namespace dogwoodport::net
