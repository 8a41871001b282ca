// A connected or connecting TCP socket in an event loop. Data is written at once as far as the kernel accepts
// it, and passed on as it is received. It does less than a bufferevent: a message takes one system call in
// each direction, and the time at which its last byte was written is known.
#pragma once

#include <event2/event.h>
#include <netinet/in.h>

#include <memory>
#include <string>
#include <string_view>

#include "loop/timer_queue.h"

namespace fernward::rig {

class Stream {
 public:
  // Callbacks from the event loop. The handler may destroy the stream in any of them; the stream is not
  // accessed afterwards.
  class Handler {
   public:
    virtual void on_connected() {}                   // a connecting stream is connected
    virtual void on_data(std::string_view data) = 0; // valid during the call
    virtual void on_closed(int error) = 0; // an errno; 0: the peer closed its sending side. Called once
   protected:
    ~Handler() = default;
  };

  Stream(event_base* base, int fd, Handler& handler); // takes ownership of an accepted socket
  // Returns null if out of descriptors. The outcome of the connection attempt is reported from the loop.
  static std::unique_ptr<Stream> connect(event_base* base, const sockaddr_in& address, Handler& handler);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool is_connected() const { return connected_; }
  // Data that the kernel does not accept is buffered. False: the connection is broken, which on_closed()
  // reports later.
  bool send(std::string_view bytes);
  bool all_sent() const { return unsent_.empty(); }
  void pause(); // stops reading: received data stays in the kernel
  void resume();
  bool nothing_unread() const; // no unread data has been received, nor an end of data
  void shutdown_write();       // closes the sending side
  void reset_on_close();       // destroying the stream sends a reset
  int fd() const { return fd_; }

 private:
  static void on_readable(int, short, void* self);
  static void on_writable(int, short, void* self);
  void handle_readable();
  void handle_writable();

  event_base* base_;
  int fd_;
  Handler& handler_;
  bool connected_;
  std::string unsent_;
  loop::EventPtr read_event_, write_event_;
};

} // namespace fernward::rig
