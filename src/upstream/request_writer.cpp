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
constexpr double kSilenceChecks = 4;                       // checks per silence timeout

} // namespace

RequestWriter::RequestWriter(loop::TimerQueue& timers, loop::SlotMap<UpstreamConnection>& connections,
                             figures::Figures& figures, loop::IoBuffer& block, ConnectionOwner& owner,
                             double silent_ms)
    : timers_(timers),
      connections_(connections),
      figures_(figures),
      block_(block),
      owner_(owner),
      silent_ms_(silent_ms) {}

void RequestWriter::write(UpstreamConnection& connection, const std::string& host) {
  loop::write_or_wait(connection.socket.get(),
                      encode(*connection.request, host, connection.deadline_ms - now_ms()));
  UploadProgress& progress = connection.upload;
  progress.stage = Stage::Flushing;
  if (connection.request->streamed_body == nullptr) return count_sent(connection);
  progress.stage = Stage::Uploading;
  progress.head_written_at_ms = progress.last_taken_at_ms = now_ms();
  progress.bytes_taken = 0;
  start_silence_limit(connection);
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
    char* const into = block_.data();
    const ReadResult got = progress.reader->read(into, loop::IoBuffer::size(), bytes);
    if (got == ReadResult::Pending) return;
    if (got == ReadResult::Unavailable) return fail_lost_body(connection);
    if (got == ReadResult::End) {
      if (chunked) loop::write_or_wait(socket, http::kLastChunk);
      progress.stage = Stage::Flushing;
      connection.paused_ms += now_ms() - progress.head_written_at_ms; // the endpoint could not start before
      return count_sent(connection);
    }
    const std::string chunk_line = chunked ? http::chunk_line(bytes) : std::string();
    loop::write_or_wait(socket, chunk_line, {into, bytes}, chunked ? http::kChunkEnd : "", block_);
  }
}

void RequestWriter::fail_lost_body(const UpstreamConnection& connection) {
  timers_.at(now_ms(), [this, handle = connection.handle] {
    UpstreamConnection* cut = connections_.find(handle);
    if (cut == nullptr || cut->upload.stage != Stage::Uploading) return;
    owner_.fail(*cut, AttemptResult::ConnectFailed,
                CloseReason::BodyLost); // an incomplete request has not run
  });
}

void RequestWriter::count_sent(UpstreamConnection& connection) {
  if (connection.upload.stage == Stage::Sent || connection.request_unsent()) return;
  connection.upload.stage = Stage::Sent;
  figures_.sent();
}

// The client determines how fast a body arrives. The endpoint is responsible only if it accepts none of the
// bytes that have arrived.
void RequestWriter::start_silence_limit(UpstreamConnection& connection) {
  timers_.cancel(connection.timer);
  connection.timer = timers_.at(now_ms() + silent_ms_ / kSilenceChecks, [this, handle = connection.handle] {
    UpstreamConnection* late = connections_.find(handle);
    if (late == nullptr) return;
    late->timer = 0;
    check_silence(*late);
  });
}

void RequestWriter::check_silence(UpstreamConnection& connection) {
  UploadProgress& progress = connection.upload;
  if (progress.reader == nullptr || !connection.request_unsent() || connection.parser.head_done()) return;
  const std::size_t pending = loop::pending_output(connection.socket.get());
  const std::uint64_t read = progress.reader->offset();
  const std::uint64_t taken = read - std::min<std::uint64_t>(read, pending);
  if (pending == 0 || std::exchange(progress.bytes_taken, taken) < taken) {
    progress.last_taken_at_ms = now_ms();
  }
  if (now_ms() - progress.last_taken_at_ms < silent_ms_) return start_silence_limit(connection);
  owner_.fail(connection, AttemptResult::ConnectFailed, CloseReason::TakesNothing);
}

} // namespace fernward::upstream
