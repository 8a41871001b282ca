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

inline std::string ok(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}
inline std::string status(int code, const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(code) + " X\r\n" + headers + "Content-Length: 0\r\n\r\n";
}
const std::string kMiss = status(404);
const std::string kTurnedAway = status(503, "X-Not-Processed: 1\r\n");

// Runs the event loop until the condition holds. Returns false after 10 s, far longer than any test needs.
inline bool run_until(event_base* base, const std::function<bool()>& done) {
  const double end = loop::now_ms() + 10000;
  const loop::EventPtr tick(event_new(
      base, -1, EV_PERSIST, [](int, short, void*) {}, nullptr));
  const timeval each{0, 2000};
  event_add(tick.get(), &each);
  while (!done()) {
    if (loop::now_ms() > end) return false;
    event_base_loop(base, EVLOOP_ONCE);
  }
  return true;
}
inline void run_for(event_base* base, double ms) {
  const double end = loop::now_ms() + ms;
  run_until(base, [end] { return loop::now_ms() >= end; });
}

constexpr std::uint64_t kMostBody = 64 << 20;

// A server that answers each request with the bytes that its script returns; an empty string sends nothing. A
// leading "!" is not sent: it closes the connection after the bytes that follow it.
class Peer {
 public:
  using Script = std::function<std::string(const http::Message&)>;

  Peer(event_base* base, Script what) : script(std::move(what)), base_(base) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(base, &Peer::accepted, this, LEV_OPT_CLOSE_ON_FREE, 64,
                                        reinterpret_cast<sockaddr*>(&where), sizeof where);
    socklen_t size = sizeof where;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&where), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
  }
  ~Peer() {
    if (listener_ != nullptr) evconnlistener_free(listener_);
  }
  Peer(const Peer&) = delete;

  void say(const std::string& text) { // on the connection of the last request, from the event loop
    if (last_ != nullptr && last_->io != nullptr) send(last_, text);
  }
  void say_now(
      const std::string& text) { // on return the bytes are in the peer's socket, before any event loop runs
    if (last_ == nullptr || last_->io == nullptr) return;
    [[maybe_unused]] const auto n =
        ::send(bufferevent_getfd(last_->io.get()), text.data(), text.size(), MSG_NOSIGNAL);
  }
  enum class End { Fin, Reset, Half }; // WriteShutdown: no more is sent, still read
  void break_off(End how) {            // all connections
    for (const auto& link : links_) {
      if (link->io == nullptr) continue;
      const int fd = bufferevent_getfd(link->io.get());
      if (how == End::Half) {
        shutdown(fd, SHUT_WR);
        continue;
      }
      if (how == End::Reset) loop::reset_on_close(fd);
      link->io.reset();
    }
  }
  void hang_up() { // immediately: libevent closes sockets only from its loop
    for (const auto& link : links_) {
      if (link->io != nullptr) shutdown(bufferevent_getfd(link->io.get()), SHUT_RDWR);
    }
    links_.clear();
  }
  void read_on() {
    stopped = false;
    for (const auto& link : links_) {
      if (link->io == nullptr) continue;
      bufferevent_enable(link->io.get(), EV_READ);
      bufferevent_trigger(link->io.get(), EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
  }
  void refuse() { // closes all connections; new ones are refused
    evconnlistener_free(std::exchange(listener_, nullptr));
    hang_up();
  }
  std::size_t open() const {
    std::size_t n = 0;
    for (const auto& link : links_) n += link->io != nullptr;
    return n;
  }

  Script script;
  Script early;              // if set: sent when a request's head is complete, before its body
  bool stopped = false;      // further bytes are not read
  std::size_t body_come = 0; // of the request being received
  std::string address;
  std::vector<http::Message> seen;
  int connections = 0;
  double last_at = 0;  // when the last request was complete
  double begun_at = 0; // when the first byte of that request was received
  bool whole = true;   // for scripts: whether their last response was complete

 private:
  struct Link {
    Peer* peer;
    loop::BuffereventPtr io;
    bool ends = false;     // closes when all output is written
    bool answered = false; // the early response was sent
    double begun_at = 0;
    http::Parser parser{http::Kind::Request, kMostBody};
  };
  static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* peer = static_cast<Peer*>(self);
    evutil_make_socket_nonblocking(fd);
    ++peer->connections;
    Link& link = *peer->links_.emplace_back(std::make_unique<Link>());
    link.peer = peer;
    link.io = loop::make_bufferevent(peer->base_, fd);
    bufferevent_setcb(
        link.io.get(),
        [](bufferevent*, void* l) { static_cast<Link*>(l)->peer->read(*static_cast<Link*>(l)); },
        [](bufferevent*, void* l) {
          Link& written = *static_cast<Link*>(l);
          if (written.ends && loop::pending_output(written.io.get()) == 0) written.io.reset();
        },
        [](bufferevent*, short, void* l) { static_cast<Link*>(l)->io.reset(); }, &link);
    bufferevent_enable(link.io.get(), EV_READ | EV_WRITE);
  }
  void read(Link& link) {
    while (link.io != nullptr) {
      if (stopped) {
        bufferevent_disable(link.io.get(), EV_READ);
        return;
      }
      const auto input = loop::pending_input(link.io.get());
      if (!link.parser.begun() && !input.empty()) link.begun_at = loop::now_ms();
      loop::consume_input(link.io.get(), link.parser.feed(input));
      body_come = link.parser.message().body.size();
      if (link.parser.wants_body() && early && !std::exchange(link.answered, true)) {
        last_ = &link;
        send(&link, early(http::Message(link.parser.message())));
        continue;
      }
      if (!link.parser.done()) return;
      seen.push_back(link.parser.take());
      last_ = &link;
      last_at = loop::now_ms();
      begun_at = link.begun_at;
      send(&link, script(http::Message(seen.back())));
    }
  }
  void send(Link* link, const std::string& text) {
    const bool close = !text.empty() && text.front() == '!';
    const std::string bytes = text.substr(close ? 1 : 0);
    if (!close) {
      bufferevent_write(link->io.get(), bytes.data(), bytes.size());
      return;
    }
    if (bytes.size() > 4096) { // may exceed what the socket accepts in one write
      link->ends = true;
      bufferevent_write(link->io.get(), bytes.data(), bytes.size());
      return;
    }
    [[maybe_unused]] const auto n = write(bufferevent_getfd(link->io.get()), bytes.data(), bytes.size());
    link->io.reset();
  }

  event_base* base_;
  evconnlistener* listener_ = nullptr;
  std::vector<std::unique_ptr<Link>> links_;
  Link* last_ = nullptr;
};

// A client with one connection. Responses are collected in the order of their arrival.
class Client {
 public:
  // receives: size of the socket's receive buffer in bytes; 0 keeps the system's default.
  Client(event_base* base, int port, int receives = 0)
      : base_(base), io_(loop::make_bufferevent(base, socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))) {
    const int fd = bufferevent_getfd(io_.get());
    if (receives > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receives, sizeof receives);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    bufferevent_setcb(
        io_.get(), [](bufferevent*, void* c) { static_cast<Client*>(c)->read(); }, nullptr,
        [](bufferevent*, short what, void* c) { static_cast<Client*>(c)->event(what); }, this);
    bufferevent_socket_connect(io_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where);
    bufferevent_enable(io_.get(), EV_READ | EV_WRITE);
  }
  void send(const std::string& text) { bufferevent_write(io_.get(), text.data(), text.size()); }
  void leave() { io_.reset(); }
  void break_off(Peer::End how) {
    const int fd = bufferevent_getfd(io_.get());
    if (how == Peer::End::Half) {
      shutdown(fd, SHUT_WR);
      return;
    }
    if (how == Peer::End::Reset) loop::reset_on_close(fd);
    io_.reset();
  }
  void stop_reading() {
    // Without a watermark, libevent's buffer would take a large part of the response.
    bufferevent_setwatermark(io_.get(), EV_READ, 0, 1024);
    bufferevent_disable(io_.get(), EV_READ);
  }
  void read_on() {
    bufferevent_setwatermark(io_.get(), EV_READ, 0, 0);
    bufferevent_enable(io_.get(), EV_READ);
  }
  std::size_t come() const { return parser_.message().body.size(); } // of a response that is incomplete
  // Sends the text and waits for one more response. Status 0: none was received.
  http::Message ask(const std::string& text) {
    const std::size_t before = answers.size();
    send(text);
    run_until(base_, [&] { return answers.size() > before || closed; });
    return answers.size() > before ? answers.back() : http::Message();
  }

  std::vector<http::Message> answers;
  bool closed = false, reset = false;

 private:
  void read() {
    for (;;) {
      loop::consume_input(io_.get(), parser_.feed(loop::pending_input(io_.get())));
      if (!parser_.done()) return;
      answers.push_back(parser_.take());
    }
  }
  void event(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) return;
    closed = true;
    reset = (what & BEV_EVENT_ERROR) != 0;
    if (!reset && parser_.begun() && parser_.end_of_input()) answers.push_back(parser_.take());
  }
  event_base* base_;
  loop::BuffereventPtr io_;
  http::Parser parser_{http::Kind::Response, kMostBody};
};

inline std::string get(const std::string& path, const std::string& id, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 2000\r\n" + headers + "\r\n";
}
inline std::string put(const std::string& path, const std::string& id, const std::string& body) {
  return "PUT " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: book\r\nIdempotency-Key: k-" + id +
         "\r\nX-Timeout-Ms: 2000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline Json endpoint(const std::string& name, const std::string& address,
                     const std::string& state = "in_service", const std::string& type = "cache") {
  return {{"name", name}, {"address", address}, {"zone", "a"},   {"type", type},
          {"group", 1},   {"status", state},    {"weight", 1.0}, {"since_ms", 0}};
}
inline Json node_list(int index, bool whole, const std::vector<Json>& endpoints) {
  return {{"index", index}, {"snapshot", whole}, {"endpoints", endpoints}};
}

inline Json settings() {
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
          {"settings", settings()},
          {"limits", {{"sockets", 256}}}};
}
inline const char* no_environment(const char*) { return nullptr; }

// A router with scripted peers: discovery, two caches and an origin.
struct World {
  explicit World(const std::function<void(Json&)>& change = [](Json&) {}) {
    Json file = config_json(discovery.address, node_list(7, true, all()));
    change(file);
    first_list = file["known"];
    router = std::make_unique<router::Router>(config::parse(file.dump(), &no_environment), base.get());
    if (!first_list.is_null()) until([this] { return watched(); }); // the router sends no requests before
  }
  std::vector<Json> all(const std::string& state = "in_service") {
    return {endpoint("s-1", one.address, state), endpoint("s-2", two.address),
            endpoint("o-1", origin.address, "in_service", "origin")};
  }
  bool until(const std::function<bool()>& done) { return run_until(base.get(), done); }
  Client client() { return Client(base.get(), router->port()); }
  std::size_t sent() const { return one.seen.size() + two.seen.size() + origin.seen.size(); }
  Peer& last_asked() { return one.last_at > two.last_at ? one : two; }
  void caches(const Peer::Script& script) { one.script = two.script = script; }
  // Discovery answers the open watch. True when the router has opened the next watch.
  bool tell(const Json& list) {
    if (!until([this] { return watched(); })) return false;
    const std::size_t before = discovery.seen.size();
    discovery.say(ok(list.dump()));
    return until([&] { return discovery.seen.size() > before; });
  }
  bool watched() const {
    return !discovery.seen.empty() && discovery.seen.back().target.find("since=") != std::string::npos;
  }

  router::BasePtr base = router::make_base();
  Peer discovery{base.get(), [this](const http::Message& m) {
                   return m.target == "/v1/endpoints" ? ok(first_list.dump()) : std::string();
                 }};
  Json first_list; // known to the router at its start; discovery returns the same list
  Peer one{base.get(), [](const http::Message& m) { return ok("from cache " + m.target); }};
  Peer two{base.get(), [](const http::Message& m) { return ok("from cache " + m.target); }};
  Peer origin{base.get(), [](const http::Message& m) { return ok("from origin " + m.target); }};
  std::unique_ptr<router::Router> router;
};

} // namespace fernward::tests
