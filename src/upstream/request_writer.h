// Writes requests to upstream endpoints.
#pragma once

#include <string>

#include "figures/figures.h"
#include "loop/buffer.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"
#include "upstream/upstream_connection.h"

namespace fernward::upstream {

/// Encodes the request, uploads its body as it comes from the client, and counts requests whose last byte has
/// left.
class RequestWriter {
 public:
  /// `silent_ms`: an endpoint that takes nothing of a long body for so long is given up.
  RequestWriter(loop::TimerQueue& timers, loop::SlotMap<UpstreamConnection>& connections,
                figures::Figures& figures, loop::IoBuffer& block, ConnectionOwner& owner, double silent_ms);

  /// Writes the head and what is there of the body. `host` is the endpoint's address.
  void write(UpstreamConnection& connection, const std::string& host);
  /// The socket has room, or has taken all.
  void on_writable(UpstreamConnection& connection);
  /// Counts the request as sent once its last byte has left this process.
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
