// RAII for bufferevents, and small helpers on sockets that ingress, egress and the watch share.
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
// What the kernel takes beyond what it has sent. Left alone it takes 4 MB for a peer that does not read, out of
// sight of every account.
void limit_unsent(int fd, int bytes);
void limit_received(int fd, int bytes); // what it keeps of what was received, before the connection is made
void reset_on_close(int fd);            // the peer sees a reset, not an end

enum class Peek { Quiet, Data, Closed };
Peek peek(int fd); // what a read of the socket would find
// The peer has ended its sending or broken off, also where bytes that came before that are still unread.
bool peer_ended(int fd);

// A bufferevent whose callbacks come from the event loop only. Never null: throws std::bad_alloc.
BuffereventPtr make_bufferevent(event_base* base, int fd);

// A view of all that waits in the input, and how to take some of it out.
std::string_view pending_input(bufferevent* b);
void consume_input(bufferevent* b, std::size_t bytes);
std::size_t pending_output(bufferevent* b);

} // namespace fernward::loop
