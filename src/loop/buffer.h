// Buffers for bodies, and reads and writes that bypass libevent's buffers.
//
// libevent reads 4 KB at a time and registers an event for each write, which is most of the cost of a long
// body (docs/notes/bodies.md has the figures).
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fernward::loop {

constexpr std::size_t kIoBufferBytes = 64 * 1024;
/// Memory of one piece of a Buffer, with libevent's header of it.
constexpr std::size_t kPieceBytes = 4096;
/// Bytes that a piece holds; libevent's header is smaller than the rest.
constexpr std::size_t kPiecePayloadBytes = kPieceBytes - 64;

/// The memory that sockets are read into. One instance serves a whole event loop: its contents are valid
/// until the next callback, and bytes that are needed longer go into a Buffer.
class IoBuffer {
 public:
  IoBuffer() : bytes_(std::make_unique<std::array<char, kIoBufferBytes>>()) {}

  char* data() { return bytes_->data(); }
  static constexpr std::size_t size() { return kIoBufferBytes; }

 private:
  std::unique_ptr<std::array<char, kIoBufferBytes>> bytes_;
};

/// A byte buffer (an evbuffer chain) that can be moved without copying. It consists of pieces of kPieceBytes,
/// each freed when its last byte is drained: the memory of a large Buffer exceeds its size by two pieces at
/// most. Methods throw std::bad_alloc when out of memory.
class Buffer {
 public:
  Buffer() = default;
  Buffer(Buffer&&) noexcept = default;
  Buffer& operator=(Buffer&&) noexcept = default;

  std::size_t size() const { return chain_ == nullptr ? 0 : evbuffer_get_length(chain_.get()); }
  void append(std::string_view bytes);
  /// Appends all bytes to `to`; this Buffer is empty afterwards.
  void move_to(evbuffer* to);
  void drain(std::size_t bytes);
  /// Removes up to `max_bytes` from the front into `destination`; returns how many.
  std::size_t read(char* destination, std::size_t max_bytes);
  /// A copy of the contents; for small buffers.
  std::string text() const;
  void clear() { chain_.reset(); }

 private:
  friend std::size_t write_or_enqueue(bufferevent* to, std::string_view head, Buffer&& body);
  struct EvbufferFree {
    void operator()(evbuffer* chain) const { evbuffer_free(chain); }
  };
  evbuffer* chain();
  std::unique_ptr<evbuffer, EvbufferFree> chain_; // null: empty
};

/// The result of a read from a socket. WouldBlock: no bytes are available yet.
enum class ReceiveResult { Bytes, WouldBlock, EndOfStream, Error };
/// Reads up to `max_bytes` without blocking. `bytes` is set only if the result is Bytes.
ReceiveResult receive(int fd, char* destination, std::size_t max_bytes, std::size_t& bytes);

/// Moves bytes from socket to socket with splice(), without a copy in this process. The pipe is empty between
/// two calls, so that one instance (two descriptors) serves a whole event loop.
class Pipe {
 public:
  Pipe();
  ~Pipe();
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  /// False: no descriptors were available for the pipe, or the system does not permit splice().
  bool usable() const { return fds_[0] >= 0; }

  /// Moves up to `max_bytes`, at most kIoBufferBytes. `bytes`: the number of bytes read. `unsent`: the bytes
  /// that the socket of `to` did not accept, copied into `io_buffer`. Returns false if the system refuses
  /// splice() (a system call filter, or an unsupported socket type): nothing was read, and the pipe is
  /// unusable from then on.
  bool transfer(int from, bufferevent* to, std::size_t max_bytes, IoBuffer& io_buffer,
                ReceiveResult& received, std::size_t& bytes, std::string_view& unsent);

 private:
  std::size_t send_now(bufferevent* to, std::size_t bytes);
  std::string_view read_unsent(IoBuffer& io_buffer, std::size_t bytes);
  void close();
  int fds_[2] = {-1, -1}; // read end, write end
};

/// These functions write to the socket of `to` at once if its output buffer is empty, and append to that
/// buffer what the socket does not accept. Errors surface when libevent writes the output buffer. They return
/// how many bytes of the body are left in the output buffer; the overload without a body counts all of
/// `text`.
std::size_t write_or_enqueue(bufferevent* to, std::string_view text);
std::size_t write_or_enqueue(bufferevent* to, std::string_view head, Buffer&& body);
std::size_t write_or_enqueue(bufferevent* to, std::string_view prefix, std::string_view body,
                             std::string_view suffix);

} // namespace fernward::loop
