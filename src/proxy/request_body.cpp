#include "proxy/request_body.h"

#include <algorithm>

namespace fernward::proxy {

using body_buffers::RetainedBodies;

RequestBody::RequestBody(BodyStores& stores, std::optional<std::uint64_t> length)
    : stores_(stores),
      length_(length),
      body_(stores.retained, length),
      unretained_reservation_(stores.budget) {}

RequestBody::~RequestBody() = default;

std::size_t RequestBody::writable_bytes() const {
  return std::min(unretained_reservation_.available(), loop::IoBuffer::size());
}

bool RequestBody::append(std::string_view bytes, loop::IoBuffer& block) {
  if (bytes.empty()) return true;
  RetainedBodies::Placement where = body_.append(bytes.size());
  if (where == RetainedBodies::Placement::TooLong) return false;
  if (where == RetainedBodies::Placement::File) {
    if (in_file_ == nullptr && stores_.spill_folder != nullptr) in_file_ = stores_.spill_folder->create();
    if (in_file_ == nullptr || !in_file_->append(bytes)) {
      body_.on_file_failure(bytes.size());
      where = RetainedBodies::Placement::Unretained;
    }
  }
  if (where == RetainedBodies::Placement::Memory) in_memory_.append(bytes);
  if (where == RetainedBodies::Placement::Unretained) {
    unretained_reservation_.acquire(bytes.size());
    unretained_.add(bytes, block);
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
  for (auto it = readers_.begin(); it != readers_.end();) (*it++)->on_more_();
}

std::unique_ptr<RequestBody::Reader> RequestBody::add_reader(std::function<void()> more) {
  std::unique_ptr<Reader> reader(new Reader(*this, std::move(more)));
  readers_.push_back(reader.get());
  return reader;
}

RequestBody::Reader::~Reader() { body_.readers_.remove(this); }

RequestBody::Reader::ReadResult RequestBody::Reader::read(char* into, std::size_t most, std::size_t& bytes) {
  RequestBody& body = body_;
  bytes = 0;
  if (body.aborted_) return ReadResult::Unavailable;
  if (offset_ == body.received_bytes()) return body.complete_ ? ReadResult::End : ReadResult::Pending;
  const std::uint64_t kept = body.in_memory_.size() + (body.in_file_ == nullptr ? 0 : body.in_file_->size());
  if (offset_ < body.in_memory_.size()) {
    bytes = body.in_memory_.copy(into, most, static_cast<std::size_t>(offset_));
  } else if (offset_ < kept) {
    bytes = body.in_file_->read(offset_ - body.in_memory_.size(), into, most);
  } else if (offset_ == kept + body.consumed_bytes_) { // otherwise another reader has consumed these bytes
    bytes = body.unretained_.take(into, most);
    body.consumed_bytes_ += bytes;
    body.body_.mark_consumed(bytes);
    body.unretained_reservation_.release(bytes);
    if (bytes > 0 && body.on_writable_ && body.unretained_reservation_.may_resume()) body.on_writable_();
  }
  offset_ += bytes;
  return bytes > 0 ? ReadResult::Bytes : ReadResult::Unavailable;
}

} // namespace fernward::proxy
