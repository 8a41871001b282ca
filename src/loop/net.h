// Owning pointers to bufferevents, and socket helpers.
#pragma once

#include <event2/bufferevent.h>

#include <memory>
#include <string_view>

namespace fernward::loop {

struct BuffereventFree {
  void operator()(bufferevent* buffer_event) const; // closes the socket before it returns
};
using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventFree>;

void set_nodelay(int fd);
/// Limits the unsent bytes that the kernel accepts for a socket (TCP_NOTSENT_LOWAT). By default it accepts 4
/// MB for a peer that does not read, which no buffer budget counts.
void limit_unsent_bytes(int fd, int bytes);
/// Sets the size of the kernel's receive buffer. Call it before connecting.
void limit_receive_buffer(int fd, int bytes);
/// Makes close() send a reset instead of a regular end of stream.
void reset_on_close(int fd);

/// What a read from the socket would return. Closed: end of stream, or an error.
enum class Peek { NoData, Data, Closed };
Peek peek(int fd);
/// Whether the peer has shut down its sending side or reset the connection, even if earlier bytes are unread.
bool peer_has_closed(int fd);

/// Creates a bufferevent with deferred callbacks: they run from the event loop only. Never null; throws
/// std::bad_alloc.
BuffereventPtr make_bufferevent(event_base* base, int fd);

/// Bytes that a bufferevent reads at a time: they fill one piece of memory of kPieceBytes, see loop/buffer.h.
constexpr std::size_t kMaxInputBytes = 4000;

/// All unread bytes of the input buffer; valid until the buffer changes.
std::string_view pending_input(bufferevent* buffer_event);
void consume_input(bufferevent* buffer_event, std::size_t bytes);
/// Bytes in the output buffer.
std::size_t pending_output(bufferevent* buffer_event);

} // namespace fernward::loop
