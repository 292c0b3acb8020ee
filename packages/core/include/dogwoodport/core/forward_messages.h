#pragma once

/// @file
/// Messages that forward requests and responses between instances.

#include <cstdint>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/request.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Requests that another instance execute a request whose caller has been authenticated and
/// admitted. The request contains no secret.
struct ForwardRequest {
  /// Chosen by the sender; not used again by its later incarnations.
  std::uint64_t forward_id = 0;
  std::string request_id;
  AccountId account;
  std::string account_name;
  /// Remaining time until the deadline in microseconds, counted from the arrival at the receiver.
  std::int64_t remaining_us = 0;
  /// Number of instances that have forwarded the request. Limits how often a request is forwarded
  /// while its home moves.
  std::uint32_t hops = 0;
  /// `Dogwood-First-Sent` field of the caller; 0 if absent.
  std::int64_t first_sent_ms = 0;
  Request request;

  MSGPACK_DEFINE_ARRAY(forward_id, request_id, account, account_name, remaining_us, hops,
                       first_sent_ms, request)
};

/// Reports the outcome of a forwarded request.
struct ForwardAnswer {
  std::uint64_t forward_id = 0;
  RunState run = RunState::kUnknown;
  Answer answer;

  MSGPACK_DEFINE_ARRAY(forward_id, run, answer)
};

/// Reports that the caller of a forwarded request has disconnected.
struct ForwardCancel {
  std::uint64_t forward_id = 0;

  MSGPACK_DEFINE_ARRAY(forward_id)
};

/// All messages of this subsystem; the position of a type is its type index.
using ForwardMessages = detail::TypeList<ForwardRequest, ForwardAnswer, ForwardCancel>;

}  // namespace dogwoodport
