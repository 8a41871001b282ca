#include "upstream/upstream_connection.h"

namespace fernward::upstream {

void UpstreamConnection::pause(double now_ms) {
  state_ = State::Paused;
  response.paused_at_ms = now_ms;
}

void UpstreamConnection::resume(double now_ms) {
  state_ = State::Streaming;
  paused_ms += now_ms - response.paused_at_ms;
}

void UpstreamConnection::become_idle(double now_ms) {
  state_ = State::Idle;
  idle.became_idle_at_ms = now_ms;
}

bool UpstreamConnection::request_unsent() const {
  return upload.stage == UploadProgress::Stage::Uploading || loop::pending_output(socket.get()) > 0;
}

} // namespace fernward::upstream
