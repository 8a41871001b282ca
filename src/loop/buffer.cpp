#include "loop/buffer.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <new>
#include <string>
#include <utility>
#include <vector>

namespace fernward::loop {

struct IoBuffer::Memory {
  unsigned users = 1; // the block itself, and each piece that a buffer refers to
  std::shared_ptr<Spare> spare;
  char bytes[kBlock];

  static Memory* take(const std::shared_ptr<Spare>& spare);
  static void let_go(Memory* memory);
  static void let_go_of(const void*, std::size_t, void* memory) { let_go(static_cast<Memory*>(memory)); }
  bool holds(std::string_view piece) const { return piece.data() >= bytes && piece.data() < bytes + kBlock; }
};

// A few are kept for the next body: given back to the system each time, their pages would be cleared each time.
struct IoBuffer::Spare {
  static constexpr std::size_t kMost = 16;
  std::vector<std::unique_ptr<Memory>> list;
};

IoBuffer::Memory* IoBuffer::Memory::take(const std::shared_ptr<Spare>& spare) {
  std::unique_ptr<Memory> memory;
  if (spare->list.empty()) {
    memory.reset(new Memory);
  } else {
    memory = std::move(spare->list.back());
    spare->list.pop_back();
  }
  memory->users = 1;
  memory->spare = spare;
  return memory.release();
}

void IoBuffer::Memory::let_go(Memory* memory) {
  if (--memory->users > 0) return;
  std::unique_ptr<Memory> free(memory);
  const std::shared_ptr<Spare> spare = std::move(memory->spare);
  if (spare->list.size() < Spare::kMost) spare->list.push_back(std::move(free));
}

IoBuffer::IoBuffer() : spare_(std::make_shared<Spare>()), memory_(Memory::take(spare_)) {}
IoBuffer::~IoBuffer() { Memory::let_go(memory_); }

char* IoBuffer::data() { // others may still read the last one
  if (memory_->users > 1) Memory::let_go(std::exchange(memory_, Memory::take(spare_)));
  return memory_->bytes;
}

evbuffer* Buffer::raw() {
  if (raw_ == nullptr) raw_.reset(evbuffer_new());
  if (raw_ == nullptr) throw std::bad_alloc();
  return raw_.get();
}

void Buffer::copy(std::string_view bytes) {
  if (!bytes.empty() && evbuffer_add(raw(), bytes.data(), bytes.size()) != 0) throw std::bad_alloc();
}

void Buffer::add(std::string_view bytes, IoBuffer& block) {
  if (bytes.empty()) return;
  if (bytes.size() < kBlock / 2 || !block.memory_->holds(bytes)) return copy(bytes);
  if (evbuffer_add_reference(raw(), bytes.data(), bytes.size(), &IoBuffer::Memory::let_go_of,
                             block.memory_) != 0) {
    throw std::bad_alloc();
  }
  ++block.memory_->users;
}

void Buffer::move_to(evbuffer* to) {
  if (raw_ != nullptr && evbuffer_add_buffer(to, raw_.get()) != 0) throw std::bad_alloc();
}

void Buffer::drain(std::size_t bytes) {
  if (raw_ != nullptr) evbuffer_drain(raw_.get(), bytes);
}

std::size_t Buffer::take(char* into, std::size_t most) {
  const int n = raw_ == nullptr ? 0 : evbuffer_remove(raw_.get(), into, most);
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

std::string Buffer::text() const {
  std::string out(size(), '\0');
  if (!out.empty()) evbuffer_copyout(raw_.get(), out.data(), out.size());
  return out;
}

Received receive(int fd, char* into, std::size_t most, std::size_t& bytes) {
  const auto n = recv(fd, into, most, MSG_DONTWAIT);
  if (n > 0) {
    bytes = static_cast<std::size_t>(n);
    return Received::Bytes;
  }
  if (n == 0) return Received::Ended;
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? Received::Nothing : Received::Broken;
}

Pipe::Pipe() {
  if (pipe2(ends_, O_NONBLOCK | O_CLOEXEC) != 0) ends_[0] = ends_[1] = -1;
}

Pipe::~Pipe() { close(); }

void Pipe::close() {
  if (!usable()) return;
  for (int& end : ends_) ::close(std::exchange(end, -1));
}

bool Pipe::move(int from, bufferevent* to, std::size_t most, IoBuffer& block, Received& received,
                std::size_t& bytes, std::string_view& rest) {
  const auto n =
      splice(from, nullptr, ends_[1], nullptr, std::min(most, kBlock), SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
  if (n < 0 && (errno == EINVAL || errno == ENOSYS || errno == EPERM)) {
    // That says nothing of the connection: taken for its end, it would cut off an answer that is still coming.
    close();
    return false;
  }
  received = n > 0                               ? Received::Bytes
             : n == 0                            ? Received::Ended
             : errno == EAGAIN || errno == EINTR ? Received::Nothing
                                                 : Received::Broken;
  if (n <= 0) return true;
  bytes = static_cast<std::size_t>(n);
  std::size_t out = 0;
  if (evbuffer_get_length(bufferevent_get_output(to)) == 0) {
    const auto sent =
        splice(ends_[0], nullptr, bufferevent_getfd(to), nullptr, bytes, SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
    out = sent > 0 ? static_cast<std::size_t>(sent) : 0; // an error shows when the rest is written
  }
  rest = {};
  if (out == bytes) return true;
  char* const into = block.data();
  std::size_t got = 0;
  while (got < bytes - out) {
    const auto part = read(ends_[0], into + got, bytes - out - got);
    if (part <= 0) break; // not to be: what was put in is there
    got += static_cast<std::size_t>(part);
  }
  rest = {into, got};
  return true;
}

namespace {

constexpr int kMostParts = 16;

std::size_t write_now(bufferevent* b, const iovec* parts, int count) {
  if (evbuffer_get_length(bufferevent_get_output(b)) > 0) return 0;
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(parts);
  message.msg_iovlen = static_cast<std::size_t>(count);
  const auto n = sendmsg(bufferevent_getfd(b), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

iovec part(std::string_view text) { return {const_cast<char*>(text.data()), text.size()}; }

// Cuts from the front of `text` what of `out` falls on it.
std::string_view rest_of(std::string_view text, std::size_t& out) {
  const std::size_t gone = std::min(out, text.size());
  out -= gone;
  return text.substr(gone);
}

void wait(bufferevent* b, std::string_view text) {
  if (!text.empty()) bufferevent_write(b, text.data(), text.size());
}

} // namespace

std::size_t write_or_wait(bufferevent* b, std::string_view text) {
  const iovec only = part(text);
  std::size_t out = text.empty() ? 0 : write_now(b, &only, 1);
  const std::string_view rest = rest_of(text, out);
  wait(b, rest);
  return rest.size();
}

std::size_t write_or_wait(bufferevent* b, std::string_view head, Buffer&& body) {
  const std::size_t size = body.size();
  iovec parts[kMostParts] = {part(head)};
  int count = 0;
  if (size > 0) {
    evbuffer_iovec pieces[kMostParts - 1];
    count = std::min(kMostParts - 1, evbuffer_peek(body.raw_.get(), -1, nullptr, pieces, kMostParts - 1));
    for (int i = 0; i < count; ++i) parts[i + 1] = {pieces[i].iov_base, pieces[i].iov_len};
  }
  std::size_t out = write_now(b, parts, count + 1);
  wait(b, rest_of(head, out));
  body.drain(out);
  body.move_to(bufferevent_get_output(b));
  return size - out;
}

std::size_t write_or_wait(bufferevent* b, std::string_view before, std::string_view body,
                          std::string_view after, IoBuffer& block) {
  const iovec parts[3] = {part(before), part(body), part(after)};
  std::size_t out = write_now(b, parts, 3);
  wait(b, rest_of(before, out));
  const std::string_view rest = rest_of(body, out);
  Buffer waits;
  waits.add(rest, block);
  waits.move_to(bufferevent_get_output(b));
  wait(b, rest_of(after, out));
  return rest.size();
}

} // namespace fernward::loop
