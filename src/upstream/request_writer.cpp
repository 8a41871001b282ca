#include "upstream/request_writer.h"

#include <algorithm>
#include <utility>

#include "upstream/codec.h"

namespace fernward::upstream {

using fernward::AttemptResult;
using loop::now_ms;
using Stage = UploadProgress::Stage;

namespace {

constexpr std::size_t kMaxPendingUploadBytes = 128 * 1024; // body bytes in the output buffer
constexpr double kChecksPerSilenceTimeout = 4;             // checks per silence timeout

} // namespace

RequestWriter::RequestWriter(loop::TimerQueue& timers, loop::SlotMap<UpstreamConnection>& connections,
                             figures::RouterStats& stats, loop::IoBuffer& io_buffer, ConnectionOwner& owner,
                             double silence_timeout_ms)
    : timers_(timers),
      connections_(connections),
      stats_(stats),
      io_buffer_(io_buffer),
      owner_(owner),
      silence_timeout_ms_(silence_timeout_ms) {}

void RequestWriter::write(UpstreamConnection& connection, const std::string& host) {
  // The endpoint starts at the last byte. The time that the body may take to arrive until then is not the client's.
  const double timeout_ms = std::min(connection.deadline_ms - now_ms(), connection.request->timeout_ms);
  loop::write_or_enqueue(connection.socket.get(), encode(*connection.request, host, timeout_ms));
  UploadProgress& progress = connection.upload;
  progress.stage = Stage::Flushing;
  if (connection.request->streamed_body == nullptr) return count_sent(connection);
  progress.stage = Stage::Uploading;
  progress.head_written_at_ms = progress.last_sent_at_ms = now_ms();
  progress.sent_bytes = 0;
  start_silence_timeout(connection);
  bufferevent_setwatermark(connection.socket.get(), EV_WRITE, kMaxPendingUploadBytes / 2, 0);
  progress.reader = connection.request->streamed_body->add_reader([this, handle = connection.handle] {
    if (UpstreamConnection* waiting = connections_.find(handle)) upload(*waiting);
  });
  upload(connection);
}

void RequestWriter::on_writable(UpstreamConnection& connection) {
  if (connection.upload.stage == Stage::Uploading) upload(connection);
  count_sent(connection);
}

// Never closes the connection: it is also called by the body's reader, from within code of the client
// connection.
void RequestWriter::upload(UpstreamConnection& connection) {
  using ReadResult = proxy::RequestBody::Reader::ReadResult;
  bufferevent* const socket = connection.socket.get();
  UploadProgress& progress = connection.upload;
  const bool chunked = !connection.request->streamed_body->length();
  while (progress.stage == Stage::Uploading && loop::pending_output(socket) < kMaxPendingUploadBytes) {
    std::size_t bytes = 0;
    char* const destination = io_buffer_.data();
    const ReadResult result = progress.reader->read(destination, loop::IoBuffer::size(), bytes);
    if (result == ReadResult::Pending) return;
    if (result == ReadResult::Unavailable) return fail_lost_body(connection);
    if (result == ReadResult::End) {
      if (chunked) loop::write_or_enqueue(socket, http::kLastChunk);
      progress.stage = Stage::Flushing;
      connection.paused_ms += now_ms() - progress.head_written_at_ms; // the endpoint could not start before
      return count_sent(connection);
    }
    const std::string chunk_line = chunked ? http::chunk_size_line(bytes) : std::string();
    loop::write_or_enqueue(socket, chunk_line, {destination, bytes}, chunked ? http::kChunkEnd : "");
  }
}

void RequestWriter::fail_lost_body(const UpstreamConnection& connection) {
  timers_.run_at(now_ms(), [this, handle = connection.handle] {
    UpstreamConnection* incomplete = connections_.find(handle);
    if (incomplete == nullptr || incomplete->upload.stage != Stage::Uploading) return;
    // An incomplete request has not run.
    owner_.fail(*incomplete, AttemptResult::ConnectFailed, CloseReason::BodyLost);
  });
}

void RequestWriter::count_sent(UpstreamConnection& connection) {
  if (connection.upload.stage == Stage::Sent || connection.request_unsent()) return;
  connection.upload.stage = Stage::Sent;
  stats_.count_attempt();
}

// The client determines how fast a body arrives. The endpoint is responsible only if it accepts none of the
// bytes that have arrived.
void RequestWriter::start_silence_timeout(UpstreamConnection& connection) {
  timers_.cancel(connection.timer);
  connection.timer = timers_.run_at(now_ms() + silence_timeout_ms_ / kChecksPerSilenceTimeout,
                                    [this, handle = connection.handle] {
                                      UpstreamConnection* timed_out = connections_.find(handle);
                                      if (timed_out == nullptr) return;
                                      timed_out->timer = 0;
                                      check_silence(*timed_out);
                                    });
}

void RequestWriter::check_silence(UpstreamConnection& connection) {
  UploadProgress& progress = connection.upload;
  if (progress.reader == nullptr || !connection.request_unsent() || connection.parser.head_done()) return;
  const std::size_t pending_bytes = loop::pending_output(connection.socket.get());
  const std::uint64_t read_bytes = progress.reader->offset();
  const std::uint64_t sent_bytes = read_bytes - std::min<std::uint64_t>(read_bytes, pending_bytes);
  if (pending_bytes == 0 || std::exchange(progress.sent_bytes, sent_bytes) < sent_bytes) {
    progress.last_sent_at_ms = now_ms();
  }
  if (now_ms() - progress.last_sent_at_ms < silence_timeout_ms_) return start_silence_timeout(connection);
  owner_.fail(connection, AttemptResult::ConnectFailed, CloseReason::UploadStalled);
}

} // namespace fernward::upstream
