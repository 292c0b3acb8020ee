#include "dogwoodport/net/http_caller.h"

#include <utility>

namespace dogwoodport::net {
namespace {

/// A call in progress. Deletes itself before it invokes its callback.
class PendingCall : public CallHandler {
 public:
  PendingCall(EventLoop& loop, ClientConnectionPtr connection, HttpCaller::Callback done,
              HttpCaller::ResponseTest answers)
      : loop_(loop),
        connection_(std::move(connection)),
        done_(std::move(done)),
        answers_(std::move(answers)) {}

  void Start(std::string_view bytes, bool is_head_request, Duration timeout) {
    timer_ = loop_.RunAfter(timeout, [this] {
      timer_ = TimerId{};
      const NoResponse reason = ReasonForNoResponse();
      connection_->Abort();
      Complete(reason);
    });
    connection_->Send(bytes, is_head_request, this);
  }

  ResponseMatch Match(const HttpResponse& response) override {
    return answers_ ? answers_(response) : ResponseMatch::kOwn;
  }
  void OnResponse(HttpResponse response) override { Complete(std::move(response)); }
  void OnFailure(CallFailure /*failure*/) override { Complete(ReasonForNoResponse()); }

 private:
  NoResponse ReasonForNoResponse() const noexcept {
    return connection_->any_sent() ? NoResponse::kUnanswered : NoResponse::kNotSent;
  }

  void Complete(const CallOutcome& outcome) {
    loop_.Cancel(timer_);
    const HttpCaller::Callback done = std::move(done_);
    delete this;
    done(outcome);
  }

  EventLoop& loop_;
  ClientConnectionPtr connection_;
  HttpCaller::Callback done_;
  HttpCaller::ResponseTest answers_;
  TimerId timer_;
};

}  // namespace

void HttpCaller::Call(const std::string& address, const HttpRequest& request, Duration timeout,
                      Callback done, CallConnection connection, ResponseTest answers) {
  auto* const call = new PendingCall(
      loop_,
      connection == CallConnection::kNew ? pool_.AcquireNew(address) : pool_.Acquire(address),
      std::move(done), std::move(answers));
  call->Start(ToBytes(request), request.method == "HEAD", timeout);
}

}  // namespace dogwoodport::net
