// Scripted servers and clients on loopback sockets. All run in the event loop of the router under test.
#pragma once

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/parser.h"
#include "loop/net.h"
#include "loop/timer_queue.h"
#include "router/router.h"

namespace fernward::tests {

using Json = nlohmann::json;

inline std::string ok_response(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}
inline std::string status_response(int code, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(code) + " X\r\n" + headers + "Content-Length: 0\r\n\r\n";
}
const std::string kCacheMiss = status_response(404);
const std::string kNotProcessed = status_response(503, "X-Not-Processed: 1\r\n");

// Runs the event loop until the condition holds. Returns false after 10 s, far longer than any test needs.
inline bool run_until(event_base* base, const std::function<bool()>& condition) {
  const double end = loop::now_ms() + 10000;
  const loop::EventPtr wake_up_event(event_new(
      base, -1, EV_PERSIST, [](int, short, void*) {}, nullptr));
  const timeval wake_up_interval{0, 2000};
  event_add(wake_up_event.get(), &wake_up_interval);
  while (!condition()) {
    if (loop::now_ms() > end) return false;
    event_base_loop(base, EVLOOP_ONCE);
  }
  return true;
}
inline void run_for(event_base* base, double ms) {
  const double end = loop::now_ms() + ms;
  run_until(base, [end] { return loop::now_ms() >= end; });
}

constexpr std::uint64_t kMaxBodyBytes = 64 << 20;

// A server that answers each request with the bytes that its script returns; an empty string sends nothing. A
// leading "!" is not sent: it closes the connection after the bytes that follow it.
class ScriptedServer {
 public:
  using Script = std::function<std::string(const http::Message&)>;

  ScriptedServer(event_base* base, Script response_script) : script(std::move(response_script)), base_(base) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(base, &ScriptedServer::on_accept, this, LEV_OPT_CLOSE_ON_FREE, 64,
                                        reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address);
    socklen_t size = sizeof socket_address;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&socket_address), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(socket_address.sin_port));
  }
  ~ScriptedServer() {
    if (listener_ != nullptr) evconnlistener_free(listener_);
  }
  ScriptedServer(const ScriptedServer&) = delete;

  // Writes on the connection of the last request, from the event loop.
  void write_to_last(const std::string& text) {
    if (last_connection_ != nullptr && last_connection_->buffer_event != nullptr)
      send(last_connection_, text);
  }
  // Writes on a connection, from the event loop. `index`: in the order in which they were accepted.
  void write_to(std::size_t index, const std::string& text) {
    if (index < connections_.size() && connections_[index]->buffer_event != nullptr)
      send(connections_[index].get(), text);
  }
  // Like write_to_last() at once: on return the bytes are in the peer's socket, before any event loop runs.
  void write_to_last_now(const std::string& text) {
    if (last_connection_ == nullptr || last_connection_->buffer_event == nullptr) return;
    [[maybe_unused]] const auto n = ::send(bufferevent_getfd(last_connection_->buffer_event.get()),
                                           text.data(), text.size(), MSG_NOSIGNAL);
  }
  // WriteShutdown: sends no more but continues to read.
  enum class CloseMode { Fin, Reset, WriteShutdown };
  // Applies to all connections.
  void close_all(CloseMode mode) {
    for (const auto& connection : connections_) {
      if (connection->buffer_event == nullptr) continue;
      const int fd = bufferevent_getfd(connection->buffer_event.get());
      if (mode == CloseMode::WriteShutdown) {
        shutdown(fd, SHUT_WR);
        continue;
      }
      if (mode == CloseMode::Reset) loop::reset_on_close(fd);
      connection->buffer_event.reset();
    }
  }
  // Closes all connections at once: bufferevents would close their sockets only from the event loop.
  void shutdown_all() {
    for (const auto& connection : connections_) {
      if (connection->buffer_event != nullptr)
        shutdown(bufferevent_getfd(connection->buffer_event.get()), SHUT_RDWR);
    }
    connections_.clear();
  }
  void resume_reading() {
    reading_paused = false;
    for (const auto& connection : connections_) {
      if (connection->buffer_event == nullptr) continue;
      bufferevent_enable(connection->buffer_event.get(), EV_READ);
      bufferevent_trigger(connection->buffer_event.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
  }
  void stop_listening() { // closes all connections; new ones are refused
    evconnlistener_free(std::exchange(listener_, nullptr));
    shutdown_all();
  }
  std::size_t open_connections() const {
    std::size_t n = 0;
    for (const auto& connection : connections_) n += connection->buffer_event != nullptr;
    return n;
  }

  Script script;
  Script early_response;              // if set: sent when a request's head is complete, before its body
  bool reading_paused = false;        // further bytes are not read
  std::size_t partial_body_bytes = 0; // of the request being received
  std::string address;
  std::vector<http::Message> requests;
  int accepted_connections = 0;
  double last_request_at_ms = 0;         // when the last request was complete
  double last_request_began_at_ms = 0;   // when the first byte of that request was received
  std::size_t requesting_connection = 0; // of the last request, as an index for write_to()
  bool response_complete = true;         // for scripts: whether their last response was complete

 private:
  struct Connection {
    ScriptedServer* server;
    std::size_t index = 0; // in the order in which they were accepted
    loop::BuffereventPtr buffer_event;
    bool close_after_write = false; // closes when all output is written
    bool early_response_sent = false;
    double request_began_at_ms = 0;
    http::Parser parser{http::MessageKind::Request, kMaxBodyBytes};
  };
  static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* peer = static_cast<ScriptedServer*>(self);
    evutil_make_socket_nonblocking(fd);
    ++peer->accepted_connections;
    Connection& connection = *peer->connections_.emplace_back(std::make_unique<Connection>());
    connection.server = peer;
    connection.index = peer->connections_.size() - 1;
    connection.buffer_event = loop::make_bufferevent(peer->base_, fd);
    bufferevent_setcb(
        connection.buffer_event.get(),
        [](bufferevent*, void* context) {
          static_cast<Connection*>(context)->server->read(*static_cast<Connection*>(context));
        },
        [](bufferevent*, void* context) {
          Connection& written = *static_cast<Connection*>(context);
          if (written.close_after_write && loop::pending_output(written.buffer_event.get()) == 0)
            written.buffer_event.reset();
        },
        [](bufferevent*, short, void* context) { static_cast<Connection*>(context)->buffer_event.reset(); },
        &connection);
    bufferevent_enable(connection.buffer_event.get(), EV_READ | EV_WRITE);
  }
  void read(Connection& connection) {
    while (connection.buffer_event != nullptr) {
      if (reading_paused) {
        bufferevent_disable(connection.buffer_event.get(), EV_READ);
        return;
      }
      const auto input = loop::pending_input(connection.buffer_event.get());
      if (!connection.parser.has_started() && !input.empty()) connection.request_began_at_ms = loop::now_ms();
      loop::consume_input(connection.buffer_event.get(), connection.parser.feed(input));
      partial_body_bytes = connection.parser.message().body.size();
      if (connection.parser.expects_body() && early_response &&
          !std::exchange(connection.early_response_sent, true)) {
        last_connection_ = &connection;
        send(&connection, early_response(http::Message(connection.parser.message())));
        continue;
      }
      if (!connection.parser.done()) return;
      requests.push_back(connection.parser.take_message());
      last_connection_ = &connection;
      requesting_connection = connection.index;
      last_request_at_ms = loop::now_ms();
      last_request_began_at_ms = connection.request_began_at_ms;
      send(&connection, script(http::Message(requests.back())));
    }
  }
  void send(Connection* connection, const std::string& text) {
    const bool close = !text.empty() && text.front() == '!';
    const std::string bytes = text.substr(close ? 1 : 0);
    if (!close) {
      bufferevent_write(connection->buffer_event.get(), bytes.data(), bytes.size());
      return;
    }
    if (bytes.size() > 4096) { // may exceed what the socket accepts in one write
      connection->close_after_write = true;
      bufferevent_write(connection->buffer_event.get(), bytes.data(), bytes.size());
      return;
    }
    [[maybe_unused]] const auto n =
        write(bufferevent_getfd(connection->buffer_event.get()), bytes.data(), bytes.size());
    connection->buffer_event.reset();
  }

  event_base* base_;
  evconnlistener* listener_ = nullptr;
  std::vector<std::unique_ptr<Connection>> connections_;
  Connection* last_connection_ = nullptr;
};

// A client with one connection. Responses are collected in the order of their arrival.
class TestClient {
 public:
  // `receive_buffer_bytes`: size of the socket's receive buffer; 0 keeps the system's default.
  TestClient(event_base* base, int port, int receive_buffer_bytes = 0)
      : base_(base),
        bufferevent_(loop::make_bufferevent(base, socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))) {
    const int fd = bufferevent_getfd(bufferevent_.get());
    if (receive_buffer_bytes > 0)
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socket_address.sin_port = htons(static_cast<std::uint16_t>(port));
    bufferevent_setcb(
        bufferevent_.get(), [](bufferevent*, void* context) { static_cast<TestClient*>(context)->read(); },
        nullptr,
        [](bufferevent*, short what, void* context) { static_cast<TestClient*>(context)->on_event(what); },
        this);
    bufferevent_socket_connect(bufferevent_.get(), reinterpret_cast<sockaddr*>(&socket_address),
                               sizeof socket_address);
    bufferevent_enable(bufferevent_.get(), EV_READ | EV_WRITE);
  }
  void send(const std::string& text) { bufferevent_write(bufferevent_.get(), text.data(), text.size()); }
  void close() { bufferevent_.reset(); }
  void close_with(ScriptedServer::CloseMode mode) {
    const int fd = bufferevent_getfd(bufferevent_.get());
    if (mode == ScriptedServer::CloseMode::WriteShutdown) {
      shutdown(fd, SHUT_WR);
      return;
    }
    if (mode == ScriptedServer::CloseMode::Reset) loop::reset_on_close(fd);
    bufferevent_.reset();
  }
  void stop_reading() {
    // Without a watermark, libevent's buffer would take a large part of the response.
    bufferevent_setwatermark(bufferevent_.get(), EV_READ, 0, 1024);
    bufferevent_disable(bufferevent_.get(), EV_READ);
  }
  void resume_reading() {
    bufferevent_setwatermark(bufferevent_.get(), EV_READ, 0, 0);
    bufferevent_enable(bufferevent_.get(), EV_READ);
  }
  // Body bytes received of the response that is incomplete.
  std::size_t partial_body_bytes() const { return parser_.message().body.size(); }
  // Sends the text and waits for one more response. Status 0: none was received.
  http::Message send_and_wait(const std::string& text) {
    const std::size_t before = responses.size();
    send(text);
    run_until(base_, [&] { return responses.size() > before || closed; });
    return responses.size() > before ? responses.back() : http::Message();
  }

  std::vector<http::Message> responses;
  bool closed = false, reset = false;

 private:
  void read() {
    for (;;) {
      loop::consume_input(bufferevent_.get(), parser_.feed(loop::pending_input(bufferevent_.get())));
      if (!parser_.done()) return;
      responses.push_back(parser_.take_message());
    }
  }
  void on_event(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) return;
    closed = true;
    reset = (what & BEV_EVENT_ERROR) != 0;
    if (!reset && parser_.has_started() && parser_.end_of_input())
      responses.push_back(parser_.take_message());
  }
  event_base* base_;
  loop::BuffereventPtr bufferevent_;
  http::Parser parser_{http::MessageKind::Response, kMaxBodyBytes};
};

inline std::string get_request(const std::string& path, const std::string& id,
                               const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 2000\r\n" + headers + "\r\n";
}
inline std::string put_request(const std::string& path, const std::string& id, const std::string& body) {
  return "PUT " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: book\r\nIdempotency-Key: k-" + id +
         "\r\nX-Timeout-Ms: 2000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline Json endpoint_json(const std::string& name, const std::string& address,
                          const std::string& state = "in_service", const std::string& type = "cache") {
  return {{"name", name}, {"address", address}, {"zone", "a"},   {"type", type},
          {"group", 1},   {"status", state},    {"weight", 1.0}, {"since_ms", 0}};
}
inline Json endpoint_list_json(int index, bool snapshot, const std::vector<Json>& endpoints) {
  return {{"index", index}, {"snapshot", snapshot}, {"endpoints", endpoints}};
}

inline Json settings_json() {
  return Json::parse(R"({"balancers": 1, "my_zone": 0, "tick": 1, "dcs": ["a"], "kinds": ["cache", "origin"],
    "classes": [{"name": "read", "aim": 900, "give_up": 2000, "repeat": "safe", "worth": 1},
                {"name": "book", "aim": 900, "give_up": 2000, "repeat": "keyed", "dedup_scope": "all",
                 "window": 1000, "worth": 2}],
    "parties": [{"name": "acme", "share": 1, "quota_per_s": 1000}],
    "extra": {"mode": "aside", "origin_kind": 1},
    "telemetry": {"via": "inline", "columns": ["queue", "latency_ms"]},
    "limits": {"max_attempts": 4, "may_cancel": true, "may_duplicate": true, "retry_after": true,
               "max_retry_after": 1500, "connect_timeout": 1000, "conn_idle": 20000},
    "obligations": {"grace_to_answer": 20, "warm_after": 0, "start_capacity": 1, "tip_after": 2000}})");
}
inline Json config_json(const std::string& discovery, const Json& known) {
  return {{"name", "n1"},
          {"listen", "127.0.0.1:0"},
          {"discovery", discovery},
          {"seed", "8c1f30d27a5be964"},
          {"known", known},
          {"settings", settings_json()},
          {"limits", {{"sockets", 256}}}};
}
inline const char* no_environment(const char*) { return nullptr; }

// A router with scripted peers: discovery, two caches and an origin. `modify_config` changes the router's
// configuration before it starts.
struct RouterFixture {
  explicit RouterFixture(const std::function<void(Json&)>& modify_config = [](Json&) {}) {
    Json file = config_json(discovery.address, endpoint_list_json(7, true, all_endpoints()));
    modify_config(file);
    initial_list = file["known"];
    router = std::make_unique<router::Router>(config::parse(file.dump(), &no_environment), base.get());
    if (!initial_list.is_null())
      wait_until([this] { return is_watching(); }); // the router sends no requests before
  }
  std::vector<Json> all_endpoints(const std::string& state = "in_service") {
    return {endpoint_json("s-1", cache_1.address, state), endpoint_json("s-2", cache_2.address),
            endpoint_json("o-1", origin.address, "in_service", "origin")};
  }
  bool wait_until(const std::function<bool()>& done) { return run_until(base.get(), done); }
  TestClient connect_client() { return TestClient(base.get(), router->port()); }
  std::size_t requests_sent() const {
    return cache_1.requests.size() + cache_2.requests.size() + origin.requests.size();
  }
  ScriptedServer& last_requested_cache() {
    return cache_1.last_request_at_ms > cache_2.last_request_at_ms ? cache_1 : cache_2;
  }
  void script_caches(const ScriptedServer::Script& script) { cache_1.script = cache_2.script = script; }
  // Discovery answers the open watch. True when the router has opened the next watch.
  bool send_endpoint_update(const Json& list) {
    if (!wait_until([this] { return is_watching(); })) return false;
    const std::size_t before = discovery.requests.size();
    discovery.write_to_last(ok_response(list.dump()));
    return wait_until([&] { return discovery.requests.size() > before; });
  }
  bool is_watching() const {
    return !discovery.requests.empty() &&
           discovery.requests.back().target.find("since=") != std::string::npos;
  }

  router::EventBasePtr base = router::make_event_base();
  ScriptedServer discovery{base.get(), [this](const http::Message& request) {
                             return request.target == "/v1/endpoints" ? ok_response(initial_list.dump())
                                                                      : std::string();
                           }};
  Json initial_list; // known to the router at its start; discovery returns the same list
  ScriptedServer cache_1{
      base.get(), [](const http::Message& request) { return ok_response("from cache " + request.target); }};
  ScriptedServer cache_2{
      base.get(), [](const http::Message& request) { return ok_response("from cache " + request.target); }};
  ScriptedServer origin{
      base.get(), [](const http::Message& request) { return ok_response("from origin " + request.target); }};
  std::unique_ptr<router::Router> router;
};

} // namespace fernward::tests
