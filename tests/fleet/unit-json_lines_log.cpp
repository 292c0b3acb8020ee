#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>

#include "dogwoodport/fleet/json_lines_log.h"

namespace dogwoodport::fleet {
namespace {

/// A pipe that receives the log.
struct Pipe {
  Pipe() {
    REQUIRE(pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) == 0);
    std::signal(SIGPIPE, SIG_IGN);
  }
  ~Pipe() {
    CloseReader();
    close(ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  void CloseReader() {
    if (ends[0] >= 0) close(std::exchange(ends[0], -1));
  }

  /// Reads the data that is currently available.
  std::string Read() {
    std::string out;
    std::array<char, 4096> buf;
    for (ssize_t n = 0; (n = read(ends[0], buf.data(), buf.size())) > 0;) {
      out.append(buf.data(), static_cast<std::size_t>(n));
    }
    return out;
  }

  std::array<int, 2> ends = {-1, -1};
};

std::size_t CountLines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

LogSettings HighVolumeSettings() {
  LogSettings settings;
  settings.instance = "i1";
  settings.lines_per_s = {1e6, 1e6, 1e6, 1e6};
  return settings;
}

TEST_CASE("each line is a JSON object with time, level, instance and event", "[json_lines_log]") {
  Pipe pipe;
  JsonLinesLog log(pipe.ends[1], HighVolumeSettings());
  log.Write(LogLevel::kWarning, "refused", {{"status", 503}});
  log.Flush();
  const auto line = nlohmann::json::parse(pipe.Read());
  CHECK(line["level"] == "warning");
  CHECK(line["instance"] == "i1");
  CHECK(line["event"] == "refused");
  CHECK(line["status"] == 503);
  CHECK(line["time_ms"].is_number_integer());
}

TEST_CASE("lines beyond the limit are dropped and counted", "[json_lines_log]") {
  Pipe pipe;
  LogSettings settings = HighVolumeSettings();
  settings.lines_per_s = {0, 3, 0, 0};
  JsonLinesLog log(pipe.ends[1], settings);
  for (int i = 0; i < 10; ++i) log.Write(LogLevel::kInfo, "line", {});
  log.Flush();
  CHECK(CountLines(pipe.Read()) == 3);
  CHECK(log.dropped() == 7);
  log.SetLinesPerSecond(LogLevel::kInfo, 3);
  log.Write(LogLevel::kInfo, "line", {});
  log.Flush();
  CHECK(nlohmann::json::parse(pipe.Read())["lines_dropped"] == 7);
}

TEST_CASE("a stalled or closed reader does not block the writer", "[json_lines_log]") {
  Pipe pipe;
  JsonLinesLog log(pipe.ends[1], HighVolumeSettings());
  const bool reader_closed = GENERATE(false, true);
  if (reader_closed) pipe.CloseReader();
  for (int i = 0; i < 20'000; ++i) {
    log.Write(LogLevel::kInfo, "line", {{"number", i}});
    log.Flush();
  }
  CHECK(log.dropped() > 0);
  CHECK(log.buffered_bytes() <= LogSettings{}.buffer_bytes + 1024);
  if (reader_closed) return;
  // When the reader resumes, only whole lines arrive.
  std::string text;
  for (int i = 0; i < 200; ++i) {
    text += pipe.Read();
    log.Flush();
  }
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) REQUIRE(nlohmann::json::accept(line));
}

}  // namespace
}  // namespace dogwoodport::fleet
