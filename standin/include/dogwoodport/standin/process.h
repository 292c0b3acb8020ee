#pragma once

/// @file
/// Processes of the project started by tests and measurements, and small helpers to talk to them.

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace dogwoodport::standin {

/// Waits until `condition` holds; the limit only ends a run that hangs.
template <typename Condition>
bool Await(Condition condition) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(120);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

/// Directory that is removed at the end of the test.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "dogwood-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

/// A program of `build/bin`; killed at the end of the test if it still runs.
class Process {
 public:
  Process(const std::string& program, std::vector<std::string> args, std::string output)
      : output_(std::move(output)) {
    // Tests are in the build directory and tools in a directory below it.
    auto build = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    if (build.filename() == "tools") build = build.parent_path();
    const auto bin = build / "bin";
    args.insert(args.begin(), (bin / program).string());
    std::vector<char*> argv;
    argv.reserve(args.size() + 1);
    for (std::string& arg : args) argv.push_back(arg.data());
    argv.push_back(nullptr);
    pid_ = fork();
    if (pid_ != 0) return;
    const int fd = open(output_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    execv(argv[0], argv.data());
    _exit(127);
  }
  ~Process() {
    if (pid_ <= 0) return;
    Signal(SIGKILL);
    Wait();
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const { kill(pid_, signal); }

  /// Returns the exit status, or -1 if a signal ended the process.
  int Wait() {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  pid_t pid() const noexcept { return pid_; }
  /// The process was waited for elsewhere.
  void Forget() noexcept { pid_ = -1; }

  std::string Output() const {
    std::ifstream file(output_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  std::string output_;
  pid_t pid_ = -1;
};

/// Returns a port that was free a moment ago.
inline std::uint16_t FreePort() {
  const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().port();
}

struct HttpAnswer {
  int status = 0;
  std::string run;
  std::string body;
};

/// Sends one request on a new connection; status 0 when no answer came.
inline HttpAnswer Call(std::uint16_t port, const std::string& method, const std::string& uri,
                       const std::string& secret, const std::string& body = "",
                       const std::string& idempotency_key = "") {
  HttpAnswer out;
  try {
    Poco::Net::HTTPClientSession session("127.0.0.1", port);
    session.setTimeout(Poco::Timespan(60, 0));
    Poco::Net::HTTPRequest request(method, uri, "HTTP/1.1");
    if (!secret.empty()) request.set("Authorization", "Bearer " + secret);
    if (!idempotency_key.empty()) request.set("Idempotency-Key", idempotency_key);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), out.body);
    out.status = response.getStatus();
    out.run = response.get("Dogwood-Run", "");
  } catch (const Poco::Exception&) {
    out.status = 0;
  }
  return out;
}

}  // namespace dogwoodport::standin
