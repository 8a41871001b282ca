// Bytes that wait, in chains that are moved and not copied; the block of memory that bodies are read through; and
// writing straight to a socket. libevent reads 4 KB at a time and arms an event for each write: for a body of some
// size that is most of its cost (docs/notes/bodies.md has the figures).
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace fernward::loop {

constexpr std::size_t kBlock = 64 * 1024;

// The memory that a socket is read into, one for all of a loop: it is used from one callback to the next only. What
// has to wait goes into a Buffer: by reference where it fills half of the block or more, so that nothing that waits
// holds more than twice its size; else as a copy.
class IoBuffer {
 public:
  IoBuffer();
  ~IoBuffer();
  IoBuffer(const IoBuffer&) = delete;
  IoBuffer& operator=(const IoBuffer&) = delete;

  char* data();
  static constexpr std::size_t size() { return kBlock; }

 private:
  friend class Buffer;
  struct Memory;
  struct Spare;
  std::shared_ptr<Spare> spare_;
  Memory* memory_; // shared with the buffers that refer to it; never null
};

class Buffer {
 public:
  Buffer() = default;
  Buffer(Buffer&&) noexcept = default;
  Buffer& operator=(Buffer&&) noexcept = default;

  std::size_t size() const { return raw_ == nullptr ? 0 : evbuffer_get_length(raw_.get()); }
  void copy(std::string_view bytes);
  void add(std::string_view bytes, IoBuffer& block); // by reference where they fill half of it, see Block
  void move_to(evbuffer* to);                        // its chains; empty afterwards
  void drain(std::size_t bytes);
  std::size_t take(char* into, std::size_t most); // from its front; returns how many
  std::string text() const;                       // a copy of all of it: for what is small
  void clear() { raw_.reset(); }

 private:
  friend std::size_t write_or_wait(bufferevent* b, std::string_view head, Buffer&& body);
  struct Free {
    void operator()(evbuffer* b) const { evbuffer_free(b); }
  };
  evbuffer* raw();
  std::unique_ptr<evbuffer, Free> raw_; // null: empty
};

// Reads what is there, at most `most` bytes.
enum class Received { Bytes, Nothing, Ended, Broken };
Received receive(int fd, char* into, std::size_t most, std::size_t& bytes);

// A pipe through which bytes go from one socket to another without a copy in this process. It is empty between two
// calls, so one serves all of a loop, for two descriptors.
class Pipe {
 public:
  Pipe();
  ~Pipe();
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  // No: the system had no descriptors for it, or moves no bytes this way.
  bool usable() const { return ends_[0] >= 0; }

  // Moves up to `most` bytes, a block's size at most, to a bufferevent's socket; `rest` is what that does not take,
  // read into the block; it and what went out make up `bytes`. False: the system refuses to, by a filter on calls or
  // for a kind of socket; nothing was read, and the pipe is not usable from then on.
  bool move(int from, bufferevent* to, std::size_t most, IoBuffer& block, Received& received,
            std::size_t& bytes, std::string_view& rest);

 private:
  void close();
  int ends_[2] = {-1, -1};
};

// These write to a bufferevent's socket at once, where nothing waits to be written before it; what does not go out
// waits in its output. An error shows when that is written. They return how many bytes of `body` wait.
std::size_t write_or_wait(bufferevent* b, std::string_view text); // of the text
std::size_t write_or_wait(bufferevent* b, std::string_view head, Buffer&& body);
std::size_t write_or_wait(bufferevent* b, std::string_view before, std::string_view body,
                          std::string_view after, IoBuffer& block);

} // namespace fernward::loop
