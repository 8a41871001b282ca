// Buffers for bodies, and reads and writes that go straight to a socket.
//
// libevent reads 4 KB at a time and arms an event for each write, which is most of the cost of a long body
// (docs/notes/bodies.md has the figures).
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fernward::loop {

constexpr std::size_t kIoBufferBytes = 64 * 1024;

/// The memory that sockets are read into, one for all of a loop: its bytes are valid until the next callback.
/// What must be kept goes into a Buffer.
class IoBuffer {
 public:
  IoBuffer();
  ~IoBuffer();
  IoBuffer(const IoBuffer&) = delete;
  IoBuffer& operator=(const IoBuffer&) = delete;

  /// Memory that no Buffer refers to: other than before, where one still refers to that.
  char* data();
  static constexpr std::size_t size() { return kIoBufferBytes; }

 private:
  friend class Buffer;
  struct Memory;
  struct FreeList;
  std::shared_ptr<FreeList> free_list_;
  Memory* memory_; // shared with the buffers that refer to it; never null
};

/// A chain of bytes that is moved and not copied. Where memory is missing its methods throw std::bad_alloc.
class Buffer {
 public:
  Buffer() = default;
  Buffer(Buffer&&) noexcept = default;
  Buffer& operator=(Buffer&&) noexcept = default;

  std::size_t size() const { return chain_ == nullptr ? 0 : evbuffer_get_length(chain_.get()); }
  void copy(std::string_view bytes);
  /// By reference where they fill half of `block` or more, else as a copy: no Buffer holds more memory than
  /// twice its size.
  void add(std::string_view bytes, IoBuffer& block);
  /// Empty afterwards.
  void move_to(evbuffer* to);
  void drain(std::size_t bytes);
  /// Moves up to `max_bytes` from the front; returns how many.
  std::size_t take(char* into, std::size_t max_bytes);
  /// A copy of all, for what is small.
  std::string text() const;
  void clear() { chain_.reset(); }

 private:
  friend std::size_t write_or_wait(bufferevent* to, std::string_view head, Buffer&& body);
  struct Free {
    void operator()(evbuffer* chain) const { evbuffer_free(chain); }
  };
  evbuffer* chain();
  std::unique_ptr<evbuffer, Free> chain_; // null: empty
};

/// What a read from a socket came to. WouldBlock: nothing is there yet.
enum class Received { Bytes, WouldBlock, EndOfStream, Error };
/// Reads up to `max_bytes`; sets `bytes` where it returns Bytes.
Received receive(int fd, char* into, std::size_t max_bytes, std::size_t& bytes);

/// Moves bytes from socket to socket without a copy in this process. It is empty between two calls: one
/// serves all of a loop, for two descriptors.
class Pipe {
 public:
  Pipe();
  ~Pipe();
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  /// False: the system had no descriptors for it, or does not move bytes this way.
  bool usable() const { return ends_[0] >= 0; }

  /// Moves up to `max_bytes`, and kIoBufferBytes at most. `bytes`: how many were read; `rest`: those that the
  /// socket of `to` did not take, read into `block`. False: the system refuses, by a filter on system calls
  /// or for a kind of socket; nothing was read, and the pipe is not usable from then on.
  bool move(int from, bufferevent* to, std::size_t max_bytes, IoBuffer& block, Received& received,
            std::size_t& bytes, std::string_view& rest);

 private:
  std::size_t send_now(bufferevent* to, std::size_t bytes);
  std::string_view read_rest(IoBuffer& block, std::size_t bytes);
  void close();
  int ends_[2] = {-1, -1}; // to read from, to write to
};

/// These write to the socket of `to` at once where its output buffer is empty; what does not go out waits
/// there. An error shows when that is written. They return how many bytes of the body wait: of all, where
/// there is no other.
std::size_t write_or_wait(bufferevent* to, std::string_view text);
std::size_t write_or_wait(bufferevent* to, std::string_view head, Buffer&& body);
std::size_t write_or_wait(bufferevent* to, std::string_view before, std::string_view body,
                          std::string_view after, IoBuffer& block);

} // namespace fernward::loop
