// fernward-bad-router FAULT: a minimal router with one deliberate fault. It reads its configuration from
// the file named by NODE_CONFIG, like a router. It uses blocking sockets and one thread per connection, so
// it is for short runs only.
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
    "refuse       a write that was processed is answered as rejected\n"
    "drained      discovery updates are ignored: requests still go to draining nodes\n"
    "flood        the node started last receives thirty copies of every read\n"
    "hang         SIGTERM is ignored\n"
    "crash        the process exits at the tenth request\n"
    "shout        a datagram of 300 bytes is sent to every peer\n";

class OwnedDescriptor {
 public:
  explicit OwnedDescriptor(int fd) : fd_(fd) {}
  ~OwnedDescriptor() {
    if (fd_ >= 0) close(fd_);
  }
  OwnedDescriptor(const OwnedDescriptor&) = delete;
  OwnedDescriptor& operator=(const OwnedDescriptor&) = delete;
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
std::optional<http::Message> receive(int fd, http::MessageKind kind, std::string& unread) {
  http::Parser parser(kind);
  for (;;) {
    unread.erase(0, parser.feed(unread));
    if (parser.done()) return parser.take_message();
    if (parser.error() != http::ParseError::None) return std::nullopt;
    char buffer[16384];
    const ssize_t received_bytes = recv(fd, buffer, sizeof buffer, 0);
    if (received_bytes <= 0) return std::nullopt;
    unread.append(buffer, static_cast<std::size_t>(received_bytes));
  }
}

std::optional<http::Message> send_request(const std::string& address, const std::string& text,
                                          int timeout_ms) {
  sockaddr_in target{};
  if (!config::parse_address(address, target)) return std::nullopt;
  const OwnedDescriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 ||
      !send_all(fd.get(), text)) {
    return std::nullopt;
  }
  std::string unread;
  return receive(fd.get(), http::MessageKind::Response, unread);
}

// Keeps the endpoint list up to date in one thread, and serves each client in another.
class BadRouter {
 public:
  BadRouter(std::string fault, json config) : fault_(std::move(fault)), config_(std::move(config)) {
    update_endpoints(config_.at("known"));
  }

  int serve() {
    sockaddr_in listen_address{};
    if (!config::parse_address(config_.at("listen").get<std::string>(), listen_address)) return 1;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&listen_address), sizeof listen_address) != 0 ||
        listen(listener, 512) != 0) {
      std::perror("fernward-bad-router: listen");
      return 1;
    }
    std::thread([this] { watch_discovery(); }).detach();
    if (fault_ == "shout") send_oversized_datagrams();
    for (int client; (client = accept(listener, nullptr, nullptr)) >= 0 || errno == EINTR;) {
      if (client >= 0) std::thread([this, client] { serve_client(client); }).detach();
    }
    return 1;
  }

 private:
  bool has_fault(const char* fault) const { return fault_ == fault; }

  // ---- discovery ----

  void update_endpoints(const json& list) {
    const std::lock_guard lock(mutex_);
    if (list.value("snapshot", true)) endpoints_.clear();
    for (const auto& endpoint : list.at("endpoints")) {
      std::erase_if(endpoints_, [&](const json& known) { return known.at("name") == endpoint.at("name"); });
      if (endpoint.at("status") != "terminated") endpoints_.push_back(endpoint);
    }
    if (update_count_ == 0 || !has_fault("drained")) used_endpoints_ = endpoints_;
    list_index_ = list.value("index", std::uint64_t{0});
    ++update_count_;
  }
  void watch_discovery() {
    for (bool first = true;;) {
      const std::string query = first ? "" : "?since=" + std::to_string(list_index_) + "&timeout_ms=1000";
      const auto response = send_request(config_.at("discovery").get<std::string>(),
                                         "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: d\r\n\r\n", 3000);
      const json list = response ? json::parse(response->body, nullptr, false) : json();
      if (list.is_object()) {
        update_endpoints(list);
        first = false;
      } else {
        usleep(20000);
      }
    }
  }

  // Selects one of the usable origins or caches by the hash of `key`; empty: there is none.
  std::string pick_address(const std::string& key, bool origin) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> addresses;
    for (const auto& endpoint : used_endpoints_) {
      const bool usable = endpoint.at("status") == "in_service" || has_fault("drained");
      if (usable && (endpoint.at("type") == "origin") == origin) addresses.push_back(endpoint.at("address"));
    }
    std::sort(addresses.begin(), addresses.end());
    return addresses.empty() ? "" : addresses[std::hash<std::string>()(key) % addresses.size()];
  }
  // The address of the endpoint that started last in the run; empty: none did.
  std::string last_started_address() {
    const std::lock_guard lock(mutex_);
    const json* last = nullptr;
    for (const auto& endpoint : used_endpoints_) {
      if (endpoint.at("since_ms") > 0 && (last == nullptr || endpoint.at("since_ms") > last->at("since_ms")))
        last = &endpoint;
    }
    return last == nullptr ? "" : last->at("address").get<std::string>();
  }

  // ---- requests ----

  void serve_client(int client) {
    const OwnedDescriptor fd(client);
    std::string unread;
    for (int served = 0;; ++served) {
      if (served == 1 && has_fault("hasty")) {
        char byte = 0;
        recv(client, &byte, 1, MSG_PEEK);
        return;
      }
      const auto request = receive(client, http::MessageKind::Request, unread);
      if (!request) return;
      if (request->target == "/ready") {
        send_all(client, http::write_response(200, {}, "ready\n", false));
        return;
      }
      const std::uint64_t number = ++request_count_;
      const bool every_third = number % 3 == 0;
      if (has_fault("crash") && number == 10) _exit(3);
      const std::string response = response_to(*request, every_third);
      if (every_third && has_fault("lose")) return;
      if (every_third && has_fault("silent")) continue;
      if (!send_all(client, response)) return;
      if (every_third && has_fault("twice")) {
        usleep(50000); // lets the first response arrive, so that the copy is not taken for its end
        send_all(client, response);
      }
    }
  }

  static std::string upstream_request(const http::Message& request, const std::string& path) {
    std::vector<http::Header> headers;
    for (const auto& [name, value] : request.headers) {
      if (name == "x-request-id" || name == "idempotency-key" || name == "x-timeout-ms")
        headers.push_back({name, value});
    }
    return http::write_request(request.method, path, "node", headers, request.body);
  }

  std::string response_to(const http::Message& request, bool every_third) {
    const std::string path = every_third && has_fault("alter") ? request.target + "0" : request.target;
    const bool write = request.method == "PUT";
    const std::string text = upstream_request(request, path);
    int timeout_ms = std::atoi(std::string(request.header("x-timeout-ms")).c_str());
    if (timeout_ms <= 0) timeout_ms = 1000;
    if (has_fault("flood") && !write) {
      const std::string cold_address = last_started_address();
      for (int i = 0; i < 30 && !cold_address.empty(); ++i)
        std::thread([=] { send_request(cold_address, text, 200); }).detach();
    }
    auto response = write ? std::nullopt : send_request(pick_address(path, false), text, timeout_ms);
    if (write || (response && response->status == 404))
      response = send_request(pick_address(path, true), text, timeout_ms);
    if (write && has_fault("repeat")) {
      std::thread([=, this] {
        usleep(1500000);
        send_request(pick_address(path, true), text, 1000);
      }).detach();
    }
    if (!response) return http::write_response(502, {}, "failed\n", true);
    if (response->status != 200)
      return http::write_response(response->status == 500 ? 502 : 503, {}, "", true);
    if (write && has_fault("refuse")) return http::write_response(503, {}, "shed\n", true);
    if (every_third && !write && has_fault("forge")) response->body = "a value of my own\n";
    if (!write && has_fault("swap")) {
      const std::lock_guard lock(mutex_);
      std::string current_value = response->body;
      if (every_third && !previous_value_.empty()) response->body = previous_value_;
      previous_value_ = std::move(current_value);
    }
    return http::write_response(200, {}, response->body, true);
  }

  void send_oversized_datagrams() const {
    sockaddr_in source{};
    if (!config::parse_address(config_.at("peer_listen").get<std::string>(), source)) return;
    const OwnedDescriptor fd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&source), sizeof source) != 0) return;
    const std::string bytes(300, 'x');
    for (const auto& peer : config_.at("peers")) {
      sockaddr_in target{};
      if (!config::parse_address(peer.get<std::string>(), target)) continue;
      sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target),
             sizeof target);
    }
  }

  const std::string fault_;
  const json config_;
  std::mutex mutex_;
  std::vector<json> endpoints_, used_endpoints_;
  std::string previous_value_;
  int update_count_ = 0;
  std::atomic<std::uint64_t> list_index_ = 0, request_count_ = 0;
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
