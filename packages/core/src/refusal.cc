#include "dogwoodport/core/refusal.h"

#include <nlohmann/json.hpp>

namespace dogwoodport {

Reply MakeRefusal(std::uint16_t status, const std::string& code, const std::string& message,
                  RunState run, const std::string& request_id, Duration retry_after) {
  const nlohmann::json body = {{"code", code},
                               {"message", message},
                               {"run", std::string(ToString(run))},
                               {"request_id", request_id}};
  Reply out;
  out.run = run;
  out.answer.status = status;
  out.answer.fields.push_back({"Content-Type", "application/json"});
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    out.answer.fields.push_back({"Retry-After", std::to_string(seconds)});
  }
  out.answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return out;
}

}  // namespace dogwoodport
