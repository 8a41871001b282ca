// The interface of RequestDispatcher to the client connections.
#pragma once

#include <cstddef>
#include <string_view>

#include "loop/buffer.h"
#include "loop/slot_map.h"
#include "proxy/client_response.h"

namespace fernward::proxy {

using loop::Handle;

// `client` is the handle of a connection that waits for a response. Calls for a client that has disconnected,
// or that does not wait for a response, have no effect.
class DownstreamConnections {
 public:
  virtual ~DownstreamConnections() = default;

  // Sends a complete response. Not after start_response().
  virtual void send_response(Handle client, ClientResponse response) = 0;

  // False if the client has closed its connection or its sending side, according to the kernel. The event
  // loop may not have read the end of the stream yet, as unread bytes can precede it.
  virtual bool is_connected(Handle client) = 0;

  // A streamed response: start_response() once, then write() or splice_from(), then end_response() once.

  // False: no client waits for the response.
  virtual bool start_response(Handle client, ResponseHead head) = 0;
  // The number of bytes that write() accepts now. After 0, RequestDispatcher::response_drained() is called
  // when bytes can be written again.
  virtual std::size_t writable_bytes(Handle client) = 0;
  // `bytes` is no longer than writable_bytes(); `io_buffer` is the buffer that holds them.
  virtual void write(Handle client, std::string_view bytes) = 0;
  // Moves at most `max_bytes` bytes from `socket` to the client without copying them. Sets `received` and the
  // number of `bytes` moved. False: not possible on this connection now, and nothing was read.
  virtual bool splice_from(Handle client, int socket, std::size_t max_bytes, loop::IoBuffer& io_buffer,
                           loop::ReceiveResult& received, std::size_t& bytes) = 0;
  // `complete` false: the response was truncated, and is ended in a way that the client can detect.
  virtual void end_response(Handle client, bool complete) = 0;
};

} // namespace fernward::proxy
