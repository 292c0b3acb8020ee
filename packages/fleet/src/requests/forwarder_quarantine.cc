// Reports attempts to the quarantine and refuses quarantined requests.

#include "forwarder_request.h"

namespace dogwoodport::fleet {

void Forwarder::RecordLostAttempt(const Request& request, std::optional<net::CallFailure> failure) {
  using net::CallFailure;
  Quarantine& quarantine = view_.quarantine;
  if (failure == CallFailure::kNotConnected) {
    quarantine.OnTargetLost(request.target_id, now());
  } else if (failure == CallFailure::kBroken) {
    quarantine.OnConnectionLost(request.fingerprint(), request.target_id,
                                request.target_incarnation, request.sent_at, now());
  } else if (failure != CallFailure::kStale) {
    // A target that is full, slow or sends invalid responses may still be running.
    quarantine.OnNoResponse(request.fingerprint(), request.target_id, request.target_incarnation,
                            request.sent_at, now());
  }
}

bool Forwarder::IsQuarantined(const Request& request) const {
  return view_.quarantine.any_quarantined() &&
         view_.quarantine.RemainingTime(request.fingerprint(), now()).has_value();
}

bool Forwarder::RefuseQuarantined(Request& request) {
  if (!IsQuarantined(request)) return false;
  RejectRequest(request, Refusal::kQuarantined,
                *view_.quarantine.RemainingTime(request.fingerprint(), now()));
  return true;
}

}  // namespace dogwoodport::fleet
