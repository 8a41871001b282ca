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

void limit_unsent_bytes(int fd, int bytes) {
  setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof bytes);
}

void limit_receive_buffer(int fd, int bytes) { setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes); }

void reset_on_close(int fd) {
  const linger no_wait{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
}

Peek peek(int fd) {
  char byte = 0;
  const auto received = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return Peek::Data;
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) ? Peek::NoData
                                                                                     : Peek::Closed;
}

bool peer_has_closed(int fd) {
  const Peek result = peek(fd);
  if (result != Peek::Data) return result == Peek::Closed;
  pollfd poll_entry{fd, POLLRDHUP, 0};
  return poll(&poll_entry, 1, 0) > 0 && (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

BuffereventPtr make_bufferevent(event_base* base, int fd) {
  BuffereventPtr buffer_event(
      bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (buffer_event == nullptr) throw std::bad_alloc();
  bufferevent_set_max_single_read(buffer_event.get(), kMaxInputBytes);
  return buffer_event;
}

std::string_view pending_input(bufferevent* buffer_event) {
  evbuffer* input = bufferevent_get_input(buffer_event);
  const std::size_t size = evbuffer_get_length(input);
  if (size == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size};
}

void consume_input(bufferevent* buffer_event, std::size_t bytes) {
  evbuffer_drain(bufferevent_get_input(buffer_event), bytes);
}

std::size_t pending_output(bufferevent* buffer_event) {
  return evbuffer_get_length(bufferevent_get_output(buffer_event));
}

} // namespace fernward::loop
