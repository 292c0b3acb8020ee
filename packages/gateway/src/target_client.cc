#include "dogwoodport/gateway/target_client.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

#include "dogwoodport/gateway/detail/raw_session.h"
#include "dogwoodport/gateway/detail/socket_guard.h"

namespace dogwoodport {
namespace {

using detail::FramingError;
using detail::FramingFault;
using detail::SocketGuard;
using Clock = std::chrono::steady_clock;

/// Maximum number of exchanges without success whose ids a connection keeps. It is closed
/// afterwards.
constexpr std::size_t kMaxUnsuccessfulExchanges = 256;

bool IsSuccess(int status) noexcept { return status >= 200 && status < 300; }

Poco::Timespan ToTimespan(Clock::duration t) {
  return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(t).count());
}

/// One connection to a target. Writes go straight to the socket: `HTTPClientSession::write` sends a
/// request again on a new connection when the first write fails, which must never happen here.
class TargetConnection : public detail::RawSession<Poco::Net::HTTPClientSession> {
 public:
  explicit TargetConnection(const TargetAddress& target) : RawSession(target.host, target.port) {}

  void Connect(Clock::duration timeout) {
    setTimeout(ToTimespan(timeout), Poco::Timespan(60, 0), Poco::Timespan(60, 0));
    connect(Poco::Net::SocketAddress(getHost(), getPort()));
    socket().setNoDelay(true);
  }

  void SendAll(std::string_view bytes) {
    while (!bytes.empty()) {
      // The override of HTTPClientSession reconnects and would send the bytes a second time.
      // NOLINTNEXTLINE(bugprone-parent-virtual-call)
      const int n = HTTPSession::write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
      if (n <= 0) throw Poco::Net::ConnectionAbortedException();
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  /// Returns whether nothing has arrived since the last answer. Bytes or an end of the connection
  /// at this point mean a late or crossed answer, or a target that has closed.
  bool Quiet() {
    return !HasBufferedBytes() && !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }

  void AddUnsuccessful(std::string_view request_id) {
    unsuccessful_exchanges_.push_back(std::hash<std::string_view>()(request_id));
  }

  /// Returns whether another answer that is no success may follow.
  bool HasRoomForUnsuccessful() const noexcept {
    return unsuccessful_exchanges_.size() < kMaxUnsuccessfulExchanges;
  }

  /// Returns whether an answer that was no success, and a copy of which would count as that to
  /// `exchange`, has been received here: an answer to the same request, or any if the answer to
  /// `exchange` need not name it.
  bool MayRepeatAnswerTo(const Exchange& exchange) const {
    if (!exchange.check_request_id) return !unsuccessful_exchanges_.empty();
    const std::size_t hash = std::hash<std::string_view>()(exchange.request_id);
    return std::find(unsuccessful_exchanges_.begin(), unsuccessful_exchanges_.end(), hash) !=
           unsuccessful_exchanges_.end();
  }

  Clock::time_point idle_since;

 private:
  /// Hashes of the ids of exchanges whose answer was no success.
  std::vector<std::size_t> unsuccessful_exchanges_;
};

using ConnectionPtr = std::unique_ptr<TargetConnection>;

std::string Serialize(const Exchange& exchange) {
  const Request& in = exchange.request;
  Poco::Net::HTTPRequest header(in.method, in.uri, Poco::Net::HTTPMessage::HTTP_1_1);
  for (const HeaderField& field : in.fields) {
    if (detail::IsHopByHop(field.name) || FieldNamesEqual(field.name, "Content-Length") ||
        FieldNamesEqual(field.name, "Host") || FieldNamesEqual(field.name, "Expect")) {
      continue;
    }
    header.add(field.name, field.value);
  }
  header.setHost(exchange.target.host, exchange.target.port);
  header.setContentLength(static_cast<std::streamsize>(in.body.size()));
  header.setKeepAlive(true);
  std::ostringstream text;
  header.write(text);
  return text.str() + in.body;
}

bool HasNoBody(const Request& request, int status) {
  return request.method == "HEAD" || status == 204 || status == 304 || status < 200;
}

ExchangeFault FaultOf(const FramingError& e) {
  switch (e.fault()) {
    case FramingFault::kTruncated:
      return ExchangeFault::kTruncated;
    case FramingFault::kTooLarge:
    case FramingFault::kHeaderTooLarge:
      return ExchangeFault::kTooLarge;
    case FramingFault::kMalformed:
      break;
  }
  return ExchangeFault::kMalformed;
}

}  // namespace

std::string_view ToString(ExchangeFault fault) noexcept {
  constexpr std::array<std::string_view, 8> kNames = {"not_allowed", "connect_failed", "timeout",
                                                      "truncated",   "malformed",      "too_large",
                                                      "crossed",     "caller_left"};
  return kNames[static_cast<std::size_t>(fault)];
}

class TargetClient::Impl {
 public:
  explicit Impl(TargetClientSettings settings) : settings_(settings) {}

  ExchangeResult Run(const Exchange& exchange) {
    ++exchanges_;
    ExchangeResult result = TryRun(exchange);
    if (std::holds_alternative<ExchangeFailure>(result)) ++failures_;
    return result;
  }

  bool RefusesConnections(const TargetAddress& target) const {
    try {
      Poco::Net::StreamSocket socket;
      socket.connect(Poco::Net::SocketAddress(target.host, target.port),
                     ToTimespan(settings_.connect_timeout));
      return false;
    } catch (const Poco::Net::ConnectionRefusedException&) {
      return true;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  void CloseIdle(const TargetAddress& target) {
    std::deque<ConnectionPtr> closed;
    const std::lock_guard<std::mutex> lock(mutex_);
    closed.swap(idle_[target]);
  }

  std::size_t idle_connections(const TargetAddress& target) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = idle_.find(target);
    return it == idle_.end() ? 0 : it->second.size();
  }

  TargetClientCounters counters() const { return {connects_, exchanges_, failures_}; }

 private:
  /// What is known about an exchange while it runs.
  struct Progress {
    RunState run = RunState::kNo;
    bool new_connection = false;
    /// The whole answer was read and the connection can carry another request.
    bool reusable = false;
  };

  ExchangeResult TryRun(const Exchange& exchange) {
    Progress progress;
    ConnectionPtr connection = exchange.force_new_connection ? nullptr : TakeIdle(exchange);
    progress.new_connection = connection == nullptr;
    if (!connection) {
      connection = std::make_unique<TargetConnection>(exchange.target);
      const Clock::duration left = exchange.deadline - Clock::now();
      if (left <= Clock::duration::zero()) {
        return Fail(ExchangeFault::kTimeout, progress, "the deadline has passed");
      }
      try {
        ++connects_;
        connection->Connect(std::min<Clock::duration>(left, settings_.connect_timeout));
      } catch (const Poco::Exception& e) {
        return Fail(ExchangeFault::kConnectFailed, progress, e.displayText());
      }
    }
    // The connection goes back only after its watch has ended, which could still shut it down.
    ExchangeResult result = Talk(exchange, *connection, progress);
    if (progress.reusable) PutIdle(exchange.target, std::move(connection));
    return result;
  }

  ExchangeResult Talk(const Exchange& exchange, TargetConnection& connection, Progress& progress) {
    const SocketGuard::Watch watch(guard_, connection.socket(), exchange.deadline,
                                   SocketGuard::Direction::kBoth, exchange.caller_fd,
                                   exchange.cancelled);
    try {
      const std::string bytes = Serialize(exchange);
      if (!exchange.may_send()) return Fail(ExchangeFault::kNotAllowed, progress, "not allowed");
      const Clock::time_point start = Clock::now();
      progress.run = RunState::kUnknown;
      connection.SendAll(bytes);
      return Receive(exchange, connection, progress, start, watch);
    } catch (const FramingError& e) {
      return FailWatched(watch, FaultOf(e), progress, e.what());
    } catch (const Poco::Net::MessageException& e) {
      // An end of the connection before the status line also arrives as this type.
      const bool ended = dynamic_cast<const Poco::Net::NoMessageException*>(&e) != nullptr;
      return FailWatched(watch, ended ? ExchangeFault::kTruncated : ExchangeFault::kMalformed,
                         progress, e.displayText());
    } catch (const Poco::SyntaxException& e) {
      return FailWatched(watch, ExchangeFault::kMalformed, progress, e.displayText());
    } catch (const Poco::Exception& e) {
      return FailWatched(watch, ExchangeFault::kTruncated, progress, e.displayText());
    }
  }

  ExchangeResult Receive(const Exchange& exchange, TargetConnection& connection, Progress& progress,
                         Clock::time_point start, const SocketGuard::Watch& watch) {
    Poco::Net::HTTPResponse header;
    do {
      header.clear();
      connection.ReadHeader(header);
    } while (header.getStatus() == Poco::Net::HTTPResponse::HTTP_CONTINUE);
    ExchangeAnswer out;
    std::size_t size = 0;
    out.answer.status = static_cast<std::uint16_t>(header.getStatus());
    out.answer.fields = detail::CopyFields(header, size);
    const std::string* id = FindField(out.answer.fields, "Dogwood-Request-Id");
    if (exchange.check_request_id && (id == nullptr || *id != exchange.request_id)) {
      return Fail(ExchangeFault::kCrossed, progress, "the answer belongs to another request");
    }
    progress.run = RunState::kYes;
    if (size > settings_.max_header_bytes) {
      return Fail(ExchangeFault::kTooLarge, progress, "header too large");
    }
    const detail::BodyFraming framing = detail::ReadFraming(header);
    if (!HasNoBody(exchange.request, out.answer.status)) {
      if (!framing.chunked && !framing.length) {
        // The end of such a body can't be told from a broken connection.
        return Fail(ExchangeFault::kMalformed, progress, "the answer states no length");
      }
      out.answer.body = connection.ReadBody(framing, settings_.max_answer_bytes);
    }
    out.new_connection = progress.new_connection;
    out.latency = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start);
    const bool success = IsSuccess(out.answer.status);
    if (!success) connection.AddUnsuccessful(exchange.request_id);
    // A copy of an answer that names no request would count as that to the next exchange.
    const bool may_be_confused = !exchange.check_request_id && !success;
    progress.reusable = header.getKeepAlive() && !may_be_confused &&
                        connection.HasRoomForUnsuccessful() &&
                        watch.verdict() == SocketGuard::Verdict::kNone;
    return out;
  }

  static ExchangeFailure Fail(ExchangeFault fault, const Progress& progress, std::string text) {
    return {fault, progress.run, progress.new_connection, std::move(text)};
  }

  static ExchangeFailure FailWatched(const SocketGuard::Watch& watch, ExchangeFault fault,
                                     const Progress& progress, std::string text) {
    switch (watch.verdict()) {
      case SocketGuard::Verdict::kDeadline:
        return Fail(ExchangeFault::kTimeout, progress, "no whole answer before the deadline");
      case SocketGuard::Verdict::kCallerLeft:
        return Fail(ExchangeFault::kCallerLeft, progress, "the caller has left");
      case SocketGuard::Verdict::kNone:
        break;
    }
    return Fail(fault, progress, std::move(text));
  }

  /// Returns an idle connection that may not repeat an answer to the request, or nullptr.
  ConnectionPtr TakeIdle(const Exchange& exchange) {
    std::deque<ConnectionPtr> closed;
    const Clock::time_point oldest = Clock::now() - settings_.max_idle_time;
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<ConnectionPtr>& list = idle_[exchange.target];
    for (;;) {
      // The most recently used connection is taken, so that surplus ones age and are closed.
      const auto it = std::find_if(list.rbegin(), list.rend(), [&](const ConnectionPtr& idle) {
        return !idle->MayRepeatAnswerTo(exchange);
      });
      if (it == list.rend()) return nullptr;
      ConnectionPtr connection = std::move(*it);
      list.erase(std::next(it).base());
      if (connection->idle_since >= oldest && connection->Quiet()) return connection;
      closed.push_back(std::move(connection));
    }
  }

  void PutIdle(const TargetAddress& target, ConnectionPtr connection) {
    connection->idle_since = Clock::now();
    if (!connection->Quiet()) return;
    ConnectionPtr closed;
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<ConnectionPtr>& list = idle_[target];
    list.push_back(std::move(connection));
    const bool over = list.size() > settings_.max_idle_per_target;
    if (over || list.front()->idle_since < Clock::now() - settings_.max_idle_time) {
      closed = std::move(list.front());
      list.pop_front();
    }
  }

  TargetClientSettings settings_;
  SocketGuard guard_;
  mutable std::mutex mutex_;
  std::map<TargetAddress, std::deque<ConnectionPtr>> idle_;
  std::atomic<std::uint64_t> connects_{0};
  std::atomic<std::uint64_t> exchanges_{0};
  std::atomic<std::uint64_t> failures_{0};
};

TargetClient::TargetClient(TargetClientSettings settings)
    : impl_(std::make_unique<Impl>(settings)) {}
TargetClient::~TargetClient() = default;

ExchangeResult TargetClient::Run(const Exchange& exchange) { return impl_->Run(exchange); }
bool TargetClient::RefusesConnections(const TargetAddress& target) const {
  return impl_->RefusesConnections(target);
}
void TargetClient::CloseIdle(const TargetAddress& target) { impl_->CloseIdle(target); }
std::size_t TargetClient::idle_connections(const TargetAddress& target) const {
  return impl_->idle_connections(target);
}
TargetClientCounters TargetClient::counters() const { return impl_->counters(); }

}  // namespace dogwoodport
