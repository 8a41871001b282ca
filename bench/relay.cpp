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

// Reading stops when this many bytes are buffered for a slow peer.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
constexpr std::size_t kBlockBytes = 64 * 1024; // most bytes that are moved at once

event_base* relay_event_base = nullptr;
sockaddr_in target_address{};
std::string method;
char read_block[kBlockBytes];

int connect_to_target() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&target_address), sizeof target_address) != 0)
    return -1;
  evutil_make_socket_nonblocking(fd);
  return fd;
}

void set_nodelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// ---- bufferevents: buffer chains are moved without copying ----

struct BufferedSide {
  bufferevent* stream = nullptr;
  BufferedSide* peer = nullptr;
};

void close_buffered_pair(BufferedSide* side) {
  BufferedSide* other = side->peer;
  for (BufferedSide* s : {side, other}) {
    bufferevent_free(s->stream);
    delete s;
  }
}
void on_buffered_read(bufferevent* io, void* self) {
  bufferevent* to = static_cast<BufferedSide*>(self)->peer->stream;
  evbuffer_add_buffer(bufferevent_get_output(to), bufferevent_get_input(io));
  if (evbuffer_get_length(bufferevent_get_output(to)) >= kMaxBufferedBytes) bufferevent_disable(io, EV_READ);
}
void on_buffered_written(bufferevent*, void* self) {
  bufferevent_enable(static_cast<BufferedSide*>(self)->peer->stream, EV_READ);
}
void on_buffered_event(bufferevent*, short, void* self) {
  close_buffered_pair(static_cast<BufferedSide*>(self));
}

void relay_with_bufferevents(int client, int server) {
  BufferedSide* sides[2] = {new BufferedSide, new BufferedSide};
  for (int i = 0; i < 2; ++i) {
    sides[i]->peer = sides[1 - i];
    sides[i]->stream =
        bufferevent_socket_new(relay_event_base, i == 0 ? client : server, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setwatermark(sides[i]->stream, EV_WRITE, kMaxBufferedBytes / 2, 0);
    bufferevent_setcb(sides[i]->stream, &on_buffered_read, &on_buffered_written, &on_buffered_event,
                      sides[i]);
    bufferevent_enable(sides[i]->stream, EV_READ | EV_WRITE);
  }
}

// ---- direct reads and writes: through a memory block; with splice, from the target through a pipe ----

struct RelayDirection { // one direction, from one socket to the other
  int from_fd = -1, to_fd = -1;
  int pipe_fds[2] = {-1, -1};
  evbuffer* pending_output = nullptr;
  std::size_t bytes_in_pipe = 0;
  event *read_event = nullptr, *write_event = nullptr;
  struct ConnectionPair* connection_pair = nullptr;
};
struct ConnectionPair {
  RelayDirection directions[2];
  ~ConnectionPair() {
    for (RelayDirection& direction : directions) {
      event_free(direction.read_event);
      event_free(direction.write_event);
      evbuffer_free(direction.pending_output);
      for (const int fd : direction.pipe_fds) {
        if (fd >= 0) close(fd);
      }
    }
    close(directions[0].from_fd);
    close(directions[1].from_fd);
  }
};

// Returns false if the pair of connections has ended.
bool forward_by_block(RelayDirection& direction) {
  for (;;) {
    const ssize_t n = recv(direction.from_fd, read_block, kBlockBytes, 0);
    if (n < 0 && errno == EAGAIN) return true;
    if (n <= 0) return false;
    ssize_t sent = 0;
    if (evbuffer_get_length(direction.pending_output) == 0)
      sent = send(direction.to_fd, read_block, static_cast<std::size_t>(n), MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN) return false;
    sent = sent < 0 ? 0 : sent;
    if (sent < n) {
      evbuffer_add(direction.pending_output, read_block + sent, static_cast<std::size_t>(n - sent));
      event_add(direction.write_event, nullptr);
      if (evbuffer_get_length(direction.pending_output) >= kMaxBufferedBytes) {
        event_del(direction.read_event);
        return true;
      }
    }
    if (static_cast<std::size_t>(n) < kBlockBytes) return true;
  }
}

bool forward_by_splice(RelayDirection& direction) {
  for (;;) {
    const ssize_t n = splice(direction.from_fd, nullptr, direction.pipe_fds[1], nullptr, kBlockBytes,
                             SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
    if (n == 0) return false;
    if (n < 0 && errno != EAGAIN) return false;
    if (n > 0) direction.bytes_in_pipe += static_cast<std::size_t>(n);
    if (direction.bytes_in_pipe == 0) return true;
    const ssize_t sent = splice(direction.pipe_fds[0], nullptr, direction.to_fd, nullptr,
                                direction.bytes_in_pipe, SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
    if (sent < 0 && errno != EAGAIN) return false;
    if (sent > 0) direction.bytes_in_pipe -= static_cast<std::size_t>(sent);
    if (direction.bytes_in_pipe > 0) { // the receiving socket is full: continue when it is writable again
      event_del(direction.read_event);
      event_add(direction.write_event, nullptr);
      return true;
    }
    if (n < 0) return true;
  }
}

void on_readable(int, short, void* self) {
  auto* direction = static_cast<RelayDirection*>(self);
  if (!(method == "splice" && direction->pipe_fds[0] >= 0 ? forward_by_splice(*direction)
                                                          : forward_by_block(*direction)))
    delete direction->connection_pair;
}

void on_writable(int, short, void* self) {
  auto* direction = static_cast<RelayDirection*>(self);
  if (direction->bytes_in_pipe > 0) {
    const ssize_t sent = splice(direction->pipe_fds[0], nullptr, direction->to_fd, nullptr,
                                direction->bytes_in_pipe, SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
    if (sent < 0 && errno != EAGAIN) return delete direction->connection_pair;
    if (sent > 0) direction->bytes_in_pipe -= static_cast<std::size_t>(sent);
  } else if (evbuffer_write(direction->pending_output, direction->to_fd) < 0 && errno != EAGAIN) {
    return delete direction->connection_pair;
  }
  if (direction->bytes_in_pipe > 0 || evbuffer_get_length(direction->pending_output) > 0) {
    event_add(direction->write_event, nullptr);
  }
  if (direction->bytes_in_pipe == 0 && evbuffer_get_length(direction->pending_output) < kMaxBufferedBytes / 2)
    event_add(direction->read_event, nullptr);
}

void relay_directly(int client, int server) {
  auto* pair = new ConnectionPair;
  const int fds[2] = {client, server};
  for (int i = 0; i < 2; ++i) {
    RelayDirection& direction = pair->directions[i];
    direction.connection_pair = pair;
    direction.from_fd = fds[i];
    direction.to_fd = fds[1 - i];
    direction.pending_output = evbuffer_new();
    if (method == "splice" && i == 1 && pipe2(direction.pipe_fds, O_NONBLOCK | O_CLOEXEC) != 0)
      std::perror("pipe2");
    direction.read_event =
        event_new(relay_event_base, direction.from_fd, EV_READ | EV_PERSIST, &on_readable, &direction);
    direction.write_event = event_new(relay_event_base, direction.to_fd, EV_WRITE, &on_writable, &direction);
    event_add(direction.read_event, nullptr);
  }
}

void on_accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void*) {
  const int server = connect_to_target();
  if (server < 0) {
    close(fd);
    return;
  }
  set_nodelay(fd);
  set_nodelay(server);
  method == "bufferevent" ? relay_with_bufferevents(fd, server) : relay_directly(fd, server);
}

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fernward-relay", "A plain byte relay, as a baseline for measurements");
  options.add_options()("listen", "address", cxxopts::value<std::string>())("target", "address",
                                                                            cxxopts::value<std::string>())(
      "way", "bufferevent, block or splice", cxxopts::value<std::string>()->default_value("bufferevent"));
  sockaddr_in listen_address{};
  try {
    const auto args = options.parse(argc, argv);
    method = args["way"].as<std::string>();
    if (!fernward::config::parse_address(args["listen"].as<std::string>(), listen_address) ||
        !fernward::config::parse_address(args["target"].as<std::string>(), target_address)) {
      std::fprintf(stderr,
                   "fernward-relay: --listen and --target must be addresses such as 127.0.0.1:7001\n");
      return 2;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fernward-relay: %s\n", error.what());
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  relay_event_base = event_base_new();
  evconnlistener* listener = evconnlistener_new_bind(
      relay_event_base, &on_accepted, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
      reinterpret_cast<sockaddr*>(&listen_address), sizeof listen_address);
  if (listener == nullptr) {
    std::perror("fernward-relay: listen");
    return 1;
  }
  event* stop_event = evsignal_new(
      relay_event_base, SIGTERM,
      [](evutil_socket_t, short, void*) { event_base_loopbreak(relay_event_base); }, nullptr);
  event_add(stop_event, nullptr);
  event_base_dispatch(relay_event_base);
  event_free(stop_event);
  evconnlistener_free(listener);
  event_base_free(relay_event_base);
  return 0;
}
