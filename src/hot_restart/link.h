// Carries the messages of a hot restart: the Unix socket where a process waits for the one that replaces it,
// and the connection between the two, on which descriptors go beside frames. Decides nothing.
//
// One thread. Callbacks come from the event loop; a connection may be destroyed from within its own.
#pragma once

#include <event2/event.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "hot_restart/state.h"
#include "loop/timer_queue.h"

namespace fernward::hot_restart {

// A file descriptor that is closed with its owner; below 0: none.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(other.release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();
  int get() const { return fd_; }
  int release() {
    const int fd = fd_;
    fd_ = -1;
    return fd;
  }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// Puts messages together from the bytes and descriptors of a socket.
class MessageReader {
 public:
  enum class ReadResult { Data, WouldBlock, Closed };
  ReadResult receive(int socket); // reads once
  // The next message, and its descriptor where it is a TakeoverGrant or a PassedConnection. None: more bytes
  // are needed, or `fault` is not empty.
  std::optional<Message> next(Descriptor& descriptor);
  const std::string& fault() const { return fault_; }

 private:
  std::string bytes_;
  std::deque<Descriptor> descriptors_;
  std::string fault_;
};

// To the other process. Open until the other side closes or a message can't be read.
class ProcessConnection {
 public:
  using OnMessage = std::function<void(Message, Descriptor)>;
  // Once, from the loop. `fault`: what could not be read; empty: the other side has closed.
  using OnClosed = std::function<void(const std::string& fault)>;

  ProcessConnection(event_base* base, Descriptor socket, OnMessage on_message, OnClosed on_closed,
                    MessageReader reader = {});
  ProcessConnection(const ProcessConnection&) = delete;
  ProcessConnection& operator=(const ProcessConnection&) = delete;

  void send(const Message& message, Descriptor descriptor = {});
  void read_now() { read(); }                      // without waiting for the event loop
  bool is_flushed() const { return out_.empty(); } // all that was sent has left
  bool is_closed() const { return closed_; }

 private:
  struct Frame {
    std::string bytes;
    std::size_t sent = 0;
    Descriptor descriptor;
  };
  static void on_readable(int, short, void* self);
  static void on_writable(int, short, void* self);
  void read();
  void write();
  void close(const std::string& fault);

  Descriptor socket_;
  OnMessage on_message_;
  OnClosed on_closed_;
  MessageReader reader_;
  std::deque<Frame> out_;
  bool closed_ = false;
  loop::EventPtr read_event_;
  loop::EventPtr write_event_;
};

// Where a new process finds this one. The path is taken by rename: the process that came last has it.
class RestartListener {
 public:
  using OnConnect = std::function<void(Descriptor)>;
  RestartListener(event_base* base, const std::string& path,
                  OnConnect on_connect); // throws std::runtime_error
  ~RestartListener();                    // removes the path, unless another process has it now
  RestartListener(const RestartListener&) = delete;
  RestartListener& operator=(const RestartListener&) = delete;

 private:
  void bind_path();
  static void on_acceptable(int listening, short, void* self);
  static void resume(int, short, void* self);

  std::string path_;
  OnConnect on_connect_;
  Descriptor socket_;
  std::uint64_t inode_ = 0;
  loop::EventPtr accept_event_;
  loop::EventPtr resume_event_;
};

// What a new process got from the one that it replaces.
struct Inherited {
  TakeoverGrant grant;
  Descriptor listening;
  Descriptor connection;
  MessageReader reader; // with what came behind the grant
};
// Asks the process at `path` to be replaced, and waits up to `timeout_ms` for its answer. None: no process is
// there, or `fault` says what went wrong.
std::optional<Inherited> request_takeover(const std::string& path, const TakeoverRequest& request,
                                          double timeout_ms, std::string& fault);

} // namespace fernward::hot_restart
