#pragma once

/// @file
/// Requests and answers on their way between two instances.

#include <cstdint>

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/request.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// Asks another instance to run a request whose caller has been authenticated and admitted. The
/// request holds no secret.
struct ForwardRequest {
  /// Chosen by the sender; unique for its incarnation.
  std::uint64_t forward_id = 0;
  std::string request_id;
  AccountId account;
  std::string account_name;
  /// Time that the request may still take, in microseconds from its arrival at the receiver.
  std::int64_t remaining_us = 0;
  /// Instances that have passed the request on; bounds the way of a request whose home moves.
  std::uint32_t hops = 0;
  /// `Dogwood-First-Sent` of the caller, 0 if absent.
  std::int64_t first_sent_ms = 0;
  Request request;

  MSGPACK_DEFINE_ARRAY(forward_id, request_id, account, account_name, remaining_us, hops,
                       first_sent_ms, request)
};

/// The outcome of a forwarded request.
struct ForwardAnswer {
  std::uint64_t forward_id = 0;
  RunState run = RunState::kUnknown;
  Answer answer;

  MSGPACK_DEFINE_ARRAY(forward_id, run, answer)
};

/// The caller of a forwarded request has left.
struct ForwardCancel {
  std::uint64_t forward_id = 0;

  MSGPACK_DEFINE_ARRAY(forward_id)
};

/// All messages of this subsystem, in the order of their type index.
using ForwardMessages = detail::TypeList<ForwardRequest, ForwardAnswer, ForwardCancel>;

}  // namespace dogwoodport
