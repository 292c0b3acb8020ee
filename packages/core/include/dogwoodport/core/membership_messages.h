#pragma once

/// @file
/// Messages between instances of the membership subsystem.

#include "dogwoodport/core/detail/type_list.h"
#include "dogwoodport/core/types.h"

namespace dogwoodport {

/// All messages of this subsystem, in the order of their type index.
using MembershipMessages = detail::TypeList<>;

}  // namespace dogwoodport
