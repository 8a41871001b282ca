// fernward-bad-router FAULT: a minimal router with one deliberate fault. It is started like a router
// (NODE_CONFIG). It uses blocking sockets and one thread per connection, so it is for short runs only.
#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "config/address.h"
#include "http/parser.h"

namespace {

using namespace fernward;
using nlohmann::json;

constexpr const char* kFaults =
    "honest       none\n"
    "hasty        none, but a connection is closed unread when its second request arrives\n"
    "twice        every third response is sent twice\n"
    "lose         every third request's connection is closed without a response\n"
    "silent       every third request gets no response\n"
    "forge        every third read is answered with a value that no server returned\n"
    "swap         every third read is answered with the value of the previous read\n"
    "alter        every third request is forwarded with a different path\n"
    "repeat       a write with an idempotency key is sent again 1.5 s later\n"
    "refuse       a write that was processed is answered as refused\n"
    "drained      discovery updates are ignored: requests still go to draining nodes\n"
    "flood        the node started last receives thirty copies of every read\n"
    "hang         SIGTERM is ignored\n"
    "crash        the process exits at the tenth request\n"
    "shout        a datagram of 300 bytes is sent to every peer\n";

class Fd {
 public:
  explicit Fd(int fd) : fd_(fd) {}
  ~Fd() {
    if (fd_ >= 0) close(fd_);
  }
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Receives one complete message; `unread` keeps the bytes received after it.
std::optional<http::Message> receive(int fd, http::Kind kind, std::string& behind) {
  http::Parser parser(kind);
  for (;;) {
    behind.erase(0, parser.feed(behind));
    if (parser.done()) return parser.take();
    if (parser.fault() != http::Fault::None) return std::nullopt;
    char buffer[16384];
    const ssize_t got = recv(fd, buffer, sizeof buffer, 0);
    if (got <= 0) return std::nullopt;
    behind.append(buffer, static_cast<std::size_t>(got));
  }
}

std::optional<http::Message> ask(const std::string& address, const std::string& text, int wait_ms) {
  sockaddr_in to{};
  if (!config::parse_address(address, to)) return std::nullopt;
  const Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval wait{wait_ms / 1000, (wait_ms % 1000) * 1000};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
      !send_all(fd.get(), text)) {
    return std::nullopt;
  }
  std::string behind;
  return receive(fd.get(), http::Kind::Response, behind);
}

class BadRouter {
 public:
  BadRouter(std::string fault, json config) : fault_(std::move(fault)), config_(std::move(config)) {
    take(config_.at("known"));
  }

  int serve() {
    sockaddr_in where{};
    if (!config::parse_address(config_.at("listen").get<std::string>(), where)) return 1;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || listen(fd, 512) != 0) {
      std::perror("fernward-bad-router: listen");
      return 1;
    }
    std::thread([this] { watch(); }).detach();
    if (fault_ == "shout") shout();
    for (int client; (client = accept(fd, nullptr, nullptr)) >= 0 || errno == EINTR;) {
      if (client >= 0) std::thread([this, client] { converse(client); }).detach();
    }
    return 1;
  }

 private:
  bool is(const char* fault) const { return fault_ == fault; }

  // ---- discovery ----

  void take(const json& list) {
    const std::lock_guard lock(mutex_);
    if (list.value("snapshot", true)) listed_.clear();
    for (const auto& e : list.at("endpoints")) {
      std::erase_if(listed_, [&](const json& had) { return had.at("name") == e.at("name"); });
      if (e.at("status") != "terminated") listed_.push_back(e);
    }
    if (heard_ == 0 || !is("drained")) in_use_ = listed_;
    index_ = list.value("index", std::uint64_t{0});
    ++heard_;
  }
  void watch() {
    for (bool first = true;;) {
      const std::string query = first ? "" : "?since=" + std::to_string(index_) + "&timeout_ms=1000";
      const auto said = ask(config_.at("discovery").get<std::string>(),
                            "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: d\r\n\r\n", 3000);
      const json list = said ? json::parse(said->body, nullptr, false) : json();
      if (list.is_object()) {
        take(list);
        first = false;
      } else {
        usleep(20000);
      }
    }
  }

  // Selects by the hash of `key` among the usable endpoints: the origins, or the caches.
  std::string target(const std::string& key, bool origin) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    for (const auto& e : in_use_) {
      const bool usable = e.at("status") == "in_service" || is("drained");
      if (usable && (e.at("type") == "origin") == origin) found.push_back(e.at("address"));
    }
    std::sort(found.begin(), found.end());
    return found.empty() ? "" : found[std::hash<std::string>()(key) % found.size()];
  }
  std::string started_last() {
    const std::lock_guard lock(mutex_);
    const json* last = nullptr;
    for (const auto& e : in_use_) {
      if (e.at("since_ms") > 0 && (last == nullptr || e.at("since_ms") > last->at("since_ms"))) last = &e;
    }
    return last == nullptr ? "" : last->at("address").get<std::string>();
  }

  // ---- requests ----

  void converse(int client) {
    const Fd fd(client);
    std::string behind;
    for (int served = 0;; ++served) {
      if (served == 1 && is("hasty")) {
        char byte = 0;
        recv(client, &byte, 1, MSG_PEEK);
        return;
      }
      const auto request = receive(client, http::Kind::Request, behind);
      if (!request) return;
      if (request->target == "/ready") {
        send_all(client, http::write_response(200, {}, "ready\n", false));
        return;
      }
      const std::uint64_t number = ++requests_;
      const bool third = number % 3 == 0;
      if (is("crash") && number == 10) _exit(3);
      const std::string answer = answer_to(*request, third);
      if (third && is("lose")) return;
      if (third && is("silent")) continue;
      if (!send_all(client, answer)) return;
      if (third && is("twice")) {
        usleep(50000); // lets the first response arrive, so that the copy is not taken for its end
        send_all(client, answer);
      }
    }
  }

  static std::string text_of(const http::Message& request, const std::string& path) {
    std::vector<http::Header> headers;
    for (const auto& [name, value] : request.headers) {
      if (name == "x-request-id" || name == "idempotency-key" || name == "x-timeout-ms")
        headers.push_back({name, value});
    }
    return http::write_request(request.method, path, "node", headers, request.body);
  }

  std::string answer_to(const http::Message& request, bool third) {
    const std::string path = third && is("alter") ? request.target + "0" : request.target;
    const bool write = request.method == "PUT";
    const std::string text = text_of(request, path);
    int wait_ms = std::atoi(std::string(request.header("x-timeout-ms")).c_str());
    if (wait_ms <= 0) wait_ms = 1000;
    if (is("flood") && !write) {
      const std::string cold = started_last();
      for (int i = 0; i < 30 && !cold.empty(); ++i) std::thread([=] { ask(cold, text, 200); }).detach();
    }
    auto got = write ? std::nullopt : ask(target(path, false), text, wait_ms);
    if (write || (got && got->status == 404)) got = ask(target(path, true), text, wait_ms);
    if (write && is("repeat")) {
      std::thread([=, this] {
        usleep(1500000);
        ask(target(path, true), text, 1000);
      }).detach();
    }
    if (!got) return http::write_response(502, {}, "failed\n", true);
    if (got->status != 200) return http::write_response(got->status == 500 ? 502 : 503, {}, "", true);
    if (write && is("refuse")) return http::write_response(503, {}, "shed\n", true);
    if (third && !write && is("forge")) got->body = "a value of my own\n";
    if (!write && is("swap")) {
      const std::lock_guard lock(mutex_);
      std::string made = got->body;
      if (third && !before_.empty()) got->body = before_;
      before_ = std::move(made);
    }
    return http::write_response(200, {}, got->body, true);
  }

  void shout() const {
    sockaddr_in from{};
    if (!config::parse_address(config_.at("peer_listen").get<std::string>(), from)) return;
    const Fd fd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&from), sizeof from) != 0) return;
    const std::string bytes(300, 'x');
    for (const auto& peer : config_.at("peers")) {
      sockaddr_in to{};
      if (!config::parse_address(peer.get<std::string>(), to)) continue;
      sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    }
  }

  const std::string fault_;
  const json config_;
  std::mutex mutex_;
  std::vector<json> listed_, in_use_;
  std::string before_;
  int heard_ = 0;
  std::atomic<std::uint64_t> index_ = 0, requests_ = 0;
};

} // namespace

int main(int argc, char** argv) {
  const std::string fault = argc == 2 ? argv[1] : "";
  if (fault.empty() || std::string(kFaults).find(fault + " ") == std::string::npos) {
    std::fprintf(stderr, "usage: fernward-bad-router FAULT\n%s", kFaults);
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  if (fault == "hang") {
    signal(SIGTERM, SIG_IGN);
  } else {
    signal(SIGTERM, [](int) { _exit(0); });
  }
  const char* path = std::getenv("NODE_CONFIG");
  std::ifstream file(path == nullptr ? "" : path);
  json config = json::parse(file, nullptr, false);
  if (config.is_discarded()) {
    std::fprintf(stderr, "fernward-bad-router: NODE_CONFIG does not name a readable JSON file\n");
    return 1;
  }
  return BadRouter(fault, std::move(config)).serve();
}
