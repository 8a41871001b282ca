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

// ---- IoBuffer ----

struct IoBuffer::Memory {
  unsigned references = 1; // one for the IoBuffer, one for each piece in a Buffer
  std::shared_ptr<FreeList> free_list;
  char bytes[kIoBufferBytes];

  static Memory* acquire(const std::shared_ptr<FreeList>& free_list);
  static void release(Memory* memory);
  static void release_piece(const void*, std::size_t, void* memory) { release(static_cast<Memory*>(memory)); }
  bool contains(std::string_view piece) const {
    return piece.data() >= bytes && piece.data() < bytes + kIoBufferBytes;
  }
};

// Unused blocks are kept for reuse: the kernel zeroes the pages of every new allocation.
struct IoBuffer::FreeList {
  static constexpr std::size_t kMaxKept = 16;
  std::vector<std::unique_ptr<Memory>> kept;
};

IoBuffer::Memory* IoBuffer::Memory::acquire(const std::shared_ptr<FreeList>& free_list) {
  std::unique_ptr<Memory> memory;
  if (free_list->kept.empty()) {
    memory.reset(new Memory);
  } else {
    memory = std::move(free_list->kept.back());
    free_list->kept.pop_back();
  }
  memory->references = 1;
  memory->free_list = free_list;
  return memory.release();
}

void IoBuffer::Memory::release(Memory* memory) {
  if (--memory->references > 0) return;
  std::unique_ptr<Memory> unused(memory);
  const std::shared_ptr<FreeList> free_list = std::move(memory->free_list);
  if (free_list->kept.size() < FreeList::kMaxKept) free_list->kept.push_back(std::move(unused));
}

IoBuffer::IoBuffer() : free_list_(std::make_shared<FreeList>()), memory_(Memory::acquire(free_list_)) {}
IoBuffer::~IoBuffer() { Memory::release(memory_); }

char* IoBuffer::data() {
  if (memory_->references > 1) Memory::release(std::exchange(memory_, Memory::acquire(free_list_)));
  return memory_->bytes;
}

// ---- Buffer ----

evbuffer* Buffer::chain() {
  if (chain_ == nullptr) chain_.reset(evbuffer_new());
  if (chain_ == nullptr) throw std::bad_alloc();
  return chain_.get();
}

void Buffer::copy(std::string_view bytes) {
  if (!bytes.empty() && evbuffer_add(chain(), bytes.data(), bytes.size()) != 0) throw std::bad_alloc();
}

void Buffer::add(std::string_view bytes, IoBuffer& block) {
  if (bytes.empty()) return;
  IoBuffer::Memory* const memory = block.memory_;
  if (bytes.size() < kIoBufferBytes / 2 || !memory->contains(bytes)) return copy(bytes);
  if (evbuffer_add_reference(chain(), bytes.data(), bytes.size(), &IoBuffer::Memory::release_piece, memory) !=
      0) {
    throw std::bad_alloc();
  }
  ++memory->references;
}

void Buffer::move_to(evbuffer* to) {
  if (chain_ != nullptr && evbuffer_add_buffer(to, chain_.get()) != 0) throw std::bad_alloc();
}

void Buffer::drain(std::size_t bytes) {
  if (chain_ != nullptr) evbuffer_drain(chain_.get(), bytes);
}

std::size_t Buffer::take(char* into, std::size_t max_bytes) {
  const int taken = chain_ == nullptr ? 0 : evbuffer_remove(chain_.get(), into, max_bytes);
  return taken > 0 ? static_cast<std::size_t>(taken) : 0;
}

std::string Buffer::text() const {
  std::string copy(size(), '\0');
  if (!copy.empty()) evbuffer_copyout(chain_.get(), copy.data(), copy.size());
  return copy;
}

// ---- reading ----

namespace {

// Interprets the return value of recv() or splice(); reads errno, so call it right after.
Received received_of(ssize_t result) {
  if (result > 0) return Received::Bytes;
  if (result == 0) return Received::EndOfStream;
  const bool later = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return later ? Received::WouldBlock : Received::Error;
}

std::size_t bytes_of(ssize_t result) { return result > 0 ? static_cast<std::size_t>(result) : 0; }

} // namespace

Received receive(int fd, char* into, std::size_t max_bytes, std::size_t& bytes) {
  const ssize_t result = recv(fd, into, max_bytes, MSG_DONTWAIT);
  if (result > 0) bytes = static_cast<std::size_t>(result);
  return received_of(result);
}

// ---- Pipe ----

Pipe::Pipe() {
  if (pipe2(ends_, O_NONBLOCK | O_CLOEXEC) != 0) ends_[0] = ends_[1] = -1;
}

Pipe::~Pipe() { close(); }

void Pipe::close() {
  if (!usable()) return;
  for (int& end : ends_) ::close(std::exchange(end, -1));
}

bool Pipe::move(int from, bufferevent* to, std::size_t max_bytes, IoBuffer& block, Received& received,
                std::size_t& bytes, std::string_view& rest) {
  const ssize_t spliced = splice(from, nullptr, ends_[1], nullptr, std::min(max_bytes, kIoBufferBytes),
                                 SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
  if (spliced < 0 && (errno == EINVAL || errno == ENOSYS || errno == EPERM)) {
    // splice() itself is refused; the connection is intact. Treating this as its end would truncate a
    // response that is still arriving.
    close();
    return false;
  }
  received = received_of(spliced);
  if (received != Received::Bytes) return true;
  bytes = static_cast<std::size_t>(spliced);
  const std::size_t sent = send_now(to, bytes);
  rest = {};
  if (sent < bytes) rest = read_rest(block, bytes - sent);
  return true;
}

// Returns how many bytes were sent. An error surfaces when the remaining bytes are written.
std::size_t Pipe::send_now(bufferevent* to, std::size_t bytes) {
  if (evbuffer_get_length(bufferevent_get_output(to)) > 0) return 0;
  return bytes_of(
      splice(ends_[0], nullptr, bufferevent_getfd(to), nullptr, bytes, SPLICE_F_MOVE | SPLICE_F_NONBLOCK));
}

std::string_view Pipe::read_rest(IoBuffer& block, std::size_t bytes) {
  char* const into = block.data();
  std::size_t filled = 0;
  while (filled < bytes) {
    const ssize_t part = read(ends_[0], into + filled, bytes - filled);
    if (part <= 0) break; // unreachable: the bytes are in the pipe
    filled += static_cast<std::size_t>(part);
  }
  return {into, filled};
}

// ---- writing ----

namespace {

constexpr int kMaxParts = 16; // iovecs in one sendmsg()

std::size_t write_now(bufferevent* to, const iovec* parts, int count) {
  if (evbuffer_get_length(bufferevent_get_output(to)) > 0) return 0;
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(parts);
  message.msg_iovlen = static_cast<std::size_t>(count);
  return bytes_of(sendmsg(bufferevent_getfd(to), &message, MSG_DONTWAIT | MSG_NOSIGNAL));
}

iovec part_of(std::string_view text) { return {const_cast<char*>(text.data()), text.size()}; }

// Returns the part of `text` after its first `written` bytes, and subtracts the skipped bytes from `written`.
std::string_view unwritten(std::string_view text, std::size_t& written) {
  const std::size_t gone = std::min(written, text.size());
  written -= gone;
  return text.substr(gone);
}

void enqueue(bufferevent* to, std::string_view text) {
  if (!text.empty()) bufferevent_write(to, text.data(), text.size());
}

} // namespace

std::size_t write_or_wait(bufferevent* to, std::string_view text) {
  const iovec only = part_of(text);
  std::size_t written = text.empty() ? 0 : write_now(to, &only, 1);
  const std::string_view rest = unwritten(text, written);
  enqueue(to, rest);
  return rest.size();
}

std::size_t write_or_wait(bufferevent* to, std::string_view head, Buffer&& body) {
  const std::size_t size = body.size();
  iovec parts[kMaxParts] = {part_of(head)};
  int pieces_in = 0;
  if (size > 0) {
    evbuffer_iovec pieces[kMaxParts - 1];
    const int all = evbuffer_peek(body.chain_.get(), -1, nullptr, pieces, kMaxParts - 1);
    pieces_in = std::min(kMaxParts - 1, all);
    for (int i = 0; i < pieces_in; ++i) parts[i + 1] = {pieces[i].iov_base, pieces[i].iov_len};
  }
  std::size_t written = write_now(to, parts, pieces_in + 1);
  enqueue(to, unwritten(head, written));
  body.drain(written);
  body.move_to(bufferevent_get_output(to));
  return size - written;
}

std::size_t write_or_wait(bufferevent* to, std::string_view before, std::string_view body,
                          std::string_view after, IoBuffer& block) {
  const iovec parts[3] = {part_of(before), part_of(body), part_of(after)};
  std::size_t written = write_now(to, parts, 3);
  enqueue(to, unwritten(before, written));
  const std::string_view rest = unwritten(body, written);
  Buffer waiting;
  waiting.add(rest, block);
  waiting.move_to(bufferevent_get_output(to));
  enqueue(to, unwritten(after, written));
  return rest.size();
}

} // namespace fernward::loop
