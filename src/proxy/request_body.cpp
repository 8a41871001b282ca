#include "proxy/request_body.h"

#include <algorithm>

namespace fernward::proxy {

using body_buffers::RetainedBodies;

RequestBody::RequestBody(BodyStores& stores, std::optional<std::uint64_t> length)
    : stores_(stores), length_(length), body_(stores.keeper, length), hold_(stores.bytes) {}

RequestBody::~RequestBody() = default;

std::size_t RequestBody::room() const { return std::min(hold_.room(), loop::IoBuffer::size()); }

bool RequestBody::put(std::string_view bytes, loop::IoBuffer& block) {
  if (bytes.empty()) return true;
  RetainedBodies::Put where = body_.put(bytes.size());
  if (where == RetainedBodies::Put::TooLong) return false;
  if (where == RetainedBodies::Put::File) {
    if (file_ == nullptr && stores_.folder != nullptr) file_ = stores_.folder->create();
    if (file_ == nullptr || !file_->append(bytes)) {
      body_.file_failed(bytes.size());
      where = RetainedBodies::Put::Passing;
    }
  }
  if (where == RetainedBodies::Put::Memory) memory_.append(bytes);
  if (where == RetainedBodies::Put::Passing) {
    hold_.take(bytes.size());
    passing_.add(bytes, block);
  }
  tell();
  return true;
}

void RequestBody::end() {
  whole_ = true;
  tell();
}

void RequestBody::cut() {
  cut_ = !whole_;
  if (cut_) tell();
}

void RequestBody::tell() {
  for (auto it = readers_.begin(); it != readers_.end();) (*it++)->more_();
}

std::unique_ptr<RequestBody::Reader> RequestBody::read(std::function<void()> more) {
  std::unique_ptr<Reader> reader(new Reader(*this, std::move(more)));
  readers_.push_back(reader.get());
  return reader;
}

RequestBody::Reader::~Reader() { from_.readers_.remove(this); }

RequestBody::Reader::Got RequestBody::Reader::read(char* into, std::size_t most, std::size_t& bytes) {
  RequestBody& f = from_;
  bytes = 0;
  if (f.cut_) return Got::Lost;
  if (at_ == f.come()) return f.whole_ ? Got::End : Got::Later;
  const std::uint64_t kept = f.memory_.size() + (f.file_ == nullptr ? 0 : f.file_->size());
  if (at_ < f.memory_.size()) {
    bytes = f.memory_.copy(into, most, static_cast<std::size_t>(at_));
  } else if (at_ < kept) {
    bytes = f.file_->read(at_ - f.memory_.size(), into, most);
  } else if (at_ == kept + f.gone_) { // else another reader has had it
    bytes = f.passing_.take(into, most);
    f.gone_ += bytes;
    f.body_.handed_on(bytes);
    f.hold_.give(bytes);
    if (bytes > 0 && f.room_again_ && f.hold_.may_go_on()) f.room_again_();
  }
  at_ += bytes;
  return bytes > 0 ? Got::Bytes : Got::Lost;
}

} // namespace fernward::proxy
