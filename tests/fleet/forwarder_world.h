#pragma once

/// @file
/// Test fixture with a forwarder between raw clients and scripted targets on the loopback
/// interface. It uses a simple target protocol, so that a test can specify each response byte by
/// byte.

#include <catch2/catch.hpp>
#include <charconv>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodport/fleet/requests/forwarder.h"
#include "fleet/fleet_fakes.h"
#include "net/http_world.h"
#include "net/scripted_target.h"

namespace dogwoodport::fleet {

/// A target protocol with short header names. Functions that the tests do not need return defaults.
class PlainProtocol : public TargetProtocol {
 public:
  CallerFields ReadCaller(const net::HttpRequest& request) const override {
    CallerFields caller;
    caller.request_id = Text(request.fields, "Id");
    if (const auto ms = Number(request.fields, "Patience")) {
      caller.caller_timeout = std::chrono::milliseconds(*ms);
    }
    if (const std::string secret = Text(request.fields, "Secret"); !secret.empty()) {
      caller.secret = secret;
    }
    if (const auto key = Number(request.fields, "Key")) {
      caller.key = static_cast<std::uint16_t>(*key);
    }
    return caller;
  }
  bool IsEndToEnd(std::string_view field) const override {
    return field == "Id" || field == "Key" || field == "Target" || field == "Account" ||
           field == "Signed" || field == "Not-Run";
  }
  void PrepareRequest(net::HttpRequest& request, const ForwardFields& fields) const override {
    request.fields.Add("Target", fields.target_id);
    if (!fields.account.empty()) request.fields.Add("Account", fields.account);
  }
  ResponseFields ReadResponse(const net::HttpResponse& response) const override {
    ResponseFields result;
    result.request_id = Text(response.fields, "Id");
    result.not_run = response.fields.Find("Not-Run") != nullptr;
    result.has_signature = response.fields.Find("Signed") != nullptr;
    result.leaving = response.fields.Find("Leaving") != nullptr;
    if (const auto rate = Number(response.fields, "Limit")) result.request_limit = *rate;
    if (const auto ms = Number(response.fields, "Back-Off")) {
      result.back_off = std::chrono::milliseconds(*ms);
    }
    return result;
  }
  net::HttpResponse MakeResponse(int status, const std::string& code, bool may_have_run,
                                 const std::string& request_id,
                                 Duration retry_after) const override {
    net::HttpResponse response;
    response.status = status;
    response.fields.Add("Id", request_id);
    response.fields.Add("Code", code);
    response.fields.Add("Run", may_have_run ? "unknown" : "no");
    if (retry_after > Duration{0}) response.fields.Add("Retry-After", "1");
    return response;
  }
  net::HttpRequest MakeGrant(const TargetEntry& /*target*/, const Grant& /*grant*/) const override {
    return {};
  }
  net::HttpRequest MakeRelease(const TargetEntry& /*target*/,
                               const Grant& /*grant*/) const override {
    return {};
  }
  void SetCallId(net::HttpRequest& /*call*/, const std::string& /*id*/) const override {}
  std::string ReadHandover(const net::HttpResponse& /*response*/) const override { return ""; }
  OperatorRecord ReadOperatorRecord(const std::string& /*key*/,
                                    const std::string& /*value*/) const override {
    return Unusable{"operator records are not supported"};
  }
  std::optional<std::string> WithdrawalKey(const std::string& /*key*/) const override {
    return std::nullopt;
  }
  bool IsConfigKey(const std::string& /*key*/) const override { return false; }
  TargetEntry ReadTarget(const std::string& /*id*/, const std::string& /*value*/) const override {
    return {};
  }

 private:
  static std::string Text(const net::Fields& fields, const char* name) {
    const std::string* const value = fields.Find(name);
    return value == nullptr ? std::string() : *value;
  }
  static std::optional<int> Number(const net::Fields& fields, const char* name) {
    const std::string* const value = fields.Find(name);
    if (value == nullptr) return std::nullopt;
    int number = 0;
    std::from_chars(value->data(), value->data() + value->size(), number);
    return number;
  }
};

/// Returns a response to the request `id`; `fields` contains further header lines.
inline std::string TargetResponse(const std::string& id, int status, const std::string& body,
                                  const std::string& fields = "Signed: 1\r\n") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the value of a header field in the bytes of a message, or an empty string.
inline std::string FieldOf(const std::string& message, const std::string& name) {
  const std::size_t at = message.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 4;
  return message.substr(begin, message.find("\r\n", begin) - begin);
}

/// A forwarder with the routes /read/ (idempotent) and /write/ (not idempotent) to the service
/// "plain", and /keyed/ (not idempotent) to the keyed service "keyed".
class ForwarderFixture {
 public:
  explicit ForwarderFixture(Duration timeout = std::chrono::seconds(20))
      : view({}, {}),
        forwarder(loop, view, protocol, log, ForwarderSettings{}, 1),
        server(
            loop, "127.0.0.1:0",
            [this](const net::ExchangePtr& exchange) { forwarder.Handle(exchange); },
            [](const net::RequestFault& fault) {
              net::HttpResponse response;
              response.status = fault.status;
              return response;
            }) {
    view.data_centre = "east";
    // Large enough to retry every request.
    view.retry_budget.SetBound({10, 1'000, std::chrono::seconds(10)});
    std::vector<Route> routes;
    for (const char* name : {"read", "write", "keyed"}) {
      Route route;
      route.name = name;
      route.host = "a";
      route.path_prefix = std::string("/") + name + "/";
      route.kind = route.name == "read" ? RequestKind::kIdempotent : RequestKind::kNonIdempotent;
      route.timeout = route.latency_objective = timeout;
      route.max_attempts = 3;
      route.splits = {{route.name == "keyed" ? "keyed" : "plain", 1}};
      routes.push_back(route);
    }
    view.config =
        std::make_shared<RoutingConfig>(1, routes, Services(), std::nullopt, CallerLimits{});
    view.config_verified_at = loop.now() + std::chrono::hours(1);
  }

  static std::vector<Service> Services() {
    std::vector<Service> services(2);
    services[0].name = "plain";
    services[1].name = "keyed";
    services[1].keyed = true;
    return services;
  }

  /// Adds a target that responds according to `script`, and returns it.
  net::ScriptedTarget& AddTarget(const std::string& id, net::ScriptedTarget::Script script,
                                 const std::string& service = "plain") {
    targets.push_back(std::make_unique<net::ScriptedTarget>(loop, std::move(script)));
    TargetEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = targets.back()->address();
    entry.data_centre = "east";
    entry.slots = 4;
    entry.incarnation = entry.sequence = 1;
    view.directory.Apply(entry, loop.now());
    if (service == "keyed") {
      KeyRange range;
      range.first = 0;
      range.last = kKeyCount - 1;
      range.owner = id;
      range.ready = true;
      view.keys.services["keyed"] = {range};
      ++view.keys.revision;
    }
    return *targets.back();
  }

  /// Adds a client account that all further requests belong to. It borrows its tokens from
  /// `lender`.
  void AddAccount(const std::string& name, double rate, const std::string& lender) {
    Account account;
    account.name = name;
    account.secrets = {"secret"};
    account.rate = account.burst = rate;
    view.config = std::make_shared<RoutingConfig>(2, view.config->routes(), Services(),
                                                  std::vector{account}, CallerLimits{});
    view.accounts.SetIdentity("self", 1);
    view.accounts.Configure(name, rate, rate);
    view.accounts.SetLenders({lender}, 1, LoanRole::kBorrower);
  }

  /// Sends a request on a new connection, without waiting for the response. `fields` contains
  /// further header lines, which come first.
  net::RawClient& Send(const std::string& path, const std::string& id,
                       const std::string& fields = "") {
    clients.push_back(std::make_unique<net::RawClient>(loop, server.address()));
    clients.back()->stream->Write("POST " + path + " HTTP/1.1\r\n" + fields +
                                  "Host: a\r\nKey: 7\r\nSecret: secret\r\nId: " + id +
                                  "\r\nContent-Length: 0\r\n\r\n");
    return *clients.back();
  }

  /// Sends a request and returns the response; empty if the connection ended without one.
  std::string Call(const std::string& path, const std::string& id, const std::string& fields = "") {
    net::RawClient& client = Send(path, id, fields);
    REQUIRE(RunUntil([&] { return client.ended || IsComplete(client.received); }));
    return client.received;
  }

  bool RunUntil(const std::function<bool()>& done) {
    return net::RunUntil(loop, done, std::chrono::seconds(30));
  }
  void RunFor(Duration span) {
    loop.RunAfter(span, [this] { loop.Stop(); });
    loop.Run();
  }

  static int StatusOf(const std::string& response_bytes) {
    return response_bytes.size() < 12 ? 0 : std::stoi(response_bytes.substr(9, 3));
  }
  static bool IsComplete(const std::string& response_bytes) {
    const std::size_t head = response_bytes.find("\r\n\r\n");
    if (head == std::string::npos) return false;
    const std::string length = FieldOf(response_bytes, "Content-Length");
    return response_bytes.size() >= head + 4 + (length.empty() ? 0 : std::stoul(length));
  }

  net::EventLoop loop;
  CountingLog log;
  PlainProtocol protocol;
  FleetView view;
  Forwarder forwarder;
  net::HttpServer server;
  std::vector<std::unique_ptr<net::ScriptedTarget>> targets;
  std::vector<std::unique_ptr<net::RawClient>> clients;
};

}  // namespace dogwoodport::fleet
