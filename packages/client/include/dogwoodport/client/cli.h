#pragma once

/// @file
/// Command line interface of `dogwoodctl`.

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodport/client/client_settings.h"
#include "dogwoodport/client/instance_client.h"
#include "dogwoodport/client/timer.h"
#include "dogwoodport/log_service/log_service.h"

namespace dogwoodport {

/// External dependencies of a command, which tests replace.
struct CliEnvironment {
  std::function<std::shared_ptr<LogService>(const ClientSettings&)> open_log;
  std::function<std::shared_ptr<InstanceClient>(const ClientSettings&)> open_instances;
  Timer& timer;
  /// Returns 64 random bits, for writer identifiers and salts.
  std::function<std::uint64_t()> random;
  std::istream& in;
  std::ostream& out;
  /// Receives progress and error messages.
  std::ostream& err;
};

/// Runs one command and returns the exit status of the process. Errors are reported on `err` and
/// not thrown. `args` excludes the program name.
///
/// @code
/// return RunCli({"config", "show", "--settings", "ctl.json"}, environment);
/// @endcode
int RunCli(const std::vector<std::string>& args, const CliEnvironment& environment);

}  // namespace dogwoodport
