// The client side as RequestDispatcher sees it.
#pragma once

#include <cstddef>
#include <string_view>

#include "loop/buffer.h"
#include "loop/slot_map.h"
#include "proxy/client_response.h"

namespace fernward::proxy {

using loop::Handle;

// `client` names a connection that waits for its response. Calls for a client that has left, or that waits
// for nothing, have no effect.
class DownstreamConnections {
 public:
  virtual ~DownstreamConnections() = default;

  // Sends a complete response. Not after start_response().
  virtual void send_response(Handle client, ClientResponse response) = 0;

  // False if the client has closed its connection or its sending side, as far as the kernel knows: the event
  // loop may not have read that yet, as the end can stand behind unread bytes.
  virtual bool is_connected(Handle client) = 0;

  // A streamed response: start_response() once, then write() or splice_from(), then end_response() once.

  // False: no client waits for it.
  virtual bool start_response(Handle client, ResponseHead head) = 0;
  // Bytes that write() takes now. After 0, RequestDispatcher::response_drained() is called when there is room
  // again.
  virtual std::size_t writable_bytes(Handle client) = 0;
  // `bytes` is no longer than writable_bytes(); `block` is the buffer that holds them.
  virtual void write(Handle client, std::string_view bytes, loop::IoBuffer& block) = 0;
  // Moves at most `most` bytes from `socket` to the client without copying them. Sets what was read and how
  // many bytes were moved. False: not possible on this connection now, nothing was read.
  virtual bool splice_from(Handle client, int socket, std::size_t most, loop::IoBuffer& block,
                           loop::Received& received, std::size_t& bytes) = 0;
  // `complete` false: the response broke off, and is ended so that the client can tell.
  virtual void end_response(Handle client, bool complete) = 0;
};

} // namespace fernward::proxy
