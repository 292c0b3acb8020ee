#pragma once

/// @file
/// The command line of `dogwoodctl`.

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

/// Everything outside the process that a command uses.
struct CliEnvironment {
  std::function<std::shared_ptr<LogService>(const ClientSettings&)> open_log;
  std::function<std::shared_ptr<InstanceClient>(const ClientSettings&)> open_instances;
  Timer& timer;
  /// Returns a random identifier for the writer of one command's record.
  std::function<std::uint64_t()> random;
  std::istream& in;
  std::ostream& out;
  /// Progress and errors.
  std::ostream& err;
};

/// Runs one command and returns the exit status of the process. Throws nothing: every error becomes
/// a line on `err`. `args` are those after the program's name.
///
/// @code
/// return RunCli({"config", "show", "--settings", "ctl.json"}, environment);
/// @endcode
int RunCli(const std::vector<std::string>& args, const CliEnvironment& environment);

}  // namespace dogwoodport
