#include "loop/net.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <new>

namespace fernward::loop {

// libevent would close the socket later, from the event loop. A connection that is closed to free its
// descriptor must free it at once.
void BuffereventFree::operator()(bufferevent* b) const {
  const int fd = bufferevent_getfd(b);
  bufferevent_setfd(b, -1);
  bufferevent_free(b);
  if (fd >= 0) ::close(fd);
}

void set_nodelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void limit_unsent(int fd, int bytes) { setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof bytes); }

void limit_received(int fd, int bytes) { setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes); }

void reset_on_close(int fd) {
  const linger no_wait{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
}

Peek peek(int fd) {
  char byte = 0;
  const auto n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return Peek::Data;
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) ? Peek::NoData : Peek::Closed;
}

bool peer_ended(int fd) {
  const Peek next = peek(fd);
  if (next != Peek::Data) return next == Peek::Closed;
  pollfd ended{fd, POLLRDHUP, 0};
  return poll(&ended, 1, 0) > 0 && (ended.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

BuffereventPtr make_bufferevent(event_base* base, int fd) {
  BuffereventPtr b(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (b == nullptr) throw std::bad_alloc();
  return b;
}

std::string_view pending_input(bufferevent* b) {
  evbuffer* input = bufferevent_get_input(b);
  const std::size_t size = evbuffer_get_length(input);
  if (size == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size};
}

void consume_input(bufferevent* b, std::size_t bytes) { evbuffer_drain(bufferevent_get_input(b), bytes); }

std::size_t pending_output(bufferevent* b) { return evbuffer_get_length(bufferevent_get_output(b)); }

} // namespace fernward::loop
