// Bufferevents with an owner, and small helpers on sockets.
#pragma once

#include <event2/bufferevent.h>

#include <memory>
#include <string_view>

namespace fernward::loop {

struct BuffereventFree {
  void operator()(bufferevent* b) const; // the socket is closed on return
};
using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventFree>;

void set_nodelay(int fd);
/// Bytes that the kernel takes beyond what it has sent. By default it takes 4 MB for a peer that does not
/// read, which no budget counts.
void limit_unsent(int fd, int bytes);
/// The kernel's receive buffer. To be set before the connection is made.
void limit_received(int fd, int bytes);
/// The peer sees a reset, not an end.
void reset_on_close(int fd);

/// What a read of the socket would find. Closed: an end or an error.
enum class Peek { NoData, Data, Closed };
Peek peek(int fd);
/// The peer has ended its sending or broken off, also where bytes from before are still unread.
bool peer_ended(int fd);

/// A bufferevent whose callbacks come from the event loop only. Never null: throws std::bad_alloc.
BuffereventPtr make_bufferevent(event_base* base, int fd);

/// A view of all that is unread in the input buffer; valid until that changes.
std::string_view pending_input(bufferevent* b);
void consume_input(bufferevent* b, std::size_t bytes);
/// Bytes in the output buffer.
std::size_t pending_output(bufferevent* b);

} // namespace fernward::loop
