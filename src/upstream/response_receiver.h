// Receives responses of upstream endpoints.
#pragma once

#include <string_view>

#include "body_buffers/buffer_budget.h"
#include "loop/buffer.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"
#include "upstream/connection_pool_options.h"
#include "upstream/request_writer.h"
#include "upstream/upstream_connection.h"

namespace fernward::upstream {

/// Reads the head, then buffers the body until it is complete or must be streamed, streams it to the client,
/// or discards it. Fails a connection whose endpoint stops sending in the middle of a response.
class ResponseReceiver {
 public:
  /// The receiver's dependencies; all must outlive it.
  struct Context {
    event_base* base;
    loop::TimerQueue& timers;
    loop::SlotMap<UpstreamConnection>& connections;
    body_buffers::BufferBudget& buffer_budget;
    loop::IoBuffer& io_buffer;
    proxy::AttemptCallbacks& attempts;
    ConnectionOwner& owner;
    RequestWriter& writer;
    const ConnectionPoolOptions& options;
  };
  explicit ResponseReceiver(const Context& context) : context_(context) {}

  /// To be called for a connection with a request. The connection may be destroyed afterwards.
  void on_readable(UpstreamConnection& connection);
  /// Resumes reading after the client could not accept more. Reads nothing before the next event loop
  /// iteration.
  void resume(UpstreamConnection& connection);
  /// `direct`: bypasses libevent's input buffer, for long stretches of a body; otherwise reads through it.
  void set_direct_read(UpstreamConnection& connection, bool direct);

 private:
  enum class BodyStatus { Incomplete, Complete, Closed };

  static void on_direct_readable(int, short, void* connection);
  bool read_head(UpstreamConnection& connection);
  bool on_head(UpstreamConnection& connection);
  void on_body_awaited(UpstreamConnection& connection);
  void read_socket(UpstreamConnection& connection);
  bool handle_read_end(UpstreamConnection& connection, loop::ReceiveResult received);
  bool stream_block(UpstreamConnection& connection, std::size_t max_bytes, loop::ReceiveResult& received,
                    std::size_t& bytes);
  BodyStatus receive_body(UpstreamConnection& connection, std::string_view& bytes);
  void deliver(UpstreamConnection& connection, std::string_view body);
  bool apply_buffering_rules(UpstreamConnection& connection);
  std::size_t read_allowance(UpstreamConnection& connection);
  void stop_buffering(UpstreamConnection& connection);
  void start_buffering_timeout(UpstreamConnection& connection);
  void start_remainder_timeout(UpstreamConnection& connection);
  void start_silence_timeout(UpstreamConnection& connection);
  double silence_ends_at_ms(const UpstreamConnection& connection) const;
  void check_silence(UpstreamConnection& connection);
  void on_malformed_response(UpstreamConnection& connection);

  const Context context_;
};

} // namespace fernward::upstream
