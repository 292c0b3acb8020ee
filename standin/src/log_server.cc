#include "dogwoodport/standin/log_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <iterator>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "dogwoodport/log_service/memory_log_service.h"

namespace dogwoodport::standin {
namespace {

using nlohmann::json;
using Poco::Net::HTTPResponse;

constexpr int kMaxThreads = 64;
constexpr std::uint32_t kMaxRecordsPerRead = 10'000;

/// Status and body of an answer.
struct Answer {
  HTTPResponse::HTTPStatus status = HTTPResponse::HTTP_OK;
  json body = json::object();
  /// The connection is closed in place of an answer.
  bool lost = false;
};

Answer Fault(HTTPResponse::HTTPStatus status, const std::string& message) {
  return {status, {{"message", message}}};
}

}  // namespace

class LogServer::Impl : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit Impl(const LogServerSettings& settings)
      : retained_(settings.retained),
        threads_(2, kMaxThreads),
        socket_(Poco::Net::SocketAddress("127.0.0.1", settings.port)) {
    auto* params = new Poco::Net::HTTPServerParams;  // Counted by the server.
    params->setMaxThreads(kMaxThreads);
    params->setKeepAlive(false);
    // The factory pointer of the server deletes its target, so it gets a forwarding one.
    server_ =
        std::make_unique<Poco::Net::HTTPServer>(new Forward(*this), threads_, socket_, params);
    server_->start();
  }

  ~Impl() override { server_->stopAll(true); }

  std::uint16_t port() const { return socket_.address().port(); }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new Handler(*this);
  }

  Answer Handle(Poco::Net::HTTPServerRequest& request) {
    const Poco::URI uri(request.getURI());
    std::vector<std::string> path;
    uri.getPathSegments(path);
    const std::string body(std::istreambuf_iterator<char>(request.stream()), {});
    const std::string& method = request.getMethod();
    if (!path.empty() && path[0] == "control") return Control(path, json::parse(body));
    if (path == std::vector<std::string>{"v1", "instances"}) return Instances(method, body);
    const bool records =
        path.size() == 4 && path[0] == "v1" && path[1] == "logs" && path[3] == "records";
    if (!records) return Fault(HTTPResponse::HTTP_NOT_FOUND, "unknown path");
    if (method == "POST") return Append(path[2], json::parse(body));
    return Read(path[2], uri);
  }

 private:
  class Handler : public Poco::Net::HTTPRequestHandler {
   public:
    explicit Handler(Impl& impl) : impl_(impl) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
      Answer answer;
      try {
        answer = impl_.Handle(request);
      } catch (const LogServiceError& e) {
        answer = FromError(e);
      } catch (const std::exception& e) {
        answer = Fault(HTTPResponse::HTTP_BAD_REQUEST, e.what());
      }
      if (answer.lost) {
        // The detached socket closes at the end of the statement, without a byte of an answer.
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).detachSocket();
        return;
      }
      const std::string body = answer.body.dump();
      response.setStatusAndReason(answer.status);
      response.setContentType("application/json");
      response.sendBuffer(body.data(), body.size());
    }

   private:
    static Answer FromError(const LogServiceError& e) {
      switch (e.failure()) {
        case LogFailure::kExpired:
          return Fault(HTTPResponse::HTTP_GONE, e.what());
        case LogFailure::kResponseLost: {
          Answer answer;
          answer.lost = true;
          return answer;
        }
        default:
          return Fault(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, e.what());
      }
    }

    Impl& impl_;
  };

  class Forward : public Poco::Net::HTTPRequestHandlerFactory {
   public:
    explicit Forward(Impl& impl) : impl_(impl) {}

    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest& request) override {
      return impl_.createRequestHandler(request);
    }

   private:
    Impl& impl_;
  };

  MemoryLogService& Log(const std::string& name) {
    const std::scoped_lock lock(mutex_);
    auto& log = logs_[name];
    if (!log) {
      log = std::make_unique<MemoryLogService>(retained_);
      log->SetFaults(faults_);
    }
    return *log;
  }

  /// Waits as long as answers are late. Half of it is before the action, half after it.
  void Delay(MemoryLogService& log) { std::this_thread::sleep_for(log.faults().delay / 2); }

  Answer Append(const std::string& name, const json& in) {
    const auto records = in.at("records").get<std::vector<std::string>>();
    MemoryLogService& log = Log(name);
    Delay(log);
    const std::uint64_t offset = log.Append(records);
    Delay(log);
    return {HTTPResponse::HTTP_OK, {{"offset", offset}}};
  }

  Answer Read(const std::string& name, const Poco::URI& uri) {
    std::uint64_t from = 0;
    std::uint32_t max = 100;
    for (const auto& [key, value] : uri.getQueryParameters()) {
      if (key == "from") from = std::stoull(value);
      if (key == "max") {
        max = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(std::stoul(value), kMaxRecordsPerRead));
      }
    }
    MemoryLogService& log = Log(name);
    Delay(log);
    const LogPage page = log.Read(from, max);
    Delay(log);
    json records = json::array();
    for (const LogRecord& record : page.records) {
      records.push_back({{"offset", record.offset}, {"data", record.data}});
    }
    return {HTTPResponse::HTTP_OK,
            {{"first_retained", page.first_retained},
             {"next", page.next},
             {"records", std::move(records)}}};
  }

  Answer Instances(const std::string& method, const std::string& body) {
    if (method == "PUT") {
      const json in = json::parse(body);
      const std::scoped_lock lock(mutex_);
      instances_ = in.at("instances");
      return {};
    }
    const std::scoped_lock lock(mutex_);
    if (faults_.down) return Fault(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the platform is down");
    return {HTTPResponse::HTTP_OK, {{"instances", instances_}}};
  }

  Answer Control(const std::vector<std::string>& path, const json& in) {
    const std::string what = path.size() == 2 ? path[1] : "";
    if (what == "faults") {
      SetFaults(in);
    } else if (what == "retained") {
      const std::scoped_lock lock(mutex_);
      retained_ = in.at("records").get<std::size_t>();
      for (auto& [name, log] : logs_) log->SetRetained(retained_);
    } else if (what == "hole") {
      Log(in.at("log").get<std::string>()).MakeHole(in.at("offset").get<std::uint64_t>());
    } else {
      return Fault(HTTPResponse::HTTP_NOT_FOUND, "unknown control");
    }
    return {};
  }

  void SetFaults(const json& in) {
    const std::scoped_lock lock(mutex_);
    faults_.down = in.value("down", false);
    faults_.delay = std::chrono::milliseconds(in.value("delay_ms", 0));
    faults_.lost_answers = in.value("lost_answers", 0U);
    for (auto& [name, log] : logs_) log->SetFaults(faults_);
  }

  std::mutex mutex_;
  std::size_t retained_;
  LogFaults faults_;
  std::map<std::string, std::unique_ptr<MemoryLogService>> logs_;
  json instances_ = json::array();
  Poco::ThreadPool threads_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

LogServer::LogServer(const LogServerSettings& settings) : impl_(std::make_unique<Impl>(settings)) {}

LogServer::~LogServer() = default;

std::uint16_t LogServer::port() const { return impl_->port(); }

}  // namespace dogwoodport::standin
