// What the cases of the second review share: a router process, and stand-ins for clients, caches, the origin,
// discovery's agent and the platform. Blocking sockets, a thread for each connection, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

// ---- time, record, exit ----

inline double unix_ms() {
  using namespace std::chrono;
  return duration<double, std::milli>(system_clock::now().time_since_epoch()).count();
}
inline double now_ms() { // since the start of the case
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration<double, std::milli>(steady_clock::now() - start).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until(double at) { sleep_ms(at - now_ms()); }

inline std::string format(const char* text, va_list arguments) {
  char buffer[2048];
  std::vsnprintf(buffer, sizeof buffer, text, arguments);
  return buffer;
}
[[gnu::format(printf, 1, 2)]] inline std::string text(const char* pattern, ...) {
  va_list arguments;
  va_start(arguments, pattern);
  std::string result = format(pattern, arguments);
  va_end(arguments);
  return result;
}

class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void line(const std::string& what) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.1f %s\n", now_ms(), what.c_str());
    std::fflush(file_);
  }

 private:
  Record() {
    const char* path = std::getenv("RECORD");
    file_ = path == nullptr ? nullptr : std::fopen(path, "w");
    if (file_ == nullptr) file_ = stderr;
  }
  std::FILE* file_;
  std::mutex mutex_;
};
[[gnu::format(printf, 1, 2)]] inline void record(const char* pattern, ...) {
  va_list arguments;
  va_start(arguments, pattern);
  Record::get().line(format(pattern, arguments));
  va_end(arguments);
}
[[gnu::format(printf, 1, 2)]] inline void say(const char* pattern, ...) { // in the record and on the terminal
  va_list arguments;
  va_start(arguments, pattern);
  const std::string what = format(pattern, arguments);
  va_end(arguments);
  Record::get().line(what);
  std::printf("%s\n", what.c_str());
  std::fflush(stdout);
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Processes that the case has started, so that they end with it however it ends.
inline std::mutex processes_mutex;
inline std::set<pid_t> processes;
inline void kill_processes() {
  for (const pid_t pid : processes) kill(pid, SIGKILL);
}
[[noreturn]] inline void finish(int code) {
  {
    const std::lock_guard lock(processes_mutex);
    kill_processes();
    for (const pid_t pid : processes) waitpid(pid, nullptr, 0);
  }
  std::fflush(nullptr);
  std::_Exit(code);
}
[[noreturn]] inline void cannot_run(const std::string& why) {
  say("could not run: %s", why.c_str());
  finish(2);
}
[[noreturn]] inline void verdict(bool broken, const std::string& why) {
  say("%s: %s", broken ? "BROKEN" : "held", why.c_str());
  finish(broken ? 1 : 0);
}
// To be called first: nothing outlives the case, and it ends in time.
inline void begin(double limit_s = 110) {
  signal(SIGPIPE, SIG_IGN);
  const auto end = [](int) {
    kill_processes();
    std::_Exit(2);
  };
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) signal(number, end);
  now_ms();
  std::thread([limit_s] {
    sleep_ms(limit_s * 1000);
    cannot_run("the time limit of the case has passed");
  }).detach();
}

// ---- sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline int listen_on_free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0)
    cannot_run("no free port");
  return fd;
}
// A port for a program that listens by itself.
inline int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    cannot_run("no free port");
  const int port = port_of(fd);
  close(fd);
  return port;
}
inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

struct Message {
  std::string start;
  std::map<std::string, std::string> headers; // names in lower case
  std::string body;
  enum class End { Whole, Closed, Reset, TimedOut, Broken } end = End::TimedOut;
  double first_byte_at = -1, ended_at = -1;
  bool whole() const { return end == End::Whole; }
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const auto first = start.find(' ');
    if (first == std::string::npos) return "";
    return start.substr(first + 1, start.rfind(' ') - first - 1);
  }
  int status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
};
inline const char* name_of(Message::End end) {
  switch (end) {
    case Message::End::Whole: return "whole";
    case Message::End::Closed: return "closed";
    case Message::End::Reset: return "reset";
    case Message::End::TimedOut: return "still open";
    case Message::End::Broken: return "unreadable";
  }
  return "";
}

class Stream {
 public:
  Stream() = default;
  explicit Stream(int fd) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Stream(Stream&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)), end_(other.end_) {}
  Stream& operator=(Stream&& other) noexcept {
    std::swap(fd_, other.fd_);
    std::swap(buffer_, other.buffer_);
    std::swap(end_, other.end_);
    return *this;
  }
  ~Stream() { close(); }
  static Stream connect_to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
      return Stream(fd);
    if (fd >= 0) ::close(fd);
    return {};
  }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  bool write(const std::string& bytes) {
    std::size_t sent = 0;
    while (fd_ >= 0 && sent < bytes.size()) {
      const auto part = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (part <= 0) return false;
      sent += static_cast<std::size_t>(part);
    }
    return fd_ >= 0;
  }
  // More bytes by `until` (now_ms() clock); false: see `end`.
  bool read_more(double until, Message::End& end) {
    if (end_) return end = *end_, false;
    for (;;) {
      const double left = until - now_ms();
      pollfd entry{fd_, POLLIN, 0};
      const int ready = poll(&entry, 1, left <= 0 ? 0 : static_cast<int>(left) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) {
        if (now_ms() < until) continue;
        return end = Message::End::TimedOut, false;
      }
      char bytes[65536];
      const auto got = recv(fd_, bytes, sizeof bytes, 0);
      if (got < 0 && errno == EINTR) continue;
      if (got > 0) return buffer_.append(bytes, static_cast<std::size_t>(got)), true;
      end_ = end = got == 0 ? Message::End::Closed : Message::End::Reset;
      return false;
    }
  }
  std::string take_buffer() { return std::exchange(buffer_, {}); }
  // Reads one message, of either direction. A response without a length ends with the connection.
  Message read_message(double until, bool is_response) {
    Message message;
    const auto give_up = [&](Message::End end) {
      message.end = end;
      message.ended_at = now_ms();
      return message;
    };
    Message::End end = Message::End::TimedOut;
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!buffer_.empty() && message.first_byte_at < 0) message.first_byte_at = now_ms();
      if (!read_more(until, end)) return give_up(end);
    }
    if (message.first_byte_at < 0) message.first_byte_at = now_ms();
    std::size_t at = 0;
    while (at < head_end) {
      const std::size_t line_end = std::min(buffer_.find("\r\n", at), head_end);
      const std::string line = buffer_.substr(at, line_end - at);
      if (at == 0) {
        message.start = line;
      } else if (const auto colon = line.find(':'); colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        std::size_t value_at = colon + 1;
        while (value_at < line.size() && line[value_at] == ' ') ++value_at;
        message.headers[name] = line.substr(value_at);
      }
      at = line_end + 2;
    }
    buffer_.erase(0, head_end + 4);
    if (is_response && message.status() < 200) return read_message(until, is_response); // interim
    if (message.headers.contains("transfer-encoding")) {
      for (;;) {
        std::size_t line_end = 0;
        while ((line_end = buffer_.find("\r\n")) == std::string::npos)
          if (!read_more(until, end)) return give_up(end);
        const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < line_end + 2 + size + 2)
          if (!read_more(until, end)) return give_up(end);
        message.body.append(buffer_, line_end + 2, size);
        buffer_.erase(0, line_end + 2 + size + 2);
        if (size == 0) return give_up(Message::End::Whole);
      }
    }
    if (!message.headers.contains("content-length") && is_response) {
      while (read_more(until, end)) {}
      message.body.swap(buffer_);
      return give_up(end == Message::End::Closed ? Message::End::Whole : end);
    }
    const std::size_t length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!read_more(until, end)) {
        message.body = buffer_;
        return give_up(end);
      }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return give_up(Message::End::Whole);
  }

 private:
  int fd_ = -1;
  std::string buffer_;
  std::optional<Message::End> end_;
};

// Accepts connections until the case ends; `serve` handles one connection on a thread of its own.
class Acceptor {
 public:
  explicit Acceptor(std::function<void(Stream)> serve) : fd_(listen_on_free_port()) {
    port_ = port_of(fd_);
    std::thread([fd = fd_, serve = std::move(serve)] {
      for (;;) {
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          if (errno == EINTR || errno == ECONNABORTED) continue;
          return;
        }
        std::thread([accepted, serve] { serve(Stream(accepted)); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  int fd_;
  int port_ = 0;
};

// ---- servers ----

struct Attempt { // a complete request that a cache or the origin has received
  std::string server, id, method, key, idempotency_key, body;
  double first_byte_at = 0, received_at = 0;
  double told_ms = 0; // X-Timeout-Ms
};

inline std::string last_segment(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  return path.substr(path.rfind('/') + 1);
}
inline std::string response(int status, const std::string& body, const std::string& headers = "") {
  const char* reason = status == 200 ? "OK" : status == 404 ? "Not Found" : "Answer";
  return text("HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n", status, reason, headers.c_str(),
              body.size()) +
         body;
}
inline const std::string kLoad = "X-Server-Load: eps=0,latency_ms=20,queue=0,x1=0\r\n";

// A cache or the origin. `handle` writes the answer to the stream, and returns false if the connection is of
// no further use (it stays open until the router closes it). The default holds every key.
class Server {
 public:
  using Handle = std::function<bool(const Attempt&, Stream&)>;
  Server(std::string name, bool is_origin, Handle handle)
      : name_(std::move(name)),
        is_origin_(is_origin),
        handle_(std::move(handle)),
        acceptor_([this](Stream stream) { serve(std::move(stream)); }) {}
  const std::string& name() const { return name_; }
  bool is_origin() const { return is_origin_; }
  int port() const { return acceptor_.port(); }
  std::vector<Attempt> attempts() {
    const std::lock_guard lock(mutex_);
    return attempts_;
  }
  // The body of the answer made for a request; no other answer has it.
  static std::string value_for(const std::string& server, const Attempt& attempt) {
    return "made by " + server + " for " + attempt.id + " key " + attempt.key + "\n";
  }

 private:
  void serve(Stream stream) {
    for (;;) {
      const Message message = stream.read_message(now_ms() + 1e6, false);
      if (!message.whole()) {
        if (message.first_byte_at >= 0)
          record("%s: half a request, then %s", name_.c_str(), name_of(message.end));
        return;
      }
      Attempt attempt{name_,
                      message.header("x-request-id"),
                      message.method(),
                      last_segment(message.target()),
                      message.header("idempotency-key"),
                      message.body,
                      message.first_byte_at,
                      now_ms(),
                      std::atof(message.header("x-timeout-ms").c_str())};
      {
        const std::lock_guard lock(mutex_);
        attempts_.push_back(attempt);
      }
      record("%s: got %s %s id=%s body=%zu told_ms=%.0f", name_.c_str(), attempt.method.c_str(),
             attempt.key.c_str(), attempt.id.c_str(), attempt.body.size(), attempt.told_ms);
      if (handle_ ? handle_(attempt, stream)
                  : stream.write(response(200, value_for(name_, attempt), kLoad + "X-Cache-Status: hit\r\n")))
        continue;
      Message::End end;
      while (stream.read_more(now_ms() + 1e6, end)) {} // of no further use
      return;
    }
  }
  std::string name_;
  bool is_origin_;
  Handle handle_;
  std::mutex mutex_;
  std::vector<Attempt> attempts_;
  Acceptor acceptor_;
};

// ---- discovery ----

struct Entry {
  std::string name;
  int port = 0;
  bool is_origin = false;
  std::string status = "in_service";
  double since_ms = 0;
};
inline std::string to_json(const Entry& entry) {
  return text(
      "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"dublin\",\"type\":\"%s\",\"group\":0,"
      "\"status\":\"%s\",\"weight\":1.0,\"since_ms\":%.0f}",
      entry.name.c_str(), entry.port, entry.is_origin ? "origin" : "std-4core", entry.status.c_str(),
      entry.since_ms);
}
inline std::string list_json(std::uint64_t index, bool snapshot, const std::vector<Entry>& entries) {
  std::string list;
  for (const Entry& entry : entries) list += (list.empty() ? "" : ",") + to_json(entry);
  return text("{\"index\":%llu,\"snapshot\":%s,\"endpoints\":[", static_cast<unsigned long long>(index),
              snapshot ? "true" : "false") +
         list + "]}";
}

// Discovery's agent on the router's machine. While it is silent, it accepts calls and answers none; it answers
// those that are still open when it is back.
class Agent {
 public:
  explicit Agent(std::vector<Entry> entries, std::string name = "agent")
      : name_(std::move(name)),
        entries_(std::move(entries)),
        acceptor_([this](Stream stream) { serve(std::move(stream)); }) {}
  int port() const { return acceptor_.port(); }
  void change(const std::string& name, const std::string& status, double since_ms = -1) {
    const std::lock_guard lock(mutex_);
    ++index_;
    for (Entry& entry : entries_) {
      if (entry.name != name) continue;
      entry.status = status;
      if (since_ms >= 0) entry.since_ms = since_ms;
      changes_.emplace_back(index_, entry);
    }
    record("%s: has version %llu: %s is %s%s", name_.c_str(), static_cast<unsigned long long>(index_),
           name.c_str(), status.c_str(), silent_ ? " (silent)" : "");
    changed_.notify_all();
  }
  void set_silent(bool silent) {
    const std::lock_guard lock(mutex_);
    silent_ = silent;
    record("%s: %s", name_.c_str(), silent ? "silent from now on" : "answers again");
    changed_.notify_all();
  }
  std::uint64_t index() {
    const std::lock_guard lock(mutex_);
    return index_;
  }
  std::string known() { // the list as a router had it last
    const std::lock_guard lock(mutex_);
    return list_json(index_, true, entries_);
  }

 private:
  void serve(Stream stream) {
    for (;;) {
      const Message message = stream.read_message(now_ms() + 1e6, false);
      if (!message.whole()) return;
      const std::string target = message.target();
      const auto parameter = [&target](const char* name, double fallback) {
        const auto found = target.find(std::string(name) + "=");
        return found == std::string::npos ? fallback
                                          : std::atof(target.c_str() + found + std::strlen(name) + 1);
      };
      const double since = parameter("since", -1);
      const double due = now_ms() + std::min(parameter("timeout_ms", 0), 60000.0);
      std::string body;
      {
        std::unique_lock lock(mutex_);
        while (silent_ || (since >= 0 && static_cast<double>(index_) <= since && now_ms() < due)) {
          const double wait = silent_ ? 1000 : due - now_ms();
          changed_.wait_for(lock, std::chrono::duration<double, std::milli>(std::max(wait, 1.0)));
        }
        if (since < 0 || since > static_cast<double>(index_)) {
          body = list_json(index_, true, entries_);
        } else {
          std::vector<Entry> changed;
          for (const auto& [index, entry] : changes_)
            if (static_cast<double>(index) > since) changed.push_back(entry);
          body = list_json(index_, false, changed);
        }
      }
      record("%s: answers %s with %s", name_.c_str(), target.c_str(), body.substr(0, 40).c_str());
      if (!stream.write(response(200, body, "Content-Type: application/json\r\n"))) return;
    }
  }
  std::string name_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t index_ = 41;
  std::vector<Entry> entries_;
  std::vector<std::pair<std::uint64_t, Entry>> changes_;
  bool silent_ = false;
  Acceptor acceptor_;
};

// ---- the router ----

inline std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}
inline void write_file(const std::string& path, const std::string& contents) {
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (file == nullptr || std::fwrite(contents.data(), 1, contents.size(), file) != contents.size())
    cannot_run("cannot write " + path);
  std::fclose(file);
}

struct ClassSettings {
  std::string name, repeat = "safe";
  double aim = 750, give_up = 1500, window = 5000, worth = 3, late_share = 0;
};
// The settings of cuan-slots-main, for one router.
inline std::string settings_json(const std::vector<ClassSettings>& classes) {
  std::string list;
  for (const ClassSettings& c : classes) {
    list += list.empty() ? "" : ",";
    list += text(
        "{\"aim\":%.0f,\"dedup_scope\":\"all\",\"give_up\":%.0f,\"late_share\":%.2f,\"name\":\"%s\","
        "\"repeat\":\"%s\",\"stream\":false,\"window\":%.0f,\"worth\":%.0f}",
        c.aim, c.give_up, c.late_share, c.name.c_str(), c.repeat.c_str(), c.window, c.worth);
  }
  return "{\"balancers\":1,\"classes\":[" + list +
         "],\"clients\":{\"marks_retry\":false},\"counted_by\":\"work\",\"dcs\":[\"dublin\",\"cork\"],"
         "\"extra\":{\"mode\":\"aside\",\"origin_kind\":2,\"origin_fall\":3000,\"origin_fall_multiple\":0},"
         "\"kind_of_service\":\"cache\",\"kinds\":[\"fast-4core\",\"std-4core\",\"origin\"],"
         "\"limits\":{\"conn_idle\":15000,\"connect_timeout\":250,\"cpu_us_per_request\":0,"
         "\"cpu_us_per_s\":15000,\"max_attempts\":5,\"max_retry_after\":1500,\"may_cancel\":true,"
         "\"may_duplicate\":true,\"may_probe\":false,\"may_tell\":true,\"open_cap\":20000,"
         "\"retry_after\":true,\"streams_per_conn\":1},\"me\":0,\"my_zone\":0,"
         "\"obligations\":{\"ask_every\":10000,\"drain_grace\":250,\"fall_multiple\":4,"
         "\"grace_to_answer\":20,\"start_capacity\":0.32,\"tip_after\":2000,\"warm_after\":8900},"
         "\"over_share_worth\":0.05,\"parties\":[{\"name\":\"port-a\",\"quota_per_s\":500,\"share\":1}],"
         "\"registry_mode\":\"push\",\"stage\":0,\"stages\":[\"slot-cache\"],"
         "\"telemetry\":{\"columns\":[\"eps\",\"latency_ms\",\"queue\",\"x1\"],\"via\":\"inline\"},"
         "\"tick\":5,\"weight_kind\":\"rough\"}";
}
inline const std::vector<ClassSettings> kSiteClasses = {
    {"slot-lookup", "safe", 750, 1500, 5000, 3},
    {"slot-book", "keyed", 750, 1500, 1000, 8},
};

struct RouterFiles {
  std::string folder; // the case's temporary folder
  std::string tmpdir; // $TMPDIR of the router
  std::string config_path;
  int port = 0;
  int discovery_port = 0;
};

struct Limits {
  int memory_mb = 192;
  int sockets = 1024;
};
inline std::string config_json(const RouterFiles& files, int control_port, const std::string& known,
                               const std::vector<ClassSettings>& classes, const Limits& limits = {}) {
  return text("{\"name\":\"n0\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"127.0.0.1:%d\",", files.port,
              files.discovery_port) +
         (control_port > 0 ? text("\"control\":\"127.0.0.1:%d\",", control_port) : "") +
         "\"seed\":\"8c1f30d27a5be964\"," +
         text("\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},", limits.memory_mb,
              limits.sockets) +
         (known.empty() ? "" : "\"known\":" + known + ",") + "\"settings\":" + settings_json(classes) + "}";
}

// A process started by `run` of the deploy file, from the root of the repository.
class Router {
 public:
  Router(const RouterFiles& files, int control_port, const std::string& log_name)
      : port_(files.port), control_port_(control_port) {
    const std::string root = environment("ROOT"), run = environment("RUN");
    if (root.empty() || run.empty()) cannot_run("ROOT and RUN are not set");
    const std::string log_path = files.folder + "/" + log_name;
    const std::lock_guard lock(processes_mutex);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) cannot_run("fork");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) std::_Exit(127);
      for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGPIPE}) signal(number, SIG_DFL);
      const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("NODE_NAME", "n0", 1);
      setenv("NODE_LISTEN", address_of(files.port).c_str(), 1);
      setenv("NODE_DISCOVERY", address_of(files.discovery_port).c_str(), 1);
      setenv("NODE_CONFIG", files.config_path.c_str(), 1);
      if (control_port > 0) setenv("NODE_CONTROL", address_of(control_port).c_str(), 1);
      setenv("TMPDIR", files.tmpdir.c_str(), 1);
      if (chdir(root.c_str()) != 0) std::_Exit(127);
      execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      std::_Exit(127);
    }
    processes.insert(pid_);
    record("platform: started router process %s", log_name.c_str());
  }
  pid_t pid() const { return pid_; }
  void send_signal(int number, const char* name) {
    record("platform: %s", name);
    kill(pid_, number);
  }
  bool has_exited() {
    if (exited_) return true;
    const pid_t result = waitpid(pid_, &status_, WNOHANG);
    if (result != pid_) return false;
    exited_ = true;
    const std::lock_guard lock(processes_mutex);
    processes.erase(pid_);
    return true;
  }
  int status() const { return status_; }
  bool wait_exit(double until) {
    while (!has_exited()) {
      if (now_ms() > until) return false;
      sleep_ms(2);
    }
    record("platform: the process has ended, status %d", status_);
    return true;
  }
  // GET /ready answers 200 within `limit_ms`.
  bool wait_ready(double limit_ms = 20000) {
    for (const double until = now_ms() + limit_ms; now_ms() < until; sleep_ms(20)) {
      if (has_exited()) cannot_run("the router ended at its start");
      Stream stream = Stream::connect_to(port_);
      if (!stream.is_open()) continue;
      stream.write("GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
      if (stream.read_message(now_ms() + 1000, true).status() == 200) {
        record("platform: /ready answers 200");
        return true;
      }
    }
    return false;
  }
  std::string control(const std::string& line) const { // the first line of the answer
    Stream stream = Stream::connect_to(control_port_);
    if (!stream.is_open()) return "";
    stream.write(line + "\n");
    Message::End end;
    std::string answer;
    while (stream.read_more(now_ms() + 2000, end)) {}
    answer = stream.take_buffer();
    answer = answer.substr(0, answer.find('\n'));
    record("operator: %s -> %s", line.c_str(), answer.c_str());
    return answer;
  }

 private:
  pid_t pid_ = -1;
  int port_, control_port_;
  int status_ = 0;
  bool exited_ = false;
};

// ---- clients ----

inline std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  return text("%016llx", static_cast<unsigned long long>(random()));
}
struct RequestSpec {
  std::string method = "GET", key = "berth-1", id, class_name = "slot-lookup", body, idempotency_key;
  double timeout_ms = 1500;
};
inline std::string head_of(const RequestSpec& spec) {
  std::string head =
      spec.method + " /api/" + spec.key + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + spec.id +
      "\r\nX-Priority-Class: " + spec.class_name + "\r\nX-Tenant-Id: port-a\r\nX-Cost: 20000\r\n" +
      text("X-Timeout-Ms: %.0f\r\n", spec.timeout_ms);
  if (!spec.idempotency_key.empty()) head += "Idempotency-Key: " + spec.idempotency_key + "\r\n";
  if (spec.method == "PUT") head += text("Content-Length: %zu\r\n", spec.body.size());
  return head + "\r\n";
}

// One request on a new connection, which is closed afterwards. A refused connection counts as Reset.
inline Message request(int port, const RequestSpec& spec, double limit_ms = 0) {
  const double sent_at = now_ms();
  Stream stream = Stream::connect_to(port);
  Message message;
  message.end = Message::End::Reset;
  if (stream.is_open() && stream.write(head_of(spec) + spec.body))
    message = stream.read_message(sent_at + (limit_ms > 0 ? limit_ms : spec.timeout_ms), true);
  message.ended_at = now_ms();
  record("client: %s %s id=%s sent at %.0f: %d %s after %.0f ms", spec.method.c_str(), spec.key.c_str(),
         spec.id.c_str(), sent_at, message.status(), name_of(message.end), now_ms() - sent_at);
  return message;
}

// Lookups of many keys at a steady rate, each on a new connection, until stop().
class Lookups {
 public:
  Lookups(int port, double per_second, int keys = 400) {
    thread_ = std::thread([this, port, per_second, keys] {
      std::vector<std::thread> requests;
      const double start = now_ms();
      for (int i = 0; !stopped_; ++i) {
        sleep_until(start + i * 1000 / per_second);
        RequestSpec spec;
        spec.id = new_id();
        spec.key = text("berth-%d", i % keys);
        requests.emplace_back([this, port, spec] {
          const Message message = request(port, spec);
          ++sent_;
          served_ += message.whole() && message.status() == 200;
        });
      }
      for (std::thread& one : requests) one.join();
    });
  }
  void stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
  }
  int sent() const { return sent_; }
  int served() const { return served_; }

 private:
  std::atomic<bool> stopped_{false};
  std::atomic<int> sent_{0}, served_{0};
  std::thread thread_;
};

// What the caches hold. A cache that lacks a key answers with a miss; once the origin has answered for that
// request, the caches that missed store the value.
class Stored {
 public:
  bool holds_or_missed(const Attempt& attempt) {
    const std::lock_guard lock(mutex_);
    if (keys_[attempt.server].contains(attempt.key)) return true;
    missed_[attempt.id].push_back(attempt.server);
    return false;
  }
  void fetched(const Attempt& attempt) {
    const std::lock_guard lock(mutex_);
    for (const std::string& server : missed_[attempt.id]) keys_[server].insert(attempt.key);
    missed_.erase(attempt.id);
  }
  void written(const Attempt& attempt) { // the origin drops the copies
    const std::lock_guard lock(mutex_);
    for (auto& [server, keys] : keys_) keys.erase(attempt.key);
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> keys_;
  std::map<std::string, std::vector<std::string>> missed_;
};

// A few caches, the origin and discovery's agent.
struct Fleet {
  std::vector<std::unique_ptr<Server>> servers; // the origin is the last one
  std::unique_ptr<Agent> agent;
  std::vector<Entry> entries;
  std::shared_ptr<Stored> stored = std::make_shared<Stored>();

  explicit Fleet(int caches, const Server::Handle& cache = {}, const Server::Handle& origin = {}) {
    for (int i = 0; i < caches; ++i) {
      servers.push_back(std::make_unique<Server>(text("c%d", i), false, cache ? cache : usual_cache()));
      entries.push_back({servers.back()->name(), servers.back()->port()});
    }
    servers.push_back(std::make_unique<Server>("ledger", true, origin ? origin : usual_origin()));
    entries.push_back({"ledger", servers.back()->port(), true});
    agent = std::make_unique<Agent>(entries);
  }
  Server::Handle usual_cache() const {
    return [kept = stored](const Attempt& attempt, Stream& stream) {
      sleep_ms(10);
      if (!kept->holds_or_missed(attempt))
        return stream.write(response(404, "", kLoad + "X-Cache-Status: miss\r\n"));
      return stream.write(
          response(200, Server::value_for(attempt.server, attempt), kLoad + "X-Cache-Status: hit\r\n"));
    };
  }
  Server::Handle usual_origin() const {
    return [kept = stored](const Attempt& attempt, Stream& stream) {
      sleep_ms(30);
      attempt.method == "PUT" ? kept->written(attempt) : kept->fetched(attempt);
      return stream.write(response(200, Server::value_for(attempt.server, attempt), kLoad));
    };
  }
  Server& origin() { return *servers.back(); }
  Server& cache(std::size_t i) { return *servers[i]; }
};

inline RouterFiles router_files(const Fleet& fleet) {
  RouterFiles files;
  files.folder = environment("WORK");
  files.tmpdir = files.folder + "/t";
  mkdir(files.tmpdir.c_str(), 0755);
  files.config_path = files.folder + "/config.json";
  files.port = free_port();
  files.discovery_port = fleet.agent->port();
  return files;
}

} // namespace kit
