// A plain byte relay as the baseline for measurements of the router: each client connection gets its own
// connection to a single target, and bytes are forwarded in both directions without parsing. There are three
// methods to move them, see docs/notes/bodies.md.
//
//   fernward-relay --listen 127.0.0.1:7001 --target 127.0.0.1:7002 --way bufferevent|block|splice
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cxxopts.hpp>
#include <string>

#include "config/address.h"

namespace {

constexpr std::size_t kWindow = 256 * 1024; // most bytes buffered for a peer that reads slowly
constexpr std::size_t kBlock = 64 * 1024;

event_base* base = nullptr;
sockaddr_in target{};
std::string way;
char block[kBlock];

int connected() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) return -1;
  evutil_make_socket_nonblocking(fd);
  return fd;
}

void set_nodelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// ---- bufferevents: buffer chains are moved without copying ----

struct Buffered {
  bufferevent* io = nullptr;
  Buffered* other = nullptr;
};

void buffered_end(Buffered* side) {
  Buffered* other = side->other;
  for (Buffered* s : {side, other}) {
    bufferevent_free(s->io);
    delete s;
  }
}
void buffered_read(bufferevent* io, void* self) {
  bufferevent* to = static_cast<Buffered*>(self)->other->io;
  evbuffer_add_buffer(bufferevent_get_output(to), bufferevent_get_input(io));
  if (evbuffer_get_length(bufferevent_get_output(to)) >= kWindow) bufferevent_disable(io, EV_READ);
}
void buffered_written(bufferevent*, void* self) {
  bufferevent_enable(static_cast<Buffered*>(self)->other->io, EV_READ);
}
void buffered_event(bufferevent*, short, void* self) { buffered_end(static_cast<Buffered*>(self)); }

void join_buffered(int client, int server) {
  Buffered* sides[2] = {new Buffered, new Buffered};
  for (int i = 0; i < 2; ++i) {
    sides[i]->other = sides[1 - i];
    sides[i]->io = bufferevent_socket_new(base, i == 0 ? client : server, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setwatermark(sides[i]->io, EV_WRITE, kWindow / 2, 0);
    bufferevent_setcb(sides[i]->io, &buffered_read, &buffered_written, &buffered_event, sides[i]);
    bufferevent_enable(sides[i]->io, EV_READ | EV_WRITE);
  }
}

// ---- direct reads and writes: through a memory block, or through a pipe by splice ----

struct Half { // one direction, from one socket to the other
  int from = -1, to = -1;
  int pipe[2] = {-1, -1};
  evbuffer* waits = nullptr;
  std::size_t piped = 0;
  event *readable = nullptr, *writable = nullptr;
  struct Pair* pair = nullptr;
};
struct Pair {
  Half halves[2];
  ~Pair() {
    for (Half& h : halves) {
      event_free(h.readable);
      event_free(h.writable);
      evbuffer_free(h.waits);
      for (const int fd : h.pipe) {
        if (fd >= 0) close(fd);
      }
    }
    close(halves[0].from);
    close(halves[1].from);
  }
};

// Returns false if the pair of connections has ended.
bool move_block(Half& h) {
  for (;;) {
    const ssize_t n = recv(h.from, block, kBlock, 0);
    if (n < 0 && errno == EAGAIN) return true;
    if (n <= 0) return false;
    ssize_t sent = 0;
    if (evbuffer_get_length(h.waits) == 0)
      sent = send(h.to, block, static_cast<std::size_t>(n), MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN) return false;
    sent = sent < 0 ? 0 : sent;
    if (sent < n) {
      evbuffer_add(h.waits, block + sent, static_cast<std::size_t>(n - sent));
      event_add(h.writable, nullptr);
      if (evbuffer_get_length(h.waits) >= kWindow) {
        event_del(h.readable);
        return true;
      }
    }
    if (static_cast<std::size_t>(n) < kBlock) return true;
  }
}

bool move_splice(Half& h) {
  for (;;) {
    const ssize_t n = splice(h.from, nullptr, h.pipe[1], nullptr, kBlock, SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
    if (n == 0) return false;
    if (n < 0 && errno != EAGAIN) return false;
    if (n > 0) h.piped += static_cast<std::size_t>(n);
    if (h.piped == 0) return true;
    const ssize_t sent =
        splice(h.pipe[0], nullptr, h.to, nullptr, h.piped, SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
    if (sent < 0 && errno != EAGAIN) return false;
    if (sent > 0) h.piped -= static_cast<std::size_t>(sent);
    if (h.piped > 0) { // the receiving socket is full: continue when it is writable again
      event_del(h.readable);
      event_add(h.writable, nullptr);
      return true;
    }
    if (n < 0) return true;
  }
}

void half_readable(int, short, void* self) {
  auto* h = static_cast<Half*>(self);
  if (!(way == "splice" && h->pipe[0] >= 0 ? move_splice(*h) : move_block(*h))) delete h->pair;
}

void half_writable(int, short, void* self) {
  auto* h = static_cast<Half*>(self);
  if (h->piped > 0) {
    const ssize_t sent =
        splice(h->pipe[0], nullptr, h->to, nullptr, h->piped, SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
    if (sent < 0 && errno != EAGAIN) return delete h->pair;
    if (sent > 0) h->piped -= static_cast<std::size_t>(sent);
  } else if (evbuffer_write(h->waits, h->to) < 0 && errno != EAGAIN) {
    return delete h->pair;
  }
  if (h->piped > 0 || evbuffer_get_length(h->waits) > 0) {
    event_add(h->writable, nullptr);
  }
  if (h->piped == 0 && evbuffer_get_length(h->waits) < kWindow / 2) event_add(h->readable, nullptr);
}

void join_own(int client, int server) {
  auto* pair = new Pair;
  const int fds[2] = {client, server};
  for (int i = 0; i < 2; ++i) {
    Half& h = pair->halves[i];
    h.pair = pair;
    h.from = fds[i];
    h.to = fds[1 - i];
    h.waits = evbuffer_new();
    if (way == "splice" && i == 1 && pipe2(h.pipe, O_NONBLOCK | O_CLOEXEC) != 0) std::perror("pipe2");
    h.readable = event_new(base, h.from, EV_READ | EV_PERSIST, &half_readable, &h);
    h.writable = event_new(base, h.to, EV_WRITE, &half_writable, &h);
    event_add(h.readable, nullptr);
  }
}

void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void*) {
  const int server = connected();
  if (server < 0) {
    close(fd);
    return;
  }
  set_nodelay(fd);
  set_nodelay(server);
  way == "bufferevent" ? join_buffered(fd, server) : join_own(fd, server);
}

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fernward-relay", "a plain byte relay, as a baseline for measurements");
  options.add_options()("listen", "address", cxxopts::value<std::string>())("target", "address",
                                                                            cxxopts::value<std::string>())(
      "way", "bufferevent, block or splice", cxxopts::value<std::string>()->default_value("bufferevent"));
  sockaddr_in where{};
  try {
    const auto args = options.parse(argc, argv);
    way = args["way"].as<std::string>();
    if (!fernward::config::parse_address(args["listen"].as<std::string>(), where) ||
        !fernward::config::parse_address(args["target"].as<std::string>(), target)) {
      std::fprintf(stderr,
                   "fernward-relay: --listen and --target must be addresses such as 127.0.0.1:7001\n");
      return 2;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fernward-relay: %s\n", error.what());
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  base = event_base_new();
  evconnlistener* listener =
      evconnlistener_new_bind(base, &accepted, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
                              reinterpret_cast<sockaddr*>(&where), sizeof where);
  if (listener == nullptr) {
    std::perror("fernward-relay: listen");
    return 1;
  }
  event* stop = evsignal_new(
      base, SIGTERM, [](evutil_socket_t, short, void*) { event_base_loopbreak(base); }, nullptr);
  event_add(stop, nullptr);
  event_base_dispatch(base);
  event_free(stop);
  evconnlistener_free(listener);
  event_base_free(base);
  return 0;
}
