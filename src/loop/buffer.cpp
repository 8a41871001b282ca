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

namespace fernward::loop {

// ---- Buffer ----

evbuffer* Buffer::chain() {
  if (chain_ == nullptr) chain_.reset(evbuffer_new());
  if (chain_ == nullptr) throw std::bad_alloc();
  return chain_.get();
}

namespace {

// In pieces of its own: libevent would allocate one block of twice the size for a long text.
void append_pieces(evbuffer* to, std::string_view bytes) {
  while (!bytes.empty()) {
    const std::string_view piece = bytes.substr(0, kPiecePayloadBytes);
    if (evbuffer_add(to, piece.data(), piece.size()) != 0) throw std::bad_alloc();
    bytes.remove_prefix(piece.size());
  }
}

} // namespace

void Buffer::append(std::string_view bytes) {
  if (!bytes.empty()) append_pieces(chain(), bytes);
}

void Buffer::move_to(evbuffer* to) {
  if (chain_ != nullptr && evbuffer_add_buffer(to, chain_.get()) != 0) throw std::bad_alloc();
}

void Buffer::drain(std::size_t bytes) {
  if (chain_ != nullptr) evbuffer_drain(chain_.get(), bytes);
}

std::size_t Buffer::read(char* destination, std::size_t max_bytes) {
  const int read_bytes = chain_ == nullptr ? 0 : evbuffer_remove(chain_.get(), destination, max_bytes);
  return read_bytes > 0 ? static_cast<std::size_t>(read_bytes) : 0;
}

std::string Buffer::text() const {
  std::string contents(size(), '\0');
  if (!contents.empty()) evbuffer_copyout(chain_.get(), contents.data(), contents.size());
  return contents;
}

// ---- reading ----

namespace {

// Interprets the return value of recv() or splice(); reads errno, so call it right after.
ReceiveResult receive_result_of(ssize_t result) {
  if (result > 0) return ReceiveResult::Bytes;
  if (result == 0) return ReceiveResult::EndOfStream;
  const bool would_block = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return would_block ? ReceiveResult::WouldBlock : ReceiveResult::Error;
}

std::size_t bytes_of(ssize_t result) { return result > 0 ? static_cast<std::size_t>(result) : 0; }

} // namespace

ReceiveResult receive(int fd, char* destination, std::size_t max_bytes, std::size_t& bytes) {
  const ssize_t result = recv(fd, destination, max_bytes, MSG_DONTWAIT);
  if (result > 0) bytes = static_cast<std::size_t>(result);
  return receive_result_of(result);
}

// ---- Pipe ----

Pipe::Pipe() {
  if (pipe2(fds_, O_NONBLOCK | O_CLOEXEC) != 0) fds_[0] = fds_[1] = -1;
}

Pipe::~Pipe() { close(); }

void Pipe::close() {
  if (!usable()) return;
  for (int& fd : fds_) ::close(std::exchange(fd, -1));
}

bool Pipe::transfer(int from, bufferevent* to, std::size_t max_bytes, IoBuffer& io_buffer,
                    ReceiveResult& received, std::size_t& bytes, std::string_view& unsent) {
  const ssize_t spliced_bytes = splice(from, nullptr, fds_[1], nullptr, std::min(max_bytes, kIoBufferBytes),
                                       SPLICE_F_MOVE | SPLICE_F_NONBLOCK);
  if (spliced_bytes < 0 && (errno == EINVAL || errno == ENOSYS || errno == EPERM)) {
    // splice() itself is refused; the connection is intact. Treating this as its end would truncate a
    // response that is still arriving.
    close();
    return false;
  }
  received = receive_result_of(spliced_bytes);
  if (received != ReceiveResult::Bytes) return true;
  bytes = static_cast<std::size_t>(spliced_bytes);
  const std::size_t sent_bytes = send_now(to, bytes);
  unsent = {};
  if (sent_bytes < bytes) unsent = read_unsent(io_buffer, bytes - sent_bytes);
  return true;
}

// Returns how many bytes were sent. An error surfaces when the remaining bytes are written.
std::size_t Pipe::send_now(bufferevent* to, std::size_t bytes) {
  if (evbuffer_get_length(bufferevent_get_output(to)) > 0) return 0;
  return bytes_of(
      splice(fds_[0], nullptr, bufferevent_getfd(to), nullptr, bytes, SPLICE_F_MOVE | SPLICE_F_NONBLOCK));
}

std::string_view Pipe::read_unsent(IoBuffer& io_buffer, std::size_t bytes) {
  char* const destination = io_buffer.data();
  std::size_t filled = 0;
  while (filled < bytes) {
    const ssize_t part = read(fds_[0], destination + filled, bytes - filled);
    if (part <= 0) break; // unreachable: the bytes are in the pipe
    filled += static_cast<std::size_t>(part);
  }
  return {destination, filled};
}

// ---- writing ----

namespace {

constexpr int kMaxParts = 64; // iovecs in one sendmsg()

std::size_t write_now(bufferevent* to, const iovec* parts, int count) {
  if (evbuffer_get_length(bufferevent_get_output(to)) > 0) return 0;
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(parts);
  message.msg_iovlen = static_cast<std::size_t>(count);
  return bytes_of(sendmsg(bufferevent_getfd(to), &message, MSG_DONTWAIT | MSG_NOSIGNAL));
}

iovec iovec_of(std::string_view text) { return {const_cast<char*>(text.data()), text.size()}; }

// Returns the part of `text` after its first `written` bytes, and subtracts the skipped bytes from `written`.
std::string_view unwritten(std::string_view text, std::size_t& written) {
  const std::size_t skipped = std::min(written, text.size());
  written -= skipped;
  return text.substr(skipped);
}

void enqueue(bufferevent* to, std::string_view text) { append_pieces(bufferevent_get_output(to), text); }

} // namespace

std::size_t write_or_enqueue(bufferevent* to, std::string_view text) {
  const iovec part = iovec_of(text);
  std::size_t written = text.empty() ? 0 : write_now(to, &part, 1);
  const std::string_view unwritten_text = unwritten(text, written);
  enqueue(to, unwritten_text);
  return unwritten_text.size();
}

std::size_t write_or_enqueue(bufferevent* to, std::string_view head, Buffer&& body) {
  const std::size_t size = body.size();
  iovec parts[kMaxParts] = {iovec_of(head)};
  int piece_count = 0;
  if (size > 0) {
    evbuffer_iovec pieces[kMaxParts - 1];
    const int total_pieces = evbuffer_peek(body.chain_.get(), -1, nullptr, pieces, kMaxParts - 1);
    piece_count = std::min(kMaxParts - 1, total_pieces);
    for (int i = 0; i < piece_count; ++i) parts[i + 1] = {pieces[i].iov_base, pieces[i].iov_len};
  }
  std::size_t written = write_now(to, parts, piece_count + 1);
  enqueue(to, unwritten(head, written));
  body.drain(written);
  body.move_to(bufferevent_get_output(to));
  return size - written;
}

std::size_t write_or_enqueue(bufferevent* to, std::string_view prefix, std::string_view body,
                             std::string_view suffix) {
  const iovec parts[3] = {iovec_of(prefix), iovec_of(body), iovec_of(suffix)};
  std::size_t written = write_now(to, parts, 3);
  enqueue(to, unwritten(prefix, written));
  const std::string_view unwritten_text = unwritten(body, written);
  enqueue(to, unwritten_text);
  enqueue(to, unwritten(suffix, written));
  return unwritten_text.size();
}

} // namespace fernward::loop
