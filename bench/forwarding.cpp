// Measures the CPU time per request and per forwarded MB of several programs in one run: routers and plain
// relays, each a process of its own between the same node and the same clients. They take turns, so that
// other load on the machine affects all alike; each figure is the median of the rounds.
//
//   fernward-passing --router build/fernward --relay build/bench/fernward-relay --sizes 1024,65536,409600,5242880
//
// With --latency one client requests the first size, one request after the other, directly from the node and
// through each program. The output is the latency that each adds to the direct path, relative to the first
// program. --sidecar PROGRAM adds a router that runs as the sidecar of an application.
//
//   fernward-passing --latency --router build/fernward --sidecar build/fernward --relay build/bench/fernward-relay
//
// With --slow N the router has 32 MB and 1,024 descriptors, and N clients request the first size and do not
// read. The memory and descriptors that the router holds are measured after another client has sent 200
// requests for 1,024 bytes.
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

[[noreturn]] void fail(const std::string& message) {
  std::fprintf(stderr, "fernward-passing: %s\n", message.c_str());
  std::exit(1);
}

sockaddr_in loopback_address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int listen_on_loopback(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback_address(port);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 128) != 0)
    fail("cannot listen on 127.0.0.1");
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

int free_port() {
  int port = 0;
  close(listen_on_loopback(port));
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
    const ssize_t received = recv(fd, bytes, sizeof bytes, 0);
    if (received <= 0) return false;
    text.append(bytes, static_cast<std::size_t>(received));
  }
}

// ---- the node: responds to GET /SIZE/anything with that many bytes ----

void serve_node_connection(int fd, const std::string& body_bytes) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string text, head;
  while (read_head(fd, text, head)) {
    std::size_t size = std::strtoul(head.c_str() + std::strlen("GET /"), nullptr, 10);
    std::string response_head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    iovec parts[2] = {{response_head.data(), response_head.size()},
                      {const_cast<char*>(body_bytes.data()), size}};
    std::size_t unsent_bytes = response_head.size() + size;
    while (unsent_bytes > 0) {
      msghdr message{};
      message.msg_iov = parts;
      message.msg_iovlen = 2;
      const ssize_t sent = sendmsg(fd, &message, MSG_NOSIGNAL);
      if (sent <= 0) break;
      unsent_bytes -= static_cast<std::size_t>(sent);
      auto sent_bytes = static_cast<std::size_t>(sent);
      for (iovec& part : parts) {
        const std::size_t sent_of_part = std::min(sent_bytes, part.iov_len);
        part.iov_base = static_cast<char*>(part.iov_base) + sent_of_part;
        part.iov_len -= sent_of_part;
        sent_bytes -= sent_of_part;
      }
    }
    if (unsent_bytes > 0) break;
  }
  close(fd);
}

// ---- the clients: each has one request in flight ----

struct RequestLoad {
  std::atomic<std::uint64_t> remaining{0}, failed_count{0}, next_request_id{1};
};

void send_requests(int port, std::size_t size, RequestLoad& load,
                   std::vector<double>* latencies_us = nullptr) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in server_address = loopback_address(port);
  const int enable = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&server_address), sizeof server_address) != 0)
    fail("cannot connect");
  std::vector<char> bytes(256 * 1024);
  std::string text, head;
  for (;;) {
    std::uint64_t remaining = load.remaining.load();
    while (remaining > 0 && !load.remaining.compare_exchange_weak(remaining, remaining - 1)) {}
    if (remaining == 0) break;
    const auto started_at = std::chrono::steady_clock::now();
    const std::string id = std::to_string(load.next_request_id++);
    const std::string request =
        "GET /" + std::to_string(size) + "/" + id + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
        "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 20000\r\n\r\n";
    if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0 || !read_head(fd, text, head)) {
      fail("the connection closed before a response");
    }
    load.failed_count += head.compare(0, 12, "HTTP/1.1 200") != 0;
    const auto length = head.find("Content-Length: ");
    if (length == std::string::npos) fail("a response has no Content-Length");
    std::size_t remaining_bytes =
        std::strtoul(head.c_str() + length + std::strlen("Content-Length: "), nullptr, 10);
    remaining_bytes -= text.size();
    text.clear();
    while (remaining_bytes > 0) {
      const ssize_t received = recv(fd, bytes.data(), std::min(remaining_bytes, bytes.size()), 0);
      if (received <= 0) fail("a response was truncated");
      remaining_bytes -= static_cast<std::size_t>(received);
    }
    if (latencies_us != nullptr) {
      latencies_us->push_back(
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started_at).count());
    }
  }
  close(fd);
}

// ---- the programs between node and clients ----

struct BenchedProgram {
  std::string name;
  pid_t pid = 0;
  int port = 0;
};

pid_t start(const std::vector<std::string>& command, const std::string& config) {
  std::vector<char*> argv;
  for (const std::string& word : command) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  if (!config.empty()) setenv("NODE_CONFIG", config.c_str(), 1);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, 2, "/dev/null", 1, 0);
  pid_t pid = 0;
  if (posix_spawn(&pid, argv[0], &file_actions, nullptr, argv.data(), environ) != 0)
    fail("cannot start " + command[0]);
  posix_spawn_file_actions_destroy(&file_actions);
  return pid;
}

std::string write_config(int port, int node_port, int unused_port, bool small) {
  const auto address_text = [](int p) { return std::string(kHost) + ":" + std::to_string(p); };
  const nlohmann::json config = {
      {"name", "bench"},
      {"listen", address_text(port)},
      {"discovery", address_text(unused_port)},
      {"limits", {{"sockets", small ? 1024 : 256}, {"memory_mb", small ? 32 : 64}}},
      {"known",
       {{"index", 1},
        {"snapshot", true},
        {"endpoints",
         {{{"name", "s-1"},
           {"address", address_text(node_port)},
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
  std::ofstream(path) << config.dump();
  return path;
}

std::string write_application_config(int port, int node_port) {
  char path[] = "/tmp/fernward-passing-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << "name = \"bench\"\nlisten = \"" << kHost << ":" << port
                      << "\"\n[fleet.nodes.s-1]\naddress = \"" << kHost << ":" << node_port
                      << "\"\n[classes.read]\ngive_up = \"20s\"\nrepeat = \"safe\"\n"
                         "[tenants.acme]\nshare = 1\nquota = \"100000/s\"\n[limits]\nsockets = 256\n"
                         "memory = \"64MiB\"\n[application]\nruntime_folder = \"/tmp\"\n";
  return path;
}

double cpu_ms(pid_t pid) { // CPU time of the main thread so far, with nanosecond resolution
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double ns = 0;
  if (!(file >> ns)) fail("cannot read /proc/PID/schedstat");
  return ns / 1e6;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

// ---- CPU time ----

void measure_cpu(const std::vector<BenchedProgram>& programs, const std::vector<std::size_t>& sizes,
                 const cxxopts::ParseResult& parsed_options) {
  std::printf(
      "| response bytes | program | us per request | ms per MB | relative to the first |\n"
      "| --- | --- | --- | --- | --- |\n");
  for (const std::size_t size : sizes) {
    const double mb = static_cast<double>(size) / (1 << 20);
    const double requests_per_turn =
        std::min(parsed_options["requests"].as<double>(), parsed_options["mb"].as<double>() / mb);
    std::vector<std::vector<double>> per_request(programs.size()), ratio(programs.size());
    // Round -1 is a warm-up.
    for (int round = -1; round < parsed_options["rounds"].as<int>(); ++round) {
      for (std::size_t i = 0; i < programs.size(); ++i) {
        RequestLoad load;
        load.remaining =
            static_cast<std::uint64_t>(round < 0 ? requests_per_turn / 10 + 1 : requests_per_turn);
        load.next_request_id = static_cast<std::uint64_t>(round + 2) << 32;
        const auto request_count = static_cast<double>(load.remaining.load());
        const double cpu_before_ms = cpu_ms(programs[i].pid);
        std::vector<std::thread> clients;
        for (int c = 0; c < parsed_options["clients"].as<int>(); ++c) {
          clients.emplace_back([&load, size, port = programs[i].port] { send_requests(port, size, load); });
        }
        for (std::thread& client : clients) client.join();
        if (load.failed_count > 0)
          fail(programs[i].name + ": " + std::to_string(load.failed_count) + " not served");
        if (round < 0) continue;
        per_request[i].push_back((cpu_ms(programs[i].pid) - cpu_before_ms) / request_count);
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

void measure_latency(std::vector<BenchedProgram> programs, int node_port, std::size_t size,
                     const cxxopts::ParseResult& parsed_options) {
  programs.insert(programs.begin(), {"direct", 0, node_port});
  std::vector<std::vector<double>> latencies_us(programs.size()), added_us(programs.size()),
      ratio(programs.size());
  // Round -1 is a warm-up.
  for (int round = -1; round < parsed_options["rounds"].as<int>(); ++round) {
    std::vector<double> round_medians_us;
    for (const BenchedProgram& program : programs) {
      RequestLoad load;
      load.remaining = 2000;
      load.next_request_id = static_cast<std::uint64_t>(round + 2) << 32;
      std::vector<double> round_latencies_us;
      send_requests(program.port, size, load, &round_latencies_us);
      if (load.failed_count > 0)
        fail(program.name + ": " + std::to_string(load.failed_count) + " not served");
      round_medians_us.push_back(median(round_latencies_us));
    }
    for (std::size_t i = 0; i < programs.size() && round >= 0; ++i) {
      latencies_us[i].push_back(round_medians_us[i]);
      added_us[i].push_back(round_medians_us[i] - round_medians_us[0]);
      if (i > 0)
        ratio[i].push_back((round_medians_us[i] - round_medians_us[0]) /
                           (round_medians_us[1] - round_medians_us[0]));
    }
  }
  std::printf(
      "| path | median, us | added, us | added, relative to the first |\n| --- | --- | --- | --- |\n");
  for (std::size_t i = 0; i < programs.size(); ++i) {
    std::printf("| %s | %.0f | %.0f | %.2f |\n", programs[i].name.c_str(), median(latencies_us[i]),
                median(added_us[i]), median(ratio[i]));
  }
}

// ---- clients that do not read ----

// The number in a line "name: number" or "name number".
double read_number(const std::string& path, const std::string& name) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (const auto at = line.find(name); at != std::string::npos) {
      return std::strtod(line.c_str() + at + name.size() + 1, nullptr);
    }
  }
  fail("cannot find " + name + " in " + path);
}

std::size_t open_descriptors(pid_t pid) {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
    ++count;
  }
  return count;
}

// Size of the kernel's buffers, in MB, of the sockets that match the filter: data that is received but not
// read, and data that is written but not yet acknowledged.
double kernel_buffer_mb(const std::string& filter) {
  FILE* ss_output = popen(("ss -tmnHO '" + filter + "'").c_str(), "r");
  if (ss_output == nullptr) fail("cannot run ss");
  double bytes = 0;
  char line[1024];
  while (std::fgets(line, sizeof line, ss_output) != nullptr) {
    const std::string_view text(line);
    for (const char* field_prefix : {"skmem:(r", ",w"}) {
      if (const auto at = text.find(field_prefix); at != std::string_view::npos) {
        bytes += std::strtod(line + at + std::strlen(field_prefix), nullptr);
      }
    }
  }
  pclose(ss_output);
  return bytes / (1 << 20);
}

void measure_slow_readers(const BenchedProgram& program, int node_port, std::size_t size, int reader_count) {
  const std::string status = "/proc/" + std::to_string(program.pid) + "/status";
  const double rss_before_mb = read_number(status, "VmRSS") / 1024;
  std::vector<int> reader_fds;
  for (int i = 0; i < reader_count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), receive_buffer_bytes = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    const sockaddr_in address = loopback_address(program.port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) fail("cannot connect");
    const std::string id = "slow" + std::to_string(i);
    const std::string text = "GET /" + std::to_string(size) + "/" + id +
                             " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
                             "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 20000\r\n\r\n";
    if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) fail("cannot send a request");
    reader_fds.push_back(fd);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  RequestLoad load;
  load.remaining = 200;
  load.next_request_id = 1;
  const auto started_at = std::chrono::steady_clock::now();
  send_requests(program.port, 1024, load);
  const double ms =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started_at).count();
  const double client_side_mb = kernel_buffer_mb("sport = :" + std::to_string(program.port));
  const double node_side_mb = kernel_buffer_mb("dport = :" + std::to_string(node_port));
  std::printf(
      "| slow readers | response bytes | RSS before, MB | with them | peak | kernel buffers towards clients "
      "and from the node, MB "
      "| descriptors | 200 other requests: ms, not served |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  std::printf("| %d | %zu | %.1f | %.1f | %.1f | %.1f, %.1f | %zu | %.0f, %llu |\n", reader_count, size,
              rss_before_mb, read_number(status, "VmRSS") / 1024, read_number(status, "VmHWM") / 1024,
              client_side_mb, node_side_mb, open_descriptors(program.pid), ms,
              static_cast<unsigned long long>(load.failed_count.load()));
  for (const int fd : reader_fds) close(fd);
}

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fernward-passing",
                           "CPU time and latency of forwarding responses, compared with plain relays");
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
  const auto parsed_options = options.parse(argc, argv);
  const int slow_readers = parsed_options["slow"].as<int>();
  signal(SIGPIPE, SIG_IGN);

  const auto sizes = parsed_options["sizes"].as<std::vector<std::size_t>>();
  const std::string body_bytes(*std::max_element(sizes.begin(), sizes.end()), 'v');
  int node_port = 0;
  const int listener = listen_on_loopback(node_port);
  std::thread([listener, &body_bytes] {
    for (int fd; (fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      std::thread([fd, &body_bytes] { serve_node_connection(fd, body_bytes); }).detach();
    }
  }).detach();

  std::vector<BenchedProgram> programs;
  std::vector<std::string> config_paths;
  const auto address_text = [](int port) { return std::string(kHost) + ":" + std::to_string(port); };
  if (const std::string relay = parsed_options["relay"].as<std::string>(); !relay.empty()) {
    for (const std::string& method : parsed_options["ways"].as<std::vector<std::string>>()) {
      const int port = free_port();
      programs.push_back({"relay " + method,
                          start({relay, "--listen", address_text(port), "--target", address_text(node_port),
                                 "--way", method},
                                ""),
                          port});
    }
  }
  for (const std::string& router : parsed_options["router"].as<std::vector<std::string>>()) {
    if (router.empty()) continue;
    const int port = free_port();
    config_paths.push_back(write_config(port, node_port, free_port(), slow_readers > 0));
    programs.push_back({router, start({router, "serve"}, config_paths.back()), port});
  }
  if (const std::string sidecar = parsed_options["sidecar"].as<std::string>(); !sidecar.empty()) {
    const int port = free_port();
    config_paths.push_back(write_application_config(port, node_port));
    programs.push_back(
        {sidecar + " sidecar",
         start({sidecar, "sidecar", "--config", config_paths.back(), "--", "/bin/sleep", "1000"}, ""), port});
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));

  if (parsed_options.count("latency") > 0) {
    measure_latency(programs, node_port, sizes.front(), parsed_options);
  } else if (slow_readers > 0) {
    measure_slow_readers(programs.back(), node_port, sizes.front(), slow_readers);
  } else {
    measure_cpu(programs, sizes, parsed_options);
  }
  for (const BenchedProgram& program : programs) {
    kill(program.pid, SIGTERM); // a sidecar terminates its own processes
    if (program.name.find("sidecar") == std::string::npos) kill(program.pid, SIGKILL);
    waitpid(program.pid, nullptr, 0);
  }
  for (const std::string& path : config_paths) unlink(path.c_str());
  std::fflush(stdout);
  std::_Exit(0); // the threads of the node never end
}
