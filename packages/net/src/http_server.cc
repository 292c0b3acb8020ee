#include "dogwoodport/net/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "dogwoodport/net/http_status.h"
#include "dogwoodport/net/net_error.h"

namespace dogwoodport::net {
namespace {

/// Length of the queue of connections waiting to be accepted.
constexpr int kBacklog = 512;
/// Connections accepted per round, so that a burst of new ones does not delay open requests.
constexpr int kAcceptsPerRound = 16;
/// Maximum number of connections examined for one to evict when the limit is reached.
constexpr int kMaxEvictionAttempts = 32;
/// Percentages of the connection limit from which connections are closed after a refusal, and after
/// any response.
constexpr std::size_t kCloseAfterRefusalPercent = 40;
constexpr std::size_t kCloseAfterAnyResponsePercent = 80;

std::string Serialise(const HttpResponse& response, bool is_head_request, bool last, bool close) {
  std::string out;
  out.reserve(256 + response.body.size());
  out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  out.append(ReasonPhrase(response.status)).append("\r\n");
  const std::string* const connection = response.fields.Find("Connection");
  const std::string_view connection_options =
      connection == nullptr ? std::string_view() : *connection;
  const std::string* length = nullptr;
  for (const Field& field : response.fields) {
    if (EqualNames(field.name, "Content-Length")) {
      length = &field.value;
      continue;
    }
    if (IsHopByHop(field.name, connection_options)) continue;
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  const bool bodiless = response.status == 204 || response.status == 304;
  if (is_head_request && length != nullptr) {
    out.append("Content-Length: ").append(*length).append("\r\n");
  } else if (!bodiless) {
    out.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
  }
  if (last && close) out.append("Connection: close\r\n");
  out.append("\r\n");
  if (!is_head_request && !bodiless) out.append(response.body);
  return out;
}

}  // namespace

Exchange::Exchange(boost::intrusive_ptr<ServerConnection> connection, HttpRequest request,
                   TimePoint now)
    : connection_(std::move(connection)), request_(std::move(request)), received_at_(now) {}

void Exchange::Respond(HttpResponse response) {
  if (responded_) return;
  responded_ = true;
  response_ = std::move(response);
  on_abandoned_ = nullptr;
  const auto connection = std::exchange(connection_, nullptr);
  if (connection) connection->SendReadyResponses();
}

HttpServer::HttpServer(EventLoop& loop, const std::string& address, RequestHandler on_request,
                       FaultHandler on_fault)
    : loop_(loop), on_request_(std::move(on_request)), on_fault_(std::move(on_fault)) {
  try {
    socket_.bind(Poco::Net::SocketAddress(address), true);
    socket_.listen(kBacklog);
    socket_.setBlocking(false);
    socket_.setOption(IPPROTO_TCP, TCP_NODELAY, 1);  // Inherited by accepted sockets.
  } catch (const Poco::Exception& e) {
    throw NetError("cannot listen on " + address + ": " + e.displayText());
  }
  loop_.Watch(socket_, Poco::Net::PollSet::POLL_READ, this);
}

HttpServer::~HttpServer() {
  loop_.Unwatch(socket_);
  while (!connections_.empty()) connections_.front().Detach();
}

void HttpServer::OnReadable() {
  for (int i = 0; i < kAcceptsPerRound; ++i) {
    const int fd = accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;  // No connection is pending, or descriptors are exhausted.
    const Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(fd));
    if (connections_.size() >= limits_.max_connections && !EvictIdleConnection()) continue;
    const boost::intrusive_ptr<ServerConnection> connection(new ServerConnection(*this, socket));
    intrusive_ptr_add_ref(connection.get());  // The list holds a reference until `Remove`.
    connections_.push_back(*connection);
  }
}

bool HttpServer::EvictIdleConnection() {
  int attempts = 0;
  for (auto it = connections_.begin(); it != connections_.end() && attempts < kMaxEvictionAttempts;
       ++attempts) {
    ServerConnection& connection = *it++;
    if (connection.CloseIfIdle()) return true;
  }
  return false;
}

bool HttpServer::ShouldClose(bool refused) const noexcept {
  const std::size_t percent = refused ? kCloseAfterRefusalPercent : kCloseAfterAnyResponsePercent;
  return draining_ || connections_.size() * 100 >= limits_.max_connections * percent;
}

void HttpServer::Drain() {
  draining_ = true;
  for (auto it = connections_.begin(); it != connections_.end();) {
    ServerConnection& connection = *it++;
    connection.CloseIfIdle();
  }
}

void HttpServer::ForgetSentStreams() {
  unsent_.erase(std::remove_if(unsent_.begin(), unsent_.end(),
                               [](const StreamPtr& it) { return !it->open() || it->flushed(); }),
                unsent_.end());
}

bool HttpServer::HasUnsentResponses() {
  ForgetSentStreams();
  return !unsent_.empty();
}

ServerConnection::ServerConnection(HttpServer& server, const Poco::Net::StreamSocket& socket)
    : server_(&server), parser_(server.limits_.message), last_activity_(server.loop_.now()) {
  stream_ = StreamPtr(new Stream(server.loop_, socket, this));
  ArmTimer();
}

void ServerConnection::Detach() {
  for (const ExchangePtr& it : exchanges_) it->connection_ = nullptr;
  Remove();
}

void ServerConnection::Remove() {
  if (server_ == nullptr) return;
  HttpServer* const server = std::exchange(server_, nullptr);
  server->loop_.Cancel(timer_);
  server->open_requests_ -= exchanges_.size();
  server->connections_.erase(server->connections_.iterator_to(*this));
  stream_->CloseAfterFlush(caller_finished_);
  if (stream_->open() && !stream_->flushed()) {
    server->ForgetSentStreams();
    server->unsent_.push_back(stream_);
  }
  exchanges_.clear();
  intrusive_ptr_release(this);
}

bool ServerConnection::CloseIfIdle() {
  if (!exchanges_.empty() || reading_since_ || !stream_->input().empty()) return false;
  // A request that has arrived must get a response even if it has not been read yet.
  if (stream_->HasUnreadInput()) return false;
  Remove();
  return true;
}

void ServerConnection::MarkActive() {
  last_activity_ = server_->loop_.now();
  HttpServer::Connections& all = server_->connections_;
  all.splice(all.end(), all, HttpServer::Connections::s_iterator_to(*this));
}

Duration ServerConnection::ReadTimeout() const {
  const ServerLimits& limits = server_->limits_;
  return parser_.head_complete() ? limits.body_timeout : limits.header_timeout;
}

void ServerConnection::ArmTimer() {
  const ServerLimits& limits = server_->limits_;
  const TimePoint due =
      reading_since_ ? *reading_since_ + ReadTimeout() : last_activity_ + limits.idle_timeout;
  server_->loop_.Cancel(timer_);
  timer_ = server_->loop_.RunAt(due, [this] {
    timer_ = TimerId{};
    OnTimer();
  });
}

void ServerConnection::OnTimer() {
  const boost::intrusive_ptr<ServerConnection> lifetime_guard(this);
  const TimePoint now = server_->loop_.now();
  if (reading_since_ && now >= *reading_since_ + ReadTimeout()) {
    RespondToFault({408, parser_.head_complete() ? "the body did not arrive in time"
                                                 : "the header section did not arrive in time"});
    return;
  }
  const bool is_sending = stream_->sent_bytes() != sent_bytes_;
  sent_bytes_ = stream_->sent_bytes();
  if (is_sending && !stream_->flushed()) last_activity_ = now;
  const bool idle = exchanges_.empty() && !stream_->HasUnreadInput();
  if (idle && now >= last_activity_ + server_->limits_.idle_timeout) {
    Remove();
    return;
  }
  if (!exchanges_.empty()) last_activity_ = now;
  ArmTimer();
}

void ServerConnection::OnInput() {
  const boost::intrusive_ptr<ServerConnection> lifetime_guard(this);
  MarkActive();
  ReadRequests();
}

void ServerConnection::ReadRequests() {
  if (in_read_loop_) return;
  in_read_loop_ = true;
  const boost::intrusive_ptr<ServerConnection> lifetime_guard(this);
  while (server_ != nullptr && !stop_reading_ && !stream_->input().empty() &&
         exchanges_.size() < server_->limits_.pipeline_depth) {
    const bool first_bytes = !reading_since_;
    if (first_bytes) reading_since_ = server_->loop_.now();
    const std::size_t used = parser_.Put(stream_->input());
    stream_->input().erase(0, used);
    if (parser_.fault()) {
      RespondToFault(*parser_.fault());
      break;
    }
    if (!parser_.complete()) {
      if (parser_.head_complete() && parser_.expects_continue() && !continue_sent_ &&
          exchanges_.empty()) {
        continue_sent_ = true;
        stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      if (first_bytes) ArmTimer();
      break;
    }
    StartRequest();
  }
  in_read_loop_ = false;
}

void ServerConnection::StartRequest() {
  HttpRequest request = parser_.Take();
  parser_ = RequestParser(server_->limits_.message);
  reading_since_.reset();
  continue_sent_ = false;
  caller_finished_ = !request.keep_alive;
  stop_reading_ = caller_finished_ || server_->draining_;
  const ExchangePtr exchange(new Exchange(this, std::move(request), server_->loop_.now()));
  exchanges_.push_back(exchange);
  ++server_->open_requests_;
  server_->on_request_(exchange);
}

void ServerConnection::RespondToFault(const RequestFault& fault) {
  stop_reading_ = true;
  const ExchangePtr exchange(new Exchange(this, HttpRequest{}, server_->loop_.now()));
  exchanges_.push_back(exchange);
  ++server_->open_requests_;
  exchange->Respond(server_->on_fault_(fault));
}

void ServerConnection::SendReadyResponses() {
  const boost::intrusive_ptr<ServerConnection> lifetime_guard(this);
  if (server_ == nullptr) return;
  while (!exchanges_.empty() && exchanges_.front()->responded()) {
    const ExchangePtr exchange = exchanges_.front();
    exchanges_.pop_front();
    --server_->open_requests_;
    const int code = exchange->response_.status;
    const bool refused = code == status::kTooManyRequests || code == status::kUnavailable;
    if (server_->ShouldClose(refused)) stop_reading_ = true;
    const bool last = exchanges_.empty() && stop_reading_;
    stream_->Write(
        Serialise(exchange->response_, exchange->request().method == "HEAD", last, stop_reading_));
    if (last) {
      Remove();
      return;
    }
  }
  last_activity_ = server_->loop_.now();
  ReadRequests();
  if (server_ != nullptr) stream_->SetReading(true);
}

void ServerConnection::OnEnd(StreamEnd /*end*/) {
  const boost::intrusive_ptr<ServerConnection> lifetime_guard(this);
  const std::deque<ExchangePtr> open = exchanges_;
  Remove();
  for (const ExchangePtr& it : open) {
    it->abandoned_ = true;
    it->connection_ = nullptr;
    if (const auto callback = std::exchange(it->on_abandoned_, nullptr)) callback();
  }
}

}  // namespace dogwoodport::net
