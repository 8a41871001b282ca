// Writes requests to upstream endpoints.
#pragma once

#include <string>

#include "figures/router_stats.h"
#include "loop/buffer.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"
#include "upstream/upstream_connection.h"

namespace fernward::upstream {

/// Encodes requests, uploads their bodies as they arrive from the client, and counts the requests whose last
/// byte was sent.
class RequestWriter {
 public:
  /// `silence_timeout_ms`: an attempt fails if its endpoint accepts none of a streamed body for this long.
  RequestWriter(loop::TimerQueue& timers, loop::SlotMap<UpstreamConnection>& connections,
                figures::RouterStats& stats, loop::IoBuffer& io_buffer, ConnectionOwner& owner,
                double silence_timeout_ms);

  /// Writes the head and the available part of the body. `host` is the endpoint's address.
  void write(UpstreamConnection& connection, const std::string& host);
  /// The output buffer has drained to its low watermark or completely.
  void on_writable(UpstreamConnection& connection);
  /// Counts the request as sent if its last byte has left this process. Counts each request once.
  void count_sent(UpstreamConnection& connection);

 private:
  void upload(UpstreamConnection& connection);
  void fail_lost_body(const UpstreamConnection& connection);
  void start_silence_timeout(UpstreamConnection& connection);
  void check_silence(UpstreamConnection& connection);

  loop::TimerQueue& timers_;
  loop::SlotMap<UpstreamConnection>& connections_;
  figures::RouterStats& stats_;
  loop::IoBuffer& io_buffer_;
  ConnectionOwner& owner_;
  const double silence_timeout_ms_;
};

} // namespace fernward::upstream
