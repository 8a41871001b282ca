// Measures the CPU time per request and per forwarded MB of several programs in one run: routers and plain
// relays, each a process of its own between the same node and the same clients. They take turns, so that
// other load on the machine affects all alike; each figure is the median of the rounds.
//
//   fernward-passing --router build/fernward --relay build/bench/fernward-relay --sizes 1024,65536,409600,5242880
//
// With --latency one client requests the first size, one request after the other, directly from the node and
// through each program. The output is the latency that each adds to the direct path, relative to the first
// relay. --sidecar PROGRAM adds a router that runs as the sidecar of an application.
//
//   fernward-passing --latency --router build/fernward --sidecar build/fernward --relay build/bench/fernward-relay
//
// With --slow N the router has 32 MB and 1,024 descriptors, and N clients request the first size and do not
// read. The memory and descriptors that the router holds are measured while another client sends 200
// requests.
//
//   fernward-passing --router build/fernward --slow 200 --sizes 409600
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

extern char** environ;

namespace {

constexpr const char* kHost = "127.0.0.1";

[[noreturn]] void fail(const std::string& what) {
  std::fprintf(stderr, "fernward-passing: %s\n", what.c_str());
  std::exit(1);
}

sockaddr_in address(int port) {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  where.sin_port = htons(static_cast<std::uint16_t>(port));
  return where;
}

int listen_on(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in where = address(port);
  socklen_t size = sizeof where;
  if (bind(fd, reinterpret_cast<sockaddr*>(&where), size) != 0 || listen(fd, 128) != 0) fail("cannot listen");
  getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
  port = ntohs(where.sin_port);
  return fd;
}

int free_port() {
  int port = 0;
  close(listen_on(port));
  return port;
}

// Reads up to the end of a message head; the bytes after it stay in `text`. Returns false if the peer closed.
bool read_head(int fd, std::string& text, std::string& head) {
  for (;;) {
    if (const auto end = text.find("\r\n\r\n"); end != std::string::npos) {
      head = text.substr(0, end + 4);
      text.erase(0, end + 4);
      return true;
    }
    char bytes[16384];
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    text.append(bytes, static_cast<std::size_t>(n));
  }
}

// ---- the node: responds to GET /SIZE/anything with that many bytes ----

void serve(int fd, const std::string& value) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string text, head;
  while (read_head(fd, text, head)) {
    std::size_t size = std::strtoul(head.c_str() + std::strlen("GET /"), nullptr, 10);
    std::string start = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    iovec parts[2] = {{start.data(), start.size()}, {const_cast<char*>(value.data()), size}};
    std::size_t left = start.size() + size;
    while (left > 0) {
      msghdr message{};
      message.msg_iov = parts;
      message.msg_iovlen = 2;
      const ssize_t n = sendmsg(fd, &message, MSG_NOSIGNAL);
      if (n <= 0) break;
      left -= static_cast<std::size_t>(n);
      auto gone = static_cast<std::size_t>(n);
      for (iovec& part : parts) {
        const std::size_t of_this = std::min(gone, part.iov_len);
        part.iov_base = static_cast<char*>(part.iov_base) + of_this;
        part.iov_len -= of_this;
        gone -= of_this;
      }
    }
    if (left > 0) break;
  }
  close(fd);
}

// ---- the clients: each has one request in flight ----

struct Load {
  std::atomic<std::uint64_t> left{0}, failed{0}, next{1};
};

void ask(int port, std::size_t size, Load& load, std::vector<double>* us = nullptr) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in where = address(port);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) fail("cannot connect");
  std::vector<char> bytes(256 * 1024);
  std::string text, head;
  for (;;) {
    std::uint64_t left = load.left.load();
    while (left > 0 && !load.left.compare_exchange_weak(left, left - 1)) {}
    if (left == 0) break;
    const auto begun = std::chrono::steady_clock::now();
    const std::string id = std::to_string(load.next++);
    const std::string request =
        "GET /" + std::to_string(size) + "/" + id + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
        "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 20000\r\n\r\n";
    if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0 || !read_head(fd, text, head)) {
      fail("the connection closed before a response");
    }
    load.failed += head.compare(0, 12, "HTTP/1.1 200") != 0;
    const auto length = head.find("Content-Length: ");
    if (length == std::string::npos) fail("a response has no Content-Length");
    std::size_t due = std::strtoul(head.c_str() + length + std::strlen("Content-Length: "), nullptr, 10);
    due -= text.size();
    text.clear();
    while (due > 0) {
      const ssize_t n = recv(fd, bytes.data(), std::min(due, bytes.size()), 0);
      if (n <= 0) fail("a response was truncated");
      due -= static_cast<std::size_t>(n);
    }
    if (us != nullptr) {
      us->push_back(
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begun).count());
    }
  }
  close(fd);
}

// ---- the programs between node and clients ----

struct Program {
  std::string name;
  pid_t pid = 0;
  int port = 0;
};

pid_t start(const std::vector<std::string>& command, const std::string& config) {
  std::vector<char*> argv;
  for (const std::string& word : command) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  if (!config.empty()) setenv("NODE_CONFIG", config.c_str(), 1);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 2, "/dev/null", 1, 0);
  pid_t pid = 0;
  if (posix_spawn(&pid, argv[0], &files, nullptr, argv.data(), environ) != 0)
    fail("cannot start " + command[0]);
  posix_spawn_file_actions_destroy(&files);
  return pid;
}

std::string write_config(int port, int node, int nobody, bool small) {
  const auto at = [](int p) { return std::string(kHost) + ":" + std::to_string(p); };
  const nlohmann::json file = {
      {"name", "bench"},
      {"listen", at(port)},
      {"discovery", at(nobody)},
      {"limits", {{"sockets", small ? 1024 : 256}, {"memory_mb", small ? 32 : 64}}},
      {"known",
       {{"index", 1},
        {"snapshot", true},
        {"endpoints",
         {{{"name", "s-1"},
           {"address", at(node)},
           {"zone", "a"},
           {"type", "cache"},
           {"group", 1},
           {"status", "in_service"},
           {"weight", 1.0},
           {"since_ms", 0}}}}}},
      {"settings", nlohmann::json::parse(R"({"balancers": 1, "my_zone": 0, "tick": 1, "dcs": ["a"],
         "kinds": ["cache", "origin"],
         "classes": [{"name": "read", "aim": 20000, "give_up": 20000, "repeat": "safe", "worth": 1}],
         "parties": [{"name": "acme", "share": 1, "quota_per_s": 100000}],
         "telemetry": {"via": "inline", "columns": ["queue"]},
         "limits": {"max_attempts": 4, "may_cancel": true, "may_duplicate": true, "retry_after": true,
                    "max_retry_after": 1500, "connect_timeout": 1000, "conn_idle": 20000},
         "obligations": {"grace_to_answer": 20, "warm_after": 0, "start_capacity": 1, "tip_after": 2000}})")}};
  char path[] = "/tmp/fernward-passing-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << file.dump();
  return path;
}

std::string write_setup(int port, int node) {
  char path[] = "/tmp/fernward-passing-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << "name = \"bench\"\nlisten = \"" << kHost << ":" << port
                      << "\"\n[fleet.nodes.s-1]\naddress = \"" << kHost << ":" << node
                      << "\"\n[classes.read]\ngive_up = \"20s\"\nrepeat = \"safe\"\n"
                         "[tenants.acme]\nshare = 1\nquota = \"100000/s\"\n[limits]\nsockets = 256\n"
                         "memory = \"64MiB\"\n[application]\nruntime_folder = \"/tmp\"\n";
  return path;
}

double cpu_ms(pid_t pid) { // CPU time so far, with nanosecond resolution
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double ns = 0;
  if (!(file >> ns)) fail("no /proc/PID/schedstat");
  return ns / 1e6;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

// ---- CPU time ----

void measure_cpu(const std::vector<Program>& programs, const std::vector<std::size_t>& sizes,
                 const cxxopts::ParseResult& args) {
  std::printf(
      "| answers | program | us a request | ms a MB | beside the first |\n| --- | --- | --- | --- | --- |\n");
  for (const std::size_t size : sizes) {
    const double mb = static_cast<double>(size) / (1 << 20);
    const double turn = std::min(args["requests"].as<double>(), args["mb"].as<double>() / mb);
    std::vector<std::vector<double>> per_request(programs.size()), ratio(programs.size());
    for (int round = -1; round < args["rounds"].as<int>(); ++round) { // the first round is a warm-up
      for (std::size_t i = 0; i < programs.size(); ++i) {
        Load load;
        load.left = static_cast<std::uint64_t>(round < 0 ? turn / 10 + 1 : turn);
        load.next = static_cast<std::uint64_t>(round + 2) << 32;
        const auto asked = static_cast<double>(load.left.load());
        const double before = cpu_ms(programs[i].pid);
        std::vector<std::thread> clients;
        for (int c = 0; c < args["clients"].as<int>(); ++c) {
          clients.emplace_back([&load, size, port = programs[i].port] { ask(port, size, load); });
        }
        for (std::thread& client : clients) client.join();
        if (load.failed > 0) fail(programs[i].name + ": " + std::to_string(load.failed) + " not served");
        if (round < 0) continue;
        per_request[i].push_back((cpu_ms(programs[i].pid) - before) / asked);
        ratio[i].push_back(per_request[i].back() / per_request[0].back());
      }
    }
    for (std::size_t i = 0; i < programs.size(); ++i) {
      const double ms = median(per_request[i]);
      std::printf("| %zu | %s | %.1f | %.3f | %.2f |\n", size, programs[i].name.c_str(), 1000 * ms, ms / mb,
                  median(ratio[i]));
    }
    std::fflush(stdout);
  }
}

// ---- latency ----

void measure_latency(std::vector<Program> programs, int node, std::size_t size,
                     const cxxopts::ParseResult& args) {
  programs.insert(programs.begin(), {"direct", 0, node});
  std::vector<std::vector<double>> us(programs.size()), added(programs.size()), ratio(programs.size());
  for (int round = -1; round < args["rounds"].as<int>(); ++round) { // the first round is a warm-up
    std::vector<double> medians;
    for (const Program& program : programs) {
      Load load;
      load.left = 2000;
      load.next = static_cast<std::uint64_t>(round + 2) << 32;
      std::vector<double> times;
      ask(program.port, size, load, &times);
      if (load.failed > 0) fail(program.name + ": " + std::to_string(load.failed) + " not served");
      medians.push_back(median(times));
    }
    for (std::size_t i = 0; i < programs.size() && round >= 0; ++i) {
      us[i].push_back(medians[i]);
      added[i].push_back(medians[i] - medians[0]);
      if (i > 0) ratio[i].push_back((medians[i] - medians[0]) / (medians[1] - medians[0]));
    }
  }
  std::printf("| way | median, us | added, us | added, beside the first |\n| --- | --- | --- | --- |\n");
  for (std::size_t i = 0; i < programs.size(); ++i) {
    std::printf("| %s | %.0f | %.0f | %.2f |\n", programs[i].name.c_str(), median(us[i]), median(added[i]),
                median(ratio[i]));
  }
}

// ---- clients that do not read ----

double figure(const std::string& path,
              const std::string& name) { // the number in a line "name: number" or "name number"
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (const auto at = line.find(name); at != std::string::npos) {
      return std::strtod(line.c_str() + at + name.size() + 1, nullptr);
    }
  }
  fail("no " + name + " in " + path);
}

std::size_t descriptors(pid_t pid) {
  std::size_t n = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
    ++n;
  }
  return n;
}

// Size of the kernel's buffers, in MB, of the sockets that match the filter: data that is received but not
// read, and data that is written but not yet acknowledged.
double kernel_mb(const std::string& filter) {
  FILE* out = popen(("ss -tmnHO '" + filter + "'").c_str(), "r");
  if (out == nullptr) fail("no ss");
  double bytes = 0;
  char line[1024];
  while (std::fgets(line, sizeof line, out) != nullptr) {
    const std::string_view text(line);
    for (const char* mark : {"skmem:(r", ",w"}) {
      if (const auto at = text.find(mark); at != std::string_view::npos) {
        bytes += std::strtod(line + at + std::strlen(mark), nullptr);
      }
    }
  }
  pclose(out);
  return bytes / (1 << 20);
}

void measure_slow(const Program& program, int node, std::size_t size, int count) {
  const std::string status = "/proc/" + std::to_string(program.pid) + "/status";
  const double rss = figure(status, "VmRSS") / 1024;
  std::vector<int> slow;
  for (int i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), little = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &little, sizeof little);
    const sockaddr_in where = address(program.port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) fail("cannot connect");
    const std::string id = "slow" + std::to_string(i);
    const std::string text = "GET /" + std::to_string(size) + "/" + id +
                             " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
                             "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 20000\r\n\r\n";
    if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) fail("cannot send");
    slow.push_back(fd);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  Load load;
  load.left = 200;
  load.next = 1;
  const auto begun = std::chrono::steady_clock::now();
  ask(program.port, 1024, load);
  const double ms =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
  const double to_clients = kernel_mb("sport = :" + std::to_string(program.port));
  const double from_node = kernel_mb("dport = :" + std::to_string(node));
  std::printf(
      "| slow readers | answers | memory before, MB | with them | most | the kernel's, towards clients and "
      "from the node, MB "
      "| descriptors | 200 others: ms, not served |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  std::printf("| %d | %zu | %.1f | %.1f | %.1f | %.1f, %.1f | %zu | %.0f, %llu |\n", count, size, rss,
              figure(status, "VmRSS") / 1024, figure(status, "VmHWM") / 1024, to_clients, from_node,
              descriptors(program.pid), ms, static_cast<unsigned long long>(load.failed.load()));
  for (const int fd : slow) close(fd);
}

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fernward-passing",
                           "CPU time of forwarding responses, compared with plain relays");
  options.add_options()("router", "program", cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "relay", "program", cxxopts::value<std::string>()->default_value(""))(
      "ways", "methods of the relay",
      cxxopts::value<std::vector<std::string>>()->default_value("bufferevent"))(
      "sizes", "response sizes in bytes",
      cxxopts::value<std::vector<std::size_t>>()->default_value("1024,65536,409600,5242880"))(
      "clients", "concurrent clients", cxxopts::value<int>()->default_value("4"))(
      "rounds", "rounds, with one turn of each program per round", cxxopts::value<int>()->default_value("5"))(
      "mb", "MB forwarded per turn", cxxopts::value<double>()->default_value("200"))(
      "requests", "requests per turn, at most", cxxopts::value<double>()->default_value("20000"))(
      "latency", "measure the latency that each program adds")(
      "sidecar", "program, run as the sidecar of an application",
      cxxopts::value<std::string>()->default_value(""))("slow", "number of clients that do not read",
                                                        cxxopts::value<int>()->default_value("0"));
  const auto args = options.parse(argc, argv);
  const int slow = args["slow"].as<int>();
  signal(SIGPIPE, SIG_IGN);

  const auto sizes = args["sizes"].as<std::vector<std::size_t>>();
  const std::string value(*std::max_element(sizes.begin(), sizes.end()), 'v');
  int node = 0;
  const int listener = listen_on(node);
  std::thread([listener, &value] {
    for (int fd; (fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      std::thread([fd, &value] { serve(fd, value); }).detach();
    }
  }).detach();

  std::vector<Program> programs;
  std::vector<std::string> files;
  const auto at = [](int port) { return std::string(kHost) + ":" + std::to_string(port); };
  if (const std::string relay = args["relay"].as<std::string>(); !relay.empty()) {
    for (const std::string& way : args["ways"].as<std::vector<std::string>>()) {
      const int port = free_port();
      programs.push_back({"relay " + way,
                          start({relay, "--listen", at(port), "--target", at(node), "--way", way}, ""),
                          port});
    }
  }
  for (const std::string& router : args["router"].as<std::vector<std::string>>()) {
    if (router.empty()) continue;
    const int port = free_port();
    files.push_back(write_config(port, node, free_port(), slow > 0));
    programs.push_back({router, start({router, "serve"}, files.back()), port});
  }
  if (const std::string sidecar = args["sidecar"].as<std::string>(); !sidecar.empty()) {
    const int port = free_port();
    files.push_back(write_setup(port, node));
    programs.push_back({sidecar + " sidecar",
                        start({sidecar, "sidecar", "--config", files.back(), "--", "/bin/sleep", "1000"}, ""),
                        port});
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));

  if (args.count("latency") > 0) {
    measure_latency(programs, node, sizes.front(), args);
  } else if (slow > 0) {
    measure_slow(programs.back(), node, sizes.front(), slow);
  } else {
    measure_cpu(programs, sizes, args);
  }
  for (const Program& program : programs) {
    kill(program.pid, SIGTERM); // a sidecar terminates its own processes
    if (program.name.find("sidecar") == std::string::npos) kill(program.pid, SIGKILL);
    waitpid(program.pid, nullptr, 0);
  }
  for (const std::string& file : files) unlink(file.c_str());
  std::fflush(stdout);
  std::_Exit(0); // the threads of the node never end
}
