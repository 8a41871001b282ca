// Stand-ins for the outside world of a router: HTTP over loopback sockets, caches, origin, discovery, a network
// with delay, and the platform, which starts router processes with `run` of the deploy file. Every connection has
// its own thread. Nothing here is taken from the router.
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

#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2; // exit codes

inline double now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleep_until(double at_ms) { sleep_ms(at_ms - now_ms()); }

// ---- record.txt ----

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::perror(path.c_str()), std::exit(kCouldNotRun);
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%10.1f ms  ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

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

inline void set_nodelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// A listening socket on a free port.
inline int listen_anywhere() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0)
    std::perror("listen"), std::exit(kCouldNotRun);
  return fd;
}

// A port that nobody uses now. The router binds it a moment later.
inline int free_port() {
  const int fd = listen_anywhere();
  const int port = port_of(fd);
  close(fd);
  return port;
}

inline int connect_to(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  set_nodelay(fd);
  return fd;
}

inline bool wait_readable(int fd, double timeout_ms) {
  pollfd entry{fd, POLLIN, 0};
  const double due_ms = now_ms() + timeout_ms;
  for (;;) {
    const double left_ms = due_ms - now_ms();
    const int result = poll(&entry, 1, left_ms <= 0 ? 0 : static_cast<int>(left_ms) + 1);
    if (result > 0) return true;
    if (result == 0 && now_ms() >= due_ms) return false;
    if (result < 0 && errno != EINTR) return false;
  }
}

inline bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Closes with a reset, as a process that dies or a machine that breaks the connection.
inline void reset(int fd) {
  const linger abort{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  close(fd);
}

// ---- HTTP messages ----

struct Message {
  std::string start_line, body;
  std::map<std::string, std::string> headers; // names in lower case
  double first_byte_ms = 0, last_byte_ms = 0;

  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string word(int index) const { // of the start line
    std::istringstream words(start_line);
    std::string result;
    for (int i = 0; i <= index && words >> result; ++i) {}
    return result;
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

enum class Read { Whole, End, Reset, Late }; // End: closed, Late: not whole by the deadline

// Reads messages from a connection. `pace` is called before each read and may wait: a slow reader.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  std::function<void(std::size_t received_bytes)> pace;
  std::size_t read_bytes = 64 << 10;

  bool has_leftover() const { return !buffer_.empty(); }

  Read read(Message& message, double deadline_ms) {
    message = {};
    std::size_t head_end = 0, body_length = 0;
    bool chunked = false;
    for (;;) {
      if (!buffer_.empty() && message.first_byte_ms == 0) message.first_byte_ms = now_ms();
      if (head_end == 0 && (head_end = buffer_.find("\r\n\r\n")) != std::string::npos) {
        head_end += 4;
        parse_head(buffer_.substr(0, head_end), message);
        body_length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        chunked = message.header("transfer-encoding") == "chunked";
      } else if (head_end == std::string::npos) {
        head_end = 0;
      }
      if (head_end > 0 && !chunked && buffer_.size() >= head_end + body_length) {
        message.body = buffer_.substr(head_end, body_length);
        buffer_.erase(0, head_end + body_length);
        message.last_byte_ms = now_ms();
        return Read::Whole;
      }
      if (head_end > 0 && chunked) {
        const std::size_t used = parse_chunks(std::string_view(buffer_).substr(head_end), message.body);
        if (used > 0) {
          buffer_.erase(0, head_end + used);
          message.last_byte_ms = now_ms();
          return Read::Whole;
        }
      }
      if (pace) pace(buffer_.size());
      if (!wait_readable(fd_, deadline_ms - now_ms())) return Read::Late;
      char part[64 << 10];
      const ssize_t bytes = recv(fd_, part, std::min(read_bytes, sizeof part), 0);
      if (bytes < 0 && errno == EINTR) continue;
      if (bytes < 0) return Read::Reset;
      if (bytes == 0) return Read::End;
      buffer_.append(part, static_cast<std::size_t>(bytes));
    }
  }

 private:
  static void parse_head(const std::string& head, Message& message) {
    std::istringstream lines(head);
    std::string text;
    std::getline(lines, message.start_line);
    if (!message.start_line.empty()) message.start_line.pop_back();
    while (std::getline(lines, text) && text.size() > 1) {
      const std::size_t colon = text.find(':');
      std::string name = text.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      const std::size_t start = text.find_first_not_of(' ', colon + 1);
      message.headers[name] = text.substr(start, text.size() - start - 1);
    }
  }
  // Returns the bytes of a whole chunked body, or 0.
  static std::size_t parse_chunks(std::string_view text, std::string& body) {
    std::size_t position = 0;
    std::string whole;
    for (;;) {
      const std::size_t line_end = text.find("\r\n", position);
      if (line_end == std::string_view::npos) return 0;
      const std::size_t size =
          std::stoul(std::string(text.substr(position, line_end - position)), nullptr, 16);
      position = line_end + 2;
      if (text.size() < position + size + 2) return 0;
      whole += text.substr(position, size);
      position += size + 2;
      if (size == 0) break;
    }
    body = whole;
    return position;
  }

  int fd_;
  std::string buffer_;
};

inline std::string response(int status, const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Answer") + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- servers ----

// Calls serve(fd) in a thread for each connection; serve() closes the descriptor.
class Server {
 public:
  explicit Server(std::function<void(int)> serve) : fd_(listen_anywhere()), serve_(std::move(serve)) {
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_of(fd_); }
  int fd() const { return fd_; }

 private:
  void accept_all() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return;
      }
      set_nodelay(fd);
      std::thread([this, fd] { serve_(fd); }).detach();
    }
  }
  int fd_;
  std::function<void(int)> serve_;
};

struct Endpoint {
  std::string name, type;
  int port = 0;
  std::string zone = "a";
};

// Discovery with a list that does not change: a watch waits for its time and gets an empty answer.
class Discovery {
 public:
  explicit Discovery(std::vector<Endpoint> endpoints)
      : endpoints_(std::move(endpoints)), server_([this](int fd) { serve(fd); }) {}
  int port() const { return server_.port(); }
  std::string list() const {
    std::string text;
    for (const Endpoint& endpoint : endpoints_) {
      text += (text.empty() ? "" : ",") + std::string("{\"name\":\"") + endpoint.name +
              "\",\"address\":\"127.0.0.1:" + std::to_string(endpoint.port) + "\",\"zone\":\"" +
              endpoint.zone + "\",\"type\":\"" + endpoint.type +
              "\",\"group\":0,\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0}";
    }
    return "{\"index\":7,\"snapshot\":true,\"endpoints\":[" + text + "]}";
  }

 private:
  void serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.read(request, now_ms() + 120000) == Read::Whole) {
      const std::string target = request.word(1);
      std::string answer = list();
      if (target.find("since=") != std::string::npos) {
        const std::size_t at = target.find("timeout_ms=");
        const double wait = at == std::string::npos ? 0 : std::atof(target.c_str() + at + 11);
        if (wait_readable(fd, std::min(wait, 60000.0))) break; // the router has ended the call
        answer = "{\"index\":7,\"snapshot\":false,\"endpoints\":[]}";
      }
      if (!write_all(fd, response(200, answer))) break;
    }
    close(fd);
  }
  std::vector<Endpoint> endpoints_;
  Server server_;
};

// A network between a router and a server that takes `one_way_ms` in each direction.
class DelayedNetwork {
 public:
  DelayedNetwork(int server_port, double one_way_ms)
      : server_port_(server_port), one_way_ms_(one_way_ms), server_([this](int fd) { relay(fd); }) {}
  int port() const { return server_.port(); }

 private:
  struct Direction {
    int from = -1, to = -1;
    std::deque<std::pair<double, std::string>> under_way; // due, bytes; no bytes: the end
    bool ended = false;
  };
  void relay(int client) {
    const int server = connect_to(server_port_);
    if (server < 0) return reset(client);
    Direction directions[2] = {{client, server, {}, false}, {server, client, {}, false}};
    bool broken = false;
    while (!broken && !(directions[0].ended && directions[1].ended)) {
      double due_ms = now_ms() + 1000;
      pollfd entries[2];
      for (int i = 0; i < 2; ++i) {
        entries[i] = {directions[i].ended ? -1 : directions[i].from, POLLIN, 0};
        if (!directions[i].under_way.empty())
          due_ms = std::min(due_ms, directions[i].under_way.front().first);
      }
      const double left_ms = std::max(0.0, due_ms - now_ms());
      const timespec timeout{static_cast<time_t>(left_ms / 1000),
                             static_cast<long>(left_ms * 1e6) % 1000000000L};
      ppoll(entries, 2, &timeout, nullptr);
      for (int i = 0; i < 2 && !broken; ++i) {
        Direction& direction = directions[i];
        if ((entries[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0 && !direction.ended) {
          char part[64 << 10];
          const ssize_t bytes = recv(direction.from, part, sizeof part, MSG_DONTWAIT);
          if (bytes == 0) direction.ended = true;
          if (bytes < 0 && errno != EAGAIN && errno != EINTR) broken = true;
          if (bytes >= 0)
            direction.under_way.emplace_back(now_ms() + one_way_ms_,
                                             std::string(part, static_cast<std::size_t>(bytes)));
        }
      }
      for (Direction& direction : directions) {
        while (!direction.under_way.empty() && direction.under_way.front().first <= now_ms()) {
          const std::string bytes = std::move(direction.under_way.front().second);
          direction.under_way.pop_front();
          if (bytes.empty()) {
            shutdown(direction.to, SHUT_WR);
          } else if (!write_all(direction.to, bytes)) {
            broken = true;
          }
        }
      }
    }
    for (Direction& direction : directions) { // the last bytes
      for (const auto& [due_ms, bytes] : direction.under_way) {
        sleep_until(due_ms);
        if (!broken && !bytes.empty()) write_all(direction.to, bytes);
      }
    }
    if (broken) return reset(client), reset(server);
    close(client);
    close(server);
  }
  int server_port_;
  double one_way_ms_;
  Server server_;
};

// ---- the platform ----

struct Site {
  std::string root, folder, scratch; // the repository, the case, a temporary folder
  bool trouble = true;
};

// The router processes that run. However the driver ends, they are ended by their ids.
inline std::vector<pid_t>& running_routers() {
  static std::vector<pid_t> pids;
  return pids;
}
inline void end_routers() {
  for (const pid_t pid : running_routers()) kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
}
inline void end_early(int) {
  end_routers();
  _exit(kCouldNotRun);
}

// Arguments of each driver: ROOT FOLDER SCRATCH; the environment has TROUBLE.
inline Site read_site(int argc, char** argv) {
  if (argc != 4) std::fprintf(stderr, "usage: driver ROOT FOLDER SCRATCH\n"), std::exit(kCouldNotRun);
  const char* const trouble = std::getenv("TROUBLE");
  signal(SIGPIPE, SIG_IGN);
  running_routers().reserve(64);
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) signal(number, &end_early);
  std::atexit(&end_routers);
  prctl(PR_SET_PDEATHSIG, SIGTERM); // run.sh was killed
  alarm(110);
  now_ms();
  return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

// The command `run` of deploy/balancer.toml.
inline std::string run_command(const Site& site) {
  std::ifstream file(site.root + "/deploy/balancer.toml");
  std::string text;
  while (std::getline(file, text)) {
    if (text.rfind("run = \"", 0) == 0) return text.substr(7, text.rfind('"') - 7);
  }
  std::fprintf(stderr, "no run command in deploy/balancer.toml\n");
  std::exit(kCouldNotRun);
}

// The settings of a small deployment: four routers in four zones, a read and a keyed write, misses and writes go to the origin.
struct ClassTimes {
  double aim_ms = 750, give_up_ms = 1500, late_share = 0, window_ms = 1000;
};
inline std::string settings_json(const ClassTimes& book = {}) {
  return R"({"balancers":4,"tick":5.0,"classes":[)"
         R"({"name":"lookup","aim":750.0,"give_up":1500.0,"late_share":0.0,"repeat":"safe","dedup_scope":"all",)"
         R"("stream":false,"window":5000.0,"worth":3.0},)"
         R"({"name":"book","aim":)" +
         std::to_string(book.aim_ms) + R"(,"give_up":)" + std::to_string(book.give_up_ms) +
         R"(,"late_share":)" + std::to_string(book.late_share) +
         R"(,"repeat":"keyed","dedup_scope":"all","stream":false,"window":)" +
         std::to_string(book.window_ms) +
         R"(,"worth":8.0}],)"
         R"("kind_of_service":"cache","extra":{"mode":"aside","origin_kind":1,"origin_fall_multiple":0.0},)"
         R"("kinds":["cache","origin"],"dcs":["a","b","c","d"],"my_zone":0,"me":0,"parties":[],"registry_mode":"push",)"
         R"("weight_kind":"off","telemetry":{"via":"off","columns":[]},"limits":{"conn_idle":15000.0,)"
         R"("connect_timeout":250.0,"max_attempts":5,"max_retry_after":1500.0,"may_cancel":true,)"
         R"("may_duplicate":true,"may_probe":false,"may_tell":false,"open_cap":20000,"retry_after":true,)"
         R"("streams_per_conn":1},"obligations":{"ask_every":10000.0,"drain_grace":250.0,"fall_multiple":4.0,)"
         R"("grace_to_answer":20.0,"start_capacity":0.32,"tip_after":2000.0,"warm_after":8900.0}})";
}

struct Limits {
  int memory_mb = 192, sockets = 1024;
};

// A router process, started as the platform does it. Killed when it is destroyed, and when the driver dies.
class RouterProcess {
 public:
  RouterProcess(const Site& site, const std::string& name, int listen_port, int control_port,
                const Discovery& discovery, const std::string& settings, const Limits& limits = {}) {
    const std::string config_path = site.scratch + "/" + name + ".json";
    const std::string listen_address = "127.0.0.1:" + std::to_string(listen_port);
    std::ofstream config(config_path);
    config << "{\"name\":\"n0\",\"listen\":\"" << listen_address
           << "\",\"discovery\":\"127.0.0.1:" << discovery.port() << "\",\"seed\":\"8c1f30d27a5be964\",";
    if (control_port > 0) config << "\"control\":\"127.0.0.1:" << control_port << "\",";
    config << "\"limits\":{\"cores\":1.0,\"memory_mb\":" << limits.memory_mb
           << ",\"sockets\":" << limits.sockets << "},\"known\":" << discovery.list()
           << ",\"settings\":" << settings << "}\n";
    config.close();
    const std::string command = run_command(site), log_path = site.scratch + "/" + name + ".log";
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent || chdir(site.root.c_str()) != 0) _exit(127);
      const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("NODE_CONFIG", config_path.c_str(), 1);
      setenv("TMPDIR", site.scratch.c_str(), 1);
      for (const char* variable : {"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_CONTROL"})
        unsetenv(variable);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    if (pid_ < 0) std::perror("fork"), std::exit(kCouldNotRun);
    running_routers().push_back(pid_);
  }
  RouterProcess(const RouterProcess&) = delete;
  ~RouterProcess() {
    if (ended()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::erase(running_routers(), pid_);
  }
  pid_t pid() const { return pid_; }
  void signal(int number) {
    if (!ended()) kill(pid_, number);
  }
  bool ended() {
    if (!reaped_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
      reaped_ = true;
      std::erase(running_routers(), pid_);
    }
    return reaped_;
  }
  int status() const { return status_; } // of waitpid(), once ended() is true
  // Waits for the end; returns the time.
  double wait_for_end(double deadline_ms) {
    while (!ended() && now_ms() < deadline_ms) sleep_ms(2);
    return now_ms();
  }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
  bool reaped_ = false;
};

// GET /ready until it returns 200.
inline bool wait_ready(int port, double timeout_ms) {
  const double due_ms = now_ms() + timeout_ms;
  for (; now_ms() < due_ms; sleep_ms(20)) {
    const int fd = connect_to(port);
    if (fd < 0) continue;
    Reader reader(fd);
    Message answer;
    const bool ready = write_all(fd, "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n") &&
                       reader.read(answer, now_ms() + 1000) == Read::Whole && answer.status() == 200;
    close(fd);
    if (ready) return true;
  }
  return false;
}

// One command at the second address; returns the answer's first line.
inline std::string control(int port, const std::string& command) {
  const int fd = connect_to(port);
  if (fd < 0) return "";
  write_all(fd, command + "\n");
  std::string answer;
  char part[4096];
  while (wait_readable(fd, 1500)) {
    const ssize_t bytes = recv(fd, part, sizeof part, 0);
    if (bytes <= 0) break;
    answer.append(part, static_cast<std::size_t>(bytes));
  }
  close(fd);
  return answer.substr(0, answer.find('\n'));
}

// The platform asks the second address until it says yes.
inline bool wait_control_ready(int port, double timeout_ms) {
  const double due_ms = now_ms() + timeout_ms;
  for (; now_ms() < due_ms; sleep_ms(10)) {
    if (control(port, "ready").rfind("ok", 0) == 0) return true;
  }
  return false;
}

[[noreturn]] inline void finish(Record& record, int code, const std::string& text) {
  record.line("%s: %s", code == kHeld ? "HELD" : code == kBroken ? "BROKEN" : "COULD NOT RUN", text.c_str());
  std::printf("%s: %s\n",
              code == kHeld     ? "held"
              : code == kBroken ? "broken"
                                : "could not run",
              text.c_str());
  std::fflush(stdout);
  end_routers();
  _exit(code); // threads of the stand-ins are still running
}

} // namespace review
