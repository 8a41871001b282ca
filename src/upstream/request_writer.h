// Writes requests to upstream endpoints.
#pragma once

#include <string>

#include "figures/figures.h"
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
                figures::Figures& figures, loop::IoBuffer& block, ConnectionOwner& owner, double silent_ms);

  /// Writes the head and the available part of the body. `host` is the endpoint's address.
  void write(UpstreamConnection& connection, const std::string& host);
  /// The output buffer has drained to its low watermark or completely.
  void on_writable(UpstreamConnection& connection);
  /// Counts the request as sent if its last byte has left this process. Counts each request once.
  void count_sent(UpstreamConnection& connection);

 private:
  void upload(UpstreamConnection& connection);
  void fail_lost_body(const UpstreamConnection& connection);
  void start_silence_limit(UpstreamConnection& connection);
  void check_silence(UpstreamConnection& connection);

  loop::TimerQueue& timers_;
  loop::SlotMap<UpstreamConnection>& connections_;
  figures::Figures& figures_;
  loop::IoBuffer& block_;
  ConnectionOwner& owner_;
  const double silent_ms_;
};

} // namespace fernward::upstream
