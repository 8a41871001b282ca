#include "proxy/request_body.h"

#include <algorithm>

#include "memory_budget/growth.h"

namespace fernward::proxy {

using body_buffers::RetainedBodies;

namespace {

constexpr std::size_t kMemoryStepBytes = 32 * 1024;

} // namespace

RequestBody::RequestBody(BodyStores& stores, std::optional<std::uint64_t> length)
    : stores_(stores),
      length_(length),
      body_(stores.retained, length),
      unretained_reservation_(stores.buffer_budget) {}

RequestBody::~RequestBody() = default;

std::size_t RequestBody::writable_bytes() const {
  return std::min(unretained_reservation_.available_bytes(), loop::IoBuffer::size());
}

bool RequestBody::append(std::string_view bytes) {
  if (bytes.empty()) return true;
  RetainedBodies::Placement placement = body_.append(bytes.size());
  if (placement == RetainedBodies::Placement::TooLong) return false;
  if (placement == RetainedBodies::Placement::File) {
    if (file_part_ == nullptr && stores_.spill_folder != nullptr) file_part_ = stores_.spill_folder->create();
    if (file_part_ == nullptr || !file_part_->append(bytes)) {
      body_.on_file_failure(bytes.size());
      placement = RetainedBodies::Placement::Unretained;
    }
  }
  if (placement == RetainedBodies::Placement::Memory)
    memory_budget::append_in_steps(memory_part_, bytes, kMemoryStepBytes);
  if (placement == RetainedBodies::Placement::Unretained) {
    unretained_reservation_.acquire(bytes.size());
    unretained_.append(bytes);
  }
  notify_readers();
  return true;
}

void RequestBody::complete() {
  complete_ = true;
  notify_readers();
}

void RequestBody::abort() {
  aborted_ = !complete_;
  if (aborted_) notify_readers();
}

void RequestBody::notify_readers() {
  for (auto it = readers_.begin(); it != readers_.end();) (*it++)->on_readable_();
}

std::unique_ptr<RequestBody::Reader> RequestBody::add_reader(std::function<void()> on_readable) {
  std::unique_ptr<Reader> reader(new Reader(*this, std::move(on_readable)));
  readers_.push_back(reader.get());
  return reader;
}

RequestBody::Reader::~Reader() { body_.readers_.remove(this); }

RequestBody::Reader::ReadResult RequestBody::Reader::read(char* destination, std::size_t max_bytes,
                                                          std::size_t& bytes) {
  RequestBody& body = body_;
  bytes = 0;
  if (body.aborted_) return ReadResult::Unavailable;
  if (offset_ == body.received_bytes()) return body.complete_ ? ReadResult::End : ReadResult::Pending;
  const std::uint64_t retained_bytes =
      body.memory_part_.size() + (body.file_part_ == nullptr ? 0 : body.file_part_->size());
  if (offset_ < body.memory_part_.size()) {
    bytes = body.memory_part_.copy(destination, max_bytes, static_cast<std::size_t>(offset_));
  } else if (offset_ < retained_bytes) {
    bytes = body.file_part_->read(offset_ - body.memory_part_.size(), destination, max_bytes);
  } else if (offset_ == retained_bytes + body.consumed_bytes_) {
    // At any other offset, another reader has consumed the bytes.
    bytes = body.unretained_.read(destination, max_bytes);
    body.consumed_bytes_ += bytes;
    body.body_.mark_consumed(bytes);
    body.unretained_reservation_.release(bytes);
    if (bytes > 0 && body.on_writable_ && body.unretained_reservation_.may_resume()) body.on_writable_();
  }
  offset_ += bytes;
  return bytes > 0 ? ReadResult::Bytes : ReadResult::Unavailable;
}

} // namespace fernward::proxy
