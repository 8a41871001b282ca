// Transport for hot restart messages: the Unix socket on which a process accepts the one that replaces it,
// and the connection between the two, which carries frames and file descriptors.
// router/hot_restart_coordinator.h decides what is sent and when.
//
// Not thread-safe. Callbacks run on the event loop; a connection may be destroyed from its own callbacks.
#pragma once

#include <event2/event.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "hot_restart/restart_messages.h"
#include "loop/timer_queue.h"

namespace fernward::hot_restart {

// Owns a file descriptor and closes it on destruction; below 0: none.
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

// Assembles messages from the bytes and file descriptors received on a socket.
class MessageReader {
 public:
  enum class ReadResult { Data, WouldBlock, Closed };
  ReadResult receive(int socket); // reads once
  // The next message, and its descriptor if it is a TakeoverGrant or a PassedConnection. None: more bytes are
  // needed, or error() is not empty.
  std::optional<Message> next_message(Descriptor& descriptor);
  const std::string& error() const { return error_; }

 private:
  std::string bytes_;
  std::deque<Descriptor> descriptors_;
  std::string error_;
};

// The connection to the other process, open until the peer closes it or sends an invalid message. `reader`
// may already hold received messages.
class ProcessConnection {
 public:
  using OnMessage = std::function<void(Message, Descriptor)>;
  // Called once, from the event loop. `error`: why a message was invalid; empty: the peer closed the
  // connection.
  using OnClosed = std::function<void(const std::string& error)>;

  ProcessConnection(event_base* base, Descriptor socket, OnMessage on_message, OnClosed on_closed,
                    MessageReader reader = {});
  ProcessConnection(const ProcessConnection&) = delete;
  ProcessConnection& operator=(const ProcessConnection&) = delete;

  void send(const Message& message, Descriptor descriptor = {});
  void read_now() { read(); } // reads immediately instead of waiting for the event loop
  bool is_flushed() const { return send_queue_.empty(); } // everything has been written to the socket
  bool is_closed() const { return closed_; }

 private:
  struct OutgoingFrame {
    std::string bytes;
    std::size_t sent_bytes = 0;
    Descriptor descriptor;
  };
  static void on_readable(int, short, void* context);
  static void on_writable(int, short, void* context);
  void read();
  void write();
  void close(const std::string& error);

  Descriptor socket_;
  OnMessage on_message_;
  OnClosed on_closed_;
  MessageReader reader_;
  std::deque<OutgoingFrame> send_queue_;
  bool closed_ = false;
  loop::EventPtr read_event_;
  loop::EventPtr write_event_;
};

// Listens on a Unix socket for the process that replaces this one. The path is replaced by rename(), so it
// belongs to the process that was started last.
class RestartListener {
 public:
  using OnConnect = std::function<void(Descriptor)>;
  // Throws std::runtime_error if it cannot listen at `path`.
  RestartListener(event_base* base, const std::string& path, OnConnect on_connect);
  ~RestartListener(); // removes the path, unless another process has replaced it
  RestartListener(const RestartListener&) = delete;
  RestartListener& operator=(const RestartListener&) = delete;

 private:
  void bind_path();
  static void on_acceptable(int listen_fd, short, void* context);
  static void resume(int, short, void* context);

  std::string path_;
  OnConnect on_connect_;
  Descriptor socket_;
  std::uint64_t inode_ = 0;
  loop::EventPtr accept_event_;
  loop::EventPtr resume_event_;
};

// What a new process receives from the one that it replaces.
struct InheritedState {
  TakeoverGrant grant;
  Descriptor listen_socket;
  Descriptor connection;
  MessageReader reader; // may hold messages that followed the grant
};
// Sends a takeover request to the process that listens at `path`, and blocks for up to `timeout_ms` until it
// is granted. None: no process listens there (`error` is empty), or `error` describes the failure.
std::optional<InheritedState> request_takeover(const std::string& path, const TakeoverRequest& request,
                                               double timeout_ms, std::string& error);

} // namespace fernward::hot_restart
