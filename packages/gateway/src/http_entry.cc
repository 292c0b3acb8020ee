#include "dogwoodport/gateway/http_entry.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <sstream>

#include "dogwoodport/core/refusal.h"
#include "dogwoodport/gateway/detail/raw_session.h"
#include "dogwoodport/gateway/detail/socket_guard.h"

namespace dogwoodport {
namespace {

using detail::FramingError;
using detail::FramingFault;
using detail::SocketGuard;
using Poco::Net::StreamSocket;

/// Pending connections in the kernel's queue; those above the connection limit are refused by the
/// filter as they are accepted.
constexpr int kListenBacklog = 512;
/// Connections that were let in while a thread is still being released.
constexpr int kThreadReserve = 16;

Poco::Timespan ToTimespan(std::chrono::milliseconds t) {
  return Poco::Timespan(t.count() * Poco::Timespan::MILLISECONDS);
}

struct Shared {
  EntrySettings settings;
  std::string id_prefix;
  HttpEntry::Handler handler;
  SocketGuard guard;
  std::atomic<std::uint64_t> next_id{1};
  std::atomic<std::uint64_t> connections{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> broken{0};
  std::atomic<bool> draining{false};

  std::mutex mutex;
  std::condition_variable changed;
  std::size_t open = 0;
  /// Connections on which no request is being read or run.
  std::set<StreamSocket> idle;

  std::string NextId() { return id_prefix + "-" + std::to_string(next_id++); }
};

Reply RefuseFraming(const FramingError& e, const std::string& id) {
  switch (e.fault()) {
    case FramingFault::kTooLarge:
      return MakeRefusal(413, "body_too_large", e.what(), RunState::kNo, id);
    case FramingFault::kHeaderTooLarge:
      return MakeRefusal(431, "header_too_large", e.what(), RunState::kNo, id);
    case FramingFault::kMalformed:
    case FramingFault::kTruncated:
      break;
  }
  return MakeRefusal(400, "malformed_request", e.what(), RunState::kNo, id);
}

/// Returns the answer as the bytes of an HTTP/1.1 message.
std::string Serialize(const Reply& out, const std::string& id, bool keep_alive, bool head) {
  Poco::Net::HTTPResponse response;
  response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(out.answer.status));
  response.setReason(response.getReasonForStatus(response.getStatus()));
  for (const HeaderField& field : out.answer.fields) {
    if (detail::IsHopByHop(field.name) || FieldNamesEqual(field.name, "Content-Length")) continue;
    response.add(field.name, field.value);
  }
  response.set("Dogwood-Request-Id", id);
  response.set("Dogwood-Run", std::string(ToString(out.run)));
  response.setContentLength(static_cast<std::streamsize>(out.answer.body.size()));
  response.setKeepAlive(keep_alive);
  std::ostringstream text;
  response.write(text);
  return head ? text.str() : text.str() + out.answer.body;
}

/// One caller's connection.
class EntryConnection : public Poco::Net::TCPServerConnection {
 public:
  EntryConnection(const StreamSocket& socket, Shared& shared)
      : TCPServerConnection(socket), shared_(shared) {
    const std::lock_guard<std::mutex> lock(shared_.mutex);
    ++shared_.open;
  }

  ~EntryConnection() override {
    const std::lock_guard<std::mutex> lock(shared_.mutex);
    --shared_.open;
    shared_.changed.notify_all();
  }

  void run() override {
    try {
      Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
      params->setTimeout(ToTimespan(shared_.settings.idle_timeout));
      socket().setNoDelay(true);
      Session session(socket(), params);
      while (WaitForRequest(session) && ServeOne(session)) {
      }
      CloseGracefully();
    } catch (const Poco::Exception&) {  // NOLINT(bugprone-empty-catch)
      // The caller has left; nobody is there to be told.
    }
  }

 private:
  using Session = detail::RawSession<Poco::Net::HTTPServerSession>;

  /// Returns whether a request has begun to arrive.
  bool WaitForRequest(const Session& session) {
    if (session.HasBufferedBytes()) return true;
    {
      const std::lock_guard<std::mutex> lock(shared_.mutex);
      if (shared_.draining) return Readable(Poco::Timespan(0));
      shared_.idle.insert(socket());
    }
    const bool readable = Readable(ToTimespan(shared_.settings.idle_timeout));
    const std::lock_guard<std::mutex> lock(shared_.mutex);
    shared_.idle.erase(socket());
    return readable;
  }

  bool Readable(const Poco::Timespan& wait) {
    if (!socket().poll(wait, Poco::Net::Socket::SELECT_READ)) return false;
    char byte = 0;
    return socket().receiveBytes(&byte, 1, MSG_PEEK) > 0;
  }

  /// Reads one request and answers it. Returns whether the connection can be used further.
  bool ServeOne(Session& session) {
    EntryRequest in;
    in.request_id = shared_.NextId();
    in.received = std::chrono::steady_clock::now();
    in.caller_fd = static_cast<int>(socket().impl()->sockfd());
    bool keep_alive = true;
    const std::optional<Reply> fault = Read(session, in, keep_alive);
    const std::string id = in.request_id;
    const bool head = in.request.method == "HEAD";
    if (fault) {
      ++shared_.broken;
      Write(*fault, id, false, head);
      return false;
    }
    ++shared_.requests;
    const Reply out = Handle(std::move(in));
    keep_alive = keep_alive && !shared_.draining;
    Write(out, id, keep_alive, head);
    return keep_alive;
  }

  Reply Handle(EntryRequest in) {
    const std::string id = in.request_id;
    try {
      return shared_.handler(std::move(in));
    } catch (const std::exception&) {
      return MakeRefusal(500, "internal", "internal error", RunState::kUnknown, id);
    }
  }

  /// Fills `in`; returns a refusal when the input is broken.
  std::optional<Reply> Read(Session& session, EntryRequest& in, bool& keep_alive) {
    const auto start = std::chrono::steady_clock::now();
    auto verdict = SocketGuard::Verdict::kNone;
    try {
      Poco::Net::HTTPRequest header;
      {
        const SocketGuard::Watch watch(shared_.guard, socket(),
                                       start + shared_.settings.header_timeout,
                                       SocketGuard::Direction::kReceive);
        const VerdictOnExit keep(watch, verdict);
        session.ReadHeader(header);
      }
      CopyHeader(header, in.request);
      keep_alive = header.getKeepAlive();
      const detail::BodyFraming framing = detail::ReadFraming(header);
      if (header.getExpectContinue()) SendContinue();
      const SocketGuard::Watch watch(shared_.guard, socket(), start + shared_.settings.body_timeout,
                                     SocketGuard::Direction::kReceive);
      const VerdictOnExit keep(watch, verdict);
      in.request.body = session.ReadBody(framing, shared_.settings.max_body_bytes);
      return std::nullopt;
    } catch (const FramingError& e) {
      if (verdict == SocketGuard::Verdict::kDeadline) return Slow(in.request_id);
      return RefuseFraming(e, in.request_id);
    } catch (const Poco::Exception& e) {
      if (verdict == SocketGuard::Verdict::kDeadline) return Slow(in.request_id);
      return RefuseFraming(FramingError(FramingFault::kMalformed, e.message()), in.request_id);
    }
  }

  /// Keeps the verdict of a watch that ends by an exception.
  class VerdictOnExit {
   public:
    VerdictOnExit(const SocketGuard::Watch& watch, SocketGuard::Verdict& out)
        : watch_(watch), out_(out) {}
    ~VerdictOnExit() { out_ = watch_.verdict(); }
    VerdictOnExit(const VerdictOnExit&) = delete;
    VerdictOnExit& operator=(const VerdictOnExit&) = delete;

   private:
    const SocketGuard::Watch& watch_;
    SocketGuard::Verdict& out_;
  };

  static Reply Slow(const std::string& id) {
    return MakeRefusal(408, "request_timeout", "the request did not arrive in time", RunState::kNo,
                       id);
  }

  void CopyHeader(const Poco::Net::HTTPRequest& header, Request& out) const {
    std::size_t size = 0;
    out.method = header.getMethod();
    out.uri = header.getURI();
    out.fields = detail::CopyFields(header, size);
    if (size + out.uri.size() > shared_.settings.max_header_bytes) {
      throw FramingError(FramingFault::kHeaderTooLarge, "header too large");
    }
    if (out.uri.empty() || out.uri.front() != '/') {
      throw FramingError(FramingFault::kMalformed, "the request target is not a path");
    }
  }

  void SendContinue() {
    const std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    socket().sendBytes(text.data(), static_cast<int>(text.size()));
  }

  void Write(const Reply& out, const std::string& id, bool keep_alive, bool head) {
    const std::string bytes = Serialize(out, id, keep_alive, head);
    const SocketGuard::Watch watch(
        shared_.guard, socket(), std::chrono::steady_clock::now() + shared_.settings.write_timeout,
        SocketGuard::Direction::kBoth);
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const int n = socket().sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
      if (n <= 0) throw Poco::Net::ConnectionAbortedException();
      sent += static_cast<std::size_t>(n);
    }
  }

  /// Closes so that the answer reaches a caller that is still sending: a close with unread input
  /// makes the kernel send a reset, which discards the answer at the caller.
  void CloseGracefully() {
    socket().shutdownSend();
    socket().setReceiveTimeout(Poco::Timespan(100 * Poco::Timespan::MILLISECONDS));
    const SocketGuard::Watch watch(shared_.guard, socket(),
                                   std::chrono::steady_clock::now() + std::chrono::seconds(1),
                                   SocketGuard::Direction::kBoth);
    std::array<char, 4096> buf{};
    while (socket().receiveBytes(buf.data(), static_cast<int>(buf.size())) > 0) {
    }
  }

  Shared& shared_;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit ConnectionFactory(Shared& shared) : shared_(shared) {}
  Poco::Net::TCPServerConnection* createConnection(const StreamSocket& socket) override {
    return new EntryConnection(socket, shared_);
  }

 private:
  Shared& shared_;
};

/// Refuses connections above the limit with a short answer.
class ConnectionLimit : public Poco::Net::TCPServerConnectionFilter {
 public:
  explicit ConnectionLimit(Shared& shared) : shared_(shared) {}

  bool accept(const StreamSocket& socket) override {
    {
      const std::lock_guard<std::mutex> lock(shared_.mutex);
      if (shared_.open < shared_.settings.max_connections && !shared_.draining) {
        ++shared_.connections;
        return true;
      }
    }
    ++shared_.refused;
    Refuse(socket);
    return false;
  }

 private:
  void Refuse(StreamSocket socket) {
    const std::string id = shared_.NextId();
    const std::string bytes =
        Serialize(MakeRefusal(503, "too_many_connections", "the connection limit is reached",
                              RunState::kNo, id, Duration(1'000'000)),
                  id, false, false);
    try {
      // The answer fits the send buffer of a new connection, so this does not block.
      socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      socket.shutdownSend();
    } catch (const Poco::Exception&) {
      return;  // The caller has left.
    }
    // A close with unread input makes the kernel send a reset, which discards the answer at the
    // caller. So the socket is closed only when later refusals push it out.
    refused_.push_back(std::move(socket));
    if (refused_.size() > kMaxRefusedSockets) refused_.pop_front();
  }

  static constexpr std::size_t kMaxRefusedSockets = 64;

  Shared& shared_;
  /// Used by the accepting thread only.
  std::deque<StreamSocket> refused_;
};

Poco::Net::ServerSocket Bind(const EntrySettings& settings) {
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(settings.host, settings.port), true);
    socket.listen(kListenBacklog);
    return socket;
  } catch (const Poco::Exception& e) {
    throw GatewayError("can't listen on " + settings.host + ":" + std::to_string(settings.port) +
                       ": " + e.displayText());
  }
}

}  // namespace

class HttpEntry::Impl {
 public:
  Impl(EntrySettings settings, std::string id_prefix, Handler handler)
      : shared_{std::move(settings), std::move(id_prefix), std::move(handler)},
        socket_(Bind(shared_.settings)),
        pool_(2, static_cast<int>(shared_.settings.max_connections) + kThreadReserve),
        server_(new ConnectionFactory(shared_), pool_, socket_, Params(shared_.settings)) {
    server_.setConnectionFilter(new ConnectionLimit(shared_));
    server_.start();
  }

  ~Impl() {
    Drain(std::chrono::milliseconds(0));
    pool_.joinAll();
  }

  std::uint16_t port() const { return socket_.address().port(); }

  bool Drain(std::chrono::milliseconds limit) {
    shared_.draining = true;
    server_.stop();
    std::unique_lock<std::mutex> lock(shared_.mutex);
    for (StreamSocket socket : shared_.idle) {
      try {
        socket.shutdownReceive();
      } catch (const Poco::Exception&) {  // NOLINT(bugprone-empty-catch)
        // The caller has closed it already.
      }
    }
    return shared_.changed.wait_for(lock, limit, [this] { return shared_.open == 0; });
  }

  EntryCounters counters() {
    const std::lock_guard<std::mutex> lock(shared_.mutex);
    return {shared_.connections, shared_.open, shared_.refused, shared_.requests, shared_.broken};
  }

 private:
  static Poco::Net::TCPServerParams::Ptr Params(const EntrySettings& settings) {
    Poco::Net::TCPServerParams::Ptr params(new Poco::Net::TCPServerParams);
    params->setMaxThreads(static_cast<int>(settings.max_connections) + kThreadReserve);
    params->setMaxQueued(static_cast<int>(settings.max_connections));
    return params;
  }

  Shared shared_;
  Poco::Net::ServerSocket socket_;
  Poco::ThreadPool pool_;
  Poco::Net::TCPServer server_;
};

HttpEntry::HttpEntry(EntrySettings settings, std::string id_prefix, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(id_prefix), std::move(handler))) {
}
HttpEntry::~HttpEntry() = default;

std::uint16_t HttpEntry::port() const noexcept { return impl_->port(); }
bool HttpEntry::Drain(std::chrono::milliseconds limit) { return impl_->Drain(limit); }
EntryCounters HttpEntry::counters() const { return impl_->counters(); }

}  // namespace dogwoodport
