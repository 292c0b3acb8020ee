// Stand-ins of the platform for the cases in review/: the store, endpoints that hold keys, clients,
// and the start of the project's daemon as separate processes. They share no code with the project.
// Everything listens on loopback addresses. One thread serves one connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;

// Seconds since the start of the program, on the steady clock.
inline double Now() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Whether the run includes the disruption. TROUBLE=0 leaves it out.
inline bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// The file record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f ", Now());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

#define REVIEW_LOG(...) ::review::Record::Get().Line(__VA_ARGS__)

// Ends the run with exit status 2: the case could not run.
[[noreturn]] inline void CannotRun(const std::string& why) {
  REVIEW_LOG("cannot run: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::_Exit(2);
}

// An HTTP/1.1 message.
struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  int Status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string Word(int index) const {
    std::istringstream in(start);
    std::string word;
    for (int i = 0; i <= index; ++i) in >> word;
    return word;
  }
};

// A connected socket with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { close(fd_); }
  Connection(const Connection&) = delete;

  int fd() const { return fd_; }

  bool Write(const std::string& data) {
    std::size_t done = 0;
    while (done < data.size()) {
      const ssize_t n = send(fd_, data.data() + done, data.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Reads one message with a Content-Length. Returns false at the end, after a break or a time-out.
  bool Read(Message& message, double timeout_s) {
    const double end = Now() + timeout_s;
    std::size_t head = 0;
    while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end)) return false;
    }
    message = Message{};
    std::istringstream in(buffer_.substr(0, head));
    std::string line;
    std::getline(in, line);
    message.start = Trim(line);
    while (std::getline(in, line)) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      message.fields.emplace_back(Trim(line.substr(0, colon)), Trim(line.substr(colon + 1)));
    }
    buffer_.erase(0, head + 4);
    const std::size_t length = static_cast<std::size_t>(std::atoll(message.Get("Content-Length").c_str()));
    while (buffer_.size() < length) {
      if (!Fill(end)) {
        message.body = buffer_;
        return false;
      }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

 private:
  static std::string Trim(std::string text) {
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back()))) text.pop_back();
    std::size_t at = 0;
    while (at < text.size() && std::isspace(static_cast<unsigned char>(text[at]))) ++at;
    return text.substr(at);
  }

  // Appends received bytes to the buffer. Returns false at the end, after a break, or at `end`.
  bool Fill(double end) {
    pollfd p{fd_, POLLIN, 0};
    const int wait_ms = static_cast<int>(std::max(0.0, end - Now()) * 1000) + 1;
    if (poll(&p, 1, wait_ms) <= 0) return false;
    char chunk[65536];
    const ssize_t n = recv(fd_, chunk, sizeof(chunk), 0);
    if (n <= 0) return false;
    buffer_.append(chunk, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline sockaddr_in AddressOf(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return address;
}

// Connects to "ip:port". `receive_buffer` sets the size of the receive buffer if it is not 0.
inline std::unique_ptr<Connection> Connect(const std::string& to, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  const sockaddr_in address = AddressOf(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Connection>(fd);
}

// Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  Listener(const std::string& address, Serve serve) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = AddressOf(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || listen(fd_, 256) != 0) {
      CannotRun("cannot listen on " + address);
    }
    socklen_t size = sizeof(at);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    char ip[64];
    inet_ntop(AF_INET, &at.sin_addr, ip, sizeof(ip));
    address_ = std::string(ip) + ":" + std::to_string(ntohs(at.sin_port));
    thread_ = std::thread([this] { Accept(); });
  }
  ~Listener() { Stop(); }

  const std::string& address() const { return address_; }

  // Closes the port and resets all connections, as the end of a process does.
  void Stop() {
    if (stopped_.exchange(true)) return;
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (Connection* const it : open_) {
        const linger reset{1, 0};
        setsockopt(it->fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(it->fd(), SHUT_RDWR);
      }
    }
    for (std::thread& it : threads_) it.join();
  }
  bool stopped() const { return stopped_; }

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      threads_.emplace_back([this, fd] {
        Connection connection(fd);
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          if (stopped_) return;
          open_.insert(&connection);
        }
        serve_(connection);
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(&connection);
      });
    }
  }

  Serve serve_;
  int fd_ = -1;
  std::string address_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
  std::mutex mutex_;
  std::set<Connection*> open_;
  std::list<std::thread> threads_;
};

inline std::string Answer(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : fields) out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store, as far as the daemon uses it: appends, reads and the newest records.
class Store {
 public:
  explicit Store(const std::string& ip)
      : listener_(ip + ":0", [this](Connection& connection) { Serve(connection); }) {}
  ~Store() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    listener_.Stop();
  }

  const std::string& address() const { return listener_.address(); }

  // Writes a record of the operator or of an endpoint; no value removes the key.
  void Put(const std::string& topic, const std::string& key, const std::optional<std::string>& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Append(topics_[topic], std::string(1, static_cast<char>(key.size())) + key + value.value_or(""));
    changed_.notify_all();
  }

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
  };

  static void Append(Topic& topic, const std::string& content) {
    const std::size_t size = content.empty() ? 0 : static_cast<unsigned char>(content[0]);
    const std::string key = content.substr(content.empty() ? 0 : 1, size);
    if (content.size() > size + 1) {
      topic.newest[key] = {content.substr(1 + size), topic.records.size()};
    } else {
      topic.newest.erase(key);
    }
    topic.records.push_back(content);
  }

  static std::string BigEndian(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 0xFF);
    return out;
  }

  static std::string Base64(const std::string& data) {
    static const char* const kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < data.size(); i += 3) {
      unsigned bits = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        bits = bits << 8 | (i + j < data.size() ? static_cast<unsigned char>(data[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        out += i + j <= data.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
      }
    }
    return out;
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> result;
    const std::size_t at = target.find('?');
    if (at == std::string::npos) return result;
    std::istringstream in(target.substr(at + 1));
    std::string part;
    while (std::getline(in, part, '&')) {
      const std::size_t equals = part.find('=');
      std::string value;
      for (std::size_t i = equals + 1; equals != std::string::npos && i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += part[i];
        }
      }
      result[part.substr(0, equals)] = value;
    }
    return result;
  }

  void Serve(Connection& connection) {
    Message request;
    while (connection.Read(request, 3600)) {
      if (!connection.Write(Handle(request))) return;
    }
  }

  std::string Handle(const Message& request) {
    const std::string target = request.Word(1);
    const auto query = Query(target);
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock<std::mutex> lock(mutex_);
    const auto get = [&query](const char* name) {
      const auto it = query.find(name);
      return it == query.end() ? std::string() : it->second;
    };
    Topic& topic = topics_[get("topic")];
    if (path == "/log-append") {
      const std::size_t offset = topic.records.size();
      if (query.count("asOf") > 0 && std::stoull(get("asOf")) != offset) {
        return Answer(412, {}, json{{"end", offset}}.dump());
      }
      for (std::size_t at = 0; at + 4 <= request.body.size();) {
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i) {
          length = length << 8 | static_cast<unsigned char>(request.body[at + static_cast<std::size_t>(i)]);
        }
        Append(topic, request.body.substr(at + 4, length));
        at += 4 + length;
      }
      changed_.notify_all();
      return Answer(200, {}, json{{"offset", offset}, {"end", topic.records.size()}}.dump());
    }
    if (path == "/log-read") {
      const std::size_t from = std::stoull(get("from"));
      const long wait_ms = get("waitMs").empty() ? 0 : std::stol(get("waitMs"));
      changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                        [&] { return stopped_ || topic.records.size() > from; });
      std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
      for (std::size_t at = from; at < topic.records.size(); ++at) {
        body += BigEndian(topic.records[at].size(), 4) + topic.records[at];
      }
      return Answer(200, {}, body);
    }
    if (path == "/log-newest") {
      json items = json::array();
      for (const auto& [key, record] : topic.newest) {
        if (!get("after").empty() && key <= get("after")) continue;
        items.push_back({{"key", key}, {"value", Base64(record.first)}, {"offset", record.second}});
      }
      return Answer(200, {},
                    json{{"items", items}, {"hasMore", false}, {"end", topic.records.size()}}.dump());
    }
    return Answer(404, {}, "");
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  std::map<std::string, Topic> topics_;
  Listener listener_;
};

constexpr std::size_t kKeys = 65536;

// An endpoint. One object lives over several starts of the endpoint.
class Endpoint {
 public:
  struct Settings {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    std::string ip;
    int slots = 4;
    bool sharded = false;
    double heartbeat_s = 0.87;
  };
  struct Run {
    std::string id;
    int key = -1;
    double begin = 0;
    double end = 0;  // 0 while it runs.
    std::string tenant;
  };

  // How long a request works, in seconds.
  std::function<double(const Message&)> work = [](const Message&) { return 0.02; };
  // The body of the answer to a request.
  std::function<std::string(const Message&)> content = [this](const Message& request) {
    return settings_.id + " ran " + request.Get("X-Dogwoodport-Request-Id");
  };
  // Called for each grant that is taken, with the lock held.
  std::function<void(int first, int last)> on_granted;
  // If set, the answer to one release of keys at which the endpoint is at work is preceded by a
  // second answer: a copy of the answer to the latest grant or release on the same connection, which
  // arrives where the answer to the release is expected.
  std::atomic<bool> extra_answers{false};

  Endpoint(Store& store, Settings settings) : store_(store), settings_(std::move(settings)) {
    seen_.resize(kKeys);
    until_.resize(kKeys);
  }
  ~Endpoint() {
    stopping_ = true;
    if (beats_.joinable()) beats_.join();
    Crash();
  }

  const Settings& settings() const { return settings_; }

  // Starts the endpoint: it knows nothing of an earlier start.
  void Start() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::fill(seen_.begin(), seen_.end(), 0);
      std::fill(until_.begin(), until_.end(), 0);
      runs_running_.clear();
      ++life_;
      born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
      draining_ = false;
      up_ = true;
    }
    const std::string at = address_.empty() ? settings_.ip + ":0" : address_;
    listener_ = std::make_unique<Listener>(at, [this](Connection& c) { Serve(c); });
    address_ = listener_->address();
    REVIEW_LOG("endpoint %s starts, life %d, born %lld", settings_.id.c_str(), life_, born_ms_);
    if (!beats_.joinable()) beats_ = std::thread([this] { Beat(); });
  }
  // Ends the endpoint at once, without a word.
  void Crash() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (!up_) return;
      up_ = false;
      std::fill(until_.begin(), until_.end(), 0);
    }
    work_ended_.notify_all();
    REVIEW_LOG("endpoint %s ends", settings_.id.c_str());
    listener_->Stop();
  }
  // Cuts the endpoint off from the store alone, or heals the cut.
  void CutFromStore(bool cut) {
    REVIEW_LOG("endpoint %s is %s the store", settings_.id.c_str(), cut ? "cut off from" : "connected to");
    cut_ = cut;
  }
  // Another writer puts an entry without `born` in the place of this endpoint's entry, which the
  // endpoint writes again with its next liveness report.
  void ReplaceEntryWithoutBorn() {
    json entry = Entry();
    entry.erase("born");
    entry["state"] = "ready";
    entry["sequence"] = 1;
    REVIEW_LOG("store: another writer's entry of %s: %s", settings_.id.c_str(), entry.dump().c_str());
    store_.Put("keyed.servers", settings_.id, entry.dump());
    replaced_ = true;
  }
  void Drain() {
    REVIEW_LOG("endpoint %s reports draining", settings_.id.c_str());
    draining_ = true;
  }

  bool up() const { return up_; }
  std::mutex& mutex() { return mutex_; }
  // The next two need the lock.
  bool Holds(std::size_t key) const { return up_ && until_[key] > Now(); }
  bool WorksOn(int first, int last) const {
    return std::any_of(runs_running_.begin(), runs_running_.end(),
                       [&](const auto& it) { return it.second >= first && it.second <= last; });
  }
  // Number of releases that wait for the end of work on their keys.
  int releases_waiting() const { return releases_waiting_; }
  int answers() const { return answers_; }
  int second_answers() const { return second_answers_; }
  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

 private:
  json Entry() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return {{"service", settings_.service}, {"address", address_},
            {"zone", settings_.zone},       {"version", "v1"},
            {"slots", settings_.slots},     {"state", draining_ ? "draining" : "ready"},
            {"coldRemaining", "0ms"},       {"born", born_ms_}};
  }

  // Writes the entry when more than the sequence number changes; removes it after three intervals
  // of silence.
  void Beat() {
    std::string written;
    double last_beat = -100;
    while (!stopping_) {
      if (up_ && !cut_ && Now() - last_beat >= settings_.heartbeat_s) {
        json entry = Entry();
        const std::string text = entry.dump();
        entry["sequence"] = ++sequence_;
        last_beat = Now();
        if (text != written || replaced_.exchange(false)) {
          REVIEW_LOG("store: entry of %s: %s", settings_.id.c_str(), entry.dump().c_str());
          store_.Put("keyed.servers", settings_.id, entry.dump());
          written = text;
        }
      }
      if (!written.empty() && Now() - last_beat > 3 * settings_.heartbeat_s) {
        REVIEW_LOG("store: entry of %s lapses", settings_.id.c_str());
        store_.Put("keyed.servers", settings_.id, std::nullopt);
        written.clear();
      }
      Sleep(0.02);
    }
  }

  void Serve(Connection& connection) {
    Message request;
    std::string call_answer;  // The answer to the latest request, if that was a grant or a release.
    while (connection.Read(request, 3600)) {
      const std::string path = request.Word(1);
      if (path == "/release" && !call_answer.empty() && IsAtWorkOn(request) &&
          extra_answers.exchange(false)) {
        REVIEW_LOG("endpoint %s sends a second answer to an earlier call, before its answer to %s",
                   settings_.id.c_str(), request.start.c_str());
        ++second_answers_;
        if (!connection.Write(call_answer)) return;
      }
      call_answer.clear();
      ++answers_;
      std::string answer;
      if (path == "/health") {
        answer = Answer(draining_ ? 503 : 200, {{"X-Dogwoodport-Instance-Id", settings_.id}}, "");
      } else if (const std::string expected = request.Get("X-Dogwoodport-Expected-Instance");
                 !expected.empty() && expected != settings_.id) {
        answer = Refusal(421, request);
      } else if (path == "/grant") {
        answer = call_answer = Grant(request);
      } else if (path == "/release") {
        answer = call_answer = Release(request);
      } else {
        answer = RunRequest(request);
      }
      if (answer.empty() || !connection.Write(answer)) return;
    }
  }

  std::string WithId(const Message& request, int status,
                     std::vector<std::pair<std::string, std::string>> fields,
                     const std::string& body) const {
    const std::string id = request.Get("X-Dogwoodport-Request-Id");
    if (!id.empty()) fields.emplace_back("X-Dogwoodport-Request-Id", id);
    return Answer(status, fields, body);
  }
  std::string Refusal(int status, const Message& request) const {
    return WithId(request, status, {{"X-Dogwoodport-Not-Executed", "1"}}, "");
  }

  std::string Grant(const Message& request) {
    const json body = json::parse(request.body);
    const auto first = body.at("from").get<std::size_t>();
    const auto last = body.at("target").get<std::size_t>();
    const auto fence = body.at("fence").get<std::uint64_t>();
    const std::string hold = body.at("hold_time").get<std::string>();
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::size_t key = first; key <= last; ++key) {
      if (seen_[key] > fence) return WithId(request, 409, {}, "");
    }
    const double until = Now() + std::atof(hold.c_str()) / 1000;
    const bool is_new = until_[first] <= Now();
    for (std::size_t key = first; key <= last; ++key) {
      seen_[key] = fence;
      until_[key] = until;
    }
    REVIEW_LOG("endpoint %s life %d takes keys %zu-%zu, fence %llu, for %s%s", settings_.id.c_str(),
               life_, first, last, static_cast<unsigned long long>(fence), hold.c_str(),
               is_new ? " (new)" : "");
    if (on_granted) on_granted(static_cast<int>(first), static_cast<int>(last));
    return WithId(request, 200, {}, "");
  }

  bool IsAtWorkOn(const Message& release) {
    const json body = json::parse(release.body);
    const std::lock_guard<std::mutex> lock(mutex_);
    return WorksOn(body.at("from").get<int>(), body.at("target").get<int>());
  }

  std::string Release(const Message& request) {
    const json body = json::parse(request.body);
    const auto first = body.at("from").get<int>();
    const auto last = body.at("target").get<int>();
    std::unique_lock<std::mutex> lock(mutex_);
    REVIEW_LOG("endpoint %s is asked to release keys %d-%d", settings_.id.c_str(), first, last);
    for (int key = first; key <= last; ++key) until_[static_cast<std::size_t>(key)] = 0;
    ++releases_waiting_;
    work_ended_.wait_for(lock, std::chrono::seconds(30),
                         [&] { return !up_ || !WorksOn(first, last); });
    --releases_waiting_;
    REVIEW_LOG("endpoint %s answers the release of keys %d-%d", settings_.id.c_str(), first, last);
    return WithId(request, 200, {{"X-Dogwoodport-Handover", "5c0e7a21d94b36f8"}}, "");
  }

  std::string RunRequest(const Message& request) {
    const std::string id = request.Get("X-Dogwoodport-Request-Id");
    const std::string key_text = request.Get("X-Dogwoodport-Shard-Key");
    const int key = key_text.empty() ? -1 : std::atoi(key_text.c_str());
    std::size_t index = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (settings_.sharded && (key < 0 || until_[static_cast<std::size_t>(key)] <= Now())) {
        return Refusal(421, request);
      }
      if (runs_running_.size() >= static_cast<std::size_t>(settings_.slots) + 16) {
        return Refusal(503, request);
      }
      runs_running_[id] = key;
      index = runs_.size();
      runs_.push_back({id, key, Now(), 0, request.Get("X-Dogwoodport-Tenant-Id")});
      REVIEW_LOG("endpoint %s runs request %s, key %d, tenant \"%s\"", settings_.id.c_str(), id.c_str(),
                 key, request.Get("X-Dogwoodport-Tenant-Id").c_str());
    }
    const double end = Now() + work(request);
    while (Now() < end && up_) Sleep(std::min(0.01, end - Now()));
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_running_.erase(id);
      runs_[index].end = Now();
    }
    work_ended_.notify_all();
    if (!up_) return "";
    return WithId(request, 200,
                  {{"X-Dogwoodport-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"},
                   {"Content-Type", "application/octet-stream"}},
                  content(request));
  }

  Store& store_;
  Settings settings_;
  std::mutex mutex_;
  std::condition_variable work_ended_;
  std::string address_;
  long long born_ms_ = 0;
  int life_ = 0;
  std::uint64_t sequence_ = 0;
  std::atomic<bool> up_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> replaced_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<int> releases_waiting_{0};
  std::atomic<int> answers_{0};
  std::atomic<int> second_answers_{0};
  std::vector<std::uint64_t> seen_;
  std::vector<double> until_;
  std::map<std::string, int> runs_running_;
  std::vector<Run> runs_;
  std::unique_ptr<Listener> listener_;
  std::thread beats_;
};

// A daemon of the project, started as the deploy file says, with its template of settings.
class Daemon {
 public:
  Daemon(const std::string& folder, const std::string& ip, int index, const std::string& store,
         double grace_s = 6)
      : name_("edge-" + std::to_string(index + 1)),
        front_(ip + ":" + std::to_string(8000 + index)),
        ready_(ip + ":" + std::to_string(8200 + index)),
        settings_path_(folder + "/" + name_ + ".json"),
        log_path_(folder + "/" + name_ + ".log") {
    const int first_port = 8400 + 16 * index;
    const std::map<std::string, json> fields = {
        {"node", name_},
        {"zone", "zone-a"},
        {"ip", ip},
        {"listen.front", front_},
        {"listen.ready", ready_},
        {"internalPortRange", json::array({first_port, first_port + 15})},
        {"platform.address", store},
        {"limits.cpuShare", 0.2},
        {"limits.maxFds", 1000},
        {"limits.memoryMb", 260},
        {"limits.linkMbps", 1000.0},
        {"bounds.revoke", "5000ms"},
        {"bounds.grace", std::to_string(static_cast<int>(grace_s)) + "s"},
        {"bounds.holdMax", "10000ms"},
        {"bounds.retryBudgetRatio", 0.2},
        {"bounds.budgetExtraRetries", 60},
        {"bounds.budgetWindow", "10s"},
        {"bounds.quotaWindow", "5s"},
        {"bounds.quotaOvershoot", 0.1},
        {"bounds.quotaSlack", 20},
        {"bounds.coldOvershoot", 1.5},
        {"bounds.coldSlack", 5}};
    std::ifstream in("deploy/settings.json.in");
    std::stringstream text;
    text << in.rdbuf();
    std::string rendered = text.str();
    for (const auto& [field, value] : fields) {
      const std::string placeholder = "{{" + field + "|json}}";
      const std::size_t at = rendered.find(placeholder);
      if (at != std::string::npos) rendered.replace(at, placeholder.size(), value.dump());
    }
    if (rendered.empty() || rendered.find("{{") != std::string::npos) {
      CannotRun("the template of the settings has other fields");
    }
    std::ofstream(settings_path_) << rendered;
  }
  ~Daemon() { Kill(); }

  const std::string& front() const { return front_; }
  const std::string& name() const { return name_; }

  void Start() {
    const pid_t parent = getpid();
    const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(2);
      dup2(log, 1);
      dup2(log, 2);
      setenv("DOGWOODPORT_CONFIG", settings_path_.c_str(), 1);
      execl("target/bin/dogwoodd", "target/bin/dogwoodd", "--platform", nullptr);
      _exit(2);
    }
    close(log);
    REVIEW_LOG("daemon %s starts", name_.c_str());
  }

  bool Ready() const {
    const auto connection = Connect(ready_);
    Message answer;
    return connection && connection->Write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           connection->Read(answer, 1) && answer.Status() == 200;
  }

  void Signal(int signal) {
    REVIEW_LOG("daemon %s gets signal %d", name_.c_str(), signal);
    if (pid_ > 0) kill(pid_, signal);
  }

  // Whether the process has ended; its wait status is then in `status`.
  bool Ended() {
    if (pid_ <= 0) return true;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    REVIEW_LOG("daemon %s has ended, wait status %d", name_.c_str(), status);
    pid_ = -1;
    return true;
  }

  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status, 0);
    pid_ = -1;
  }

  int status = 0;

 private:
  std::string name_;
  std::string front_;
  std::string ready_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = -1;
};

// What a client sends.
struct Request {
  std::string method = "GET";
  std::string host = "shop.example";
  std::string path = "/";
  std::string id;
  int deadline_ms = 2500;
  std::string api_key;
  int shard_key = -1;
  std::string connection;  // Value of the Connection field; none if empty.
  std::string body;

  std::string Bytes() const {
    std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                      "\r\nX-Dogwoodport-Request-Id: " + id +
                      "\r\nX-Dogwoodport-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (!api_key.empty()) out += "Authorization: Token " + api_key + "\r\n";
    if (!connection.empty()) out += "Connection: " + connection + "\r\n";
    if (shard_key >= 0) out += "X-Dogwoodport-Shard-Key: " + std::to_string(shard_key) + "\r\n";
    if (!body.empty()) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
  }
};

// Sends one request on a connection of its own. Returns the status, or 0 without a whole answer.
inline int Ask(const std::string& front, const Request& request, Message* answer = nullptr) {
  const auto connection = Connect(front);
  Message message;
  const bool ok = connection && connection->Write(request.Bytes()) &&
                  connection->Read(message, request.deadline_ms / 1000.0 + 1);
  const int status = ok ? message.Status() : 0;
  REVIEW_LOG("client: %s %s id %s key %d -> %d", request.method.c_str(), request.path.c_str(),
             request.id.c_str(), request.shard_key, status);
  if (answer != nullptr) *answer = message;
  return status;
}

// A loopback address that other runs on this machine are unlikely to use at the same time.
inline std::string UniqueIp() {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(2 + pid / 62500 % 250) + "." + std::to_string(pid / 250 % 250) + "." +
         std::to_string(1 + pid % 250);
}

// A temporary folder, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char name[] = "/tmp/review-XXXXXX";
    if (mkdtemp(name) == nullptr) CannotRun("no temporary folder");
    path_ = name;
  }
  ~TemporaryFolder() {
    for (int i = 1; i < 10; ++i) {
      for (const char* const end : {".json", ".log"}) {
        std::remove((path_ + "/edge-" + std::to_string(i) + end).c_str());
      }
    }
    rmdir(path_.c_str());
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Waits until `done` or for `timeout_s`. Returns whether it was done.
inline bool WaitFor(double timeout_s, const std::function<bool()>& done) {
  const double end = Now() + timeout_s;
  while (Now() < end) {
    if (done()) return true;
    Sleep(0.02);
  }
  return done();
}

inline json MakeRoute(const std::string& name, const std::string& service, const std::string& kind,
                      const std::string& timeout = "2500ms") {
  return {{"name", name},       {"pathPrefix", "/" + name + "/"}, {"service", service},
          {"kind", kind},       {"timeout", timeout},             {"targetLatency", "600ms"},
          {"attempts", 2},      {"priority", 2}};
}

inline json MakeConfig(int version, const json& routes, const json& services) {
  return {{"version", version},
          {"hosts", json::array({{{"host", "shop.example"}, {"paths", routes}}})},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 1048576},
            {"headerTimeout", "3s"},
            {"idleTimeout", "20s"}}}};
}

// Starts the program of a case: `argv[1]` is the folder of the case.
inline void Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc < 2) CannotRun("no folder given");
  Record::Get().Open(std::string(argv[1]) + "/record.txt");
  REVIEW_LOG("disruption: %s", Trouble() ? "yes" : "no (TROUBLE=0)");
  if (access("target/bin/dogwoodd", X_OK) != 0) CannotRun("target/bin/dogwoodd is missing");
  alarm(115);  // A run that hangs ends, and its daemons with it.
}

}  // namespace review
