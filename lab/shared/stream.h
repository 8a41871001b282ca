// A connected or connecting TCP socket in a loop: bytes out at once where the kernel takes them, bytes in as they
// come. Thinner than a bufferevent: a message costs one call of the kernel each way, and the moment at which its last
// byte went is known.
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
  // Its user may destroy the stream in any of these calls; nothing of it is touched afterwards.
  class User {
   public:
    virtual void up() {}                          // a connecting stream is up
    virtual void bytes(std::string_view got) = 0; // valid during the call
    virtual void end(int error) = 0;              // 0: the other side ended its sending. Called once
   protected:
    ~User() = default;
  };

  Stream(event_base* base, int fd, User& user); // an accepted socket, which it owns
  // Null: out of descriptors. Whether it comes up is told from the loop.
  static std::unique_ptr<Stream> connect(event_base* base, const sockaddr_in& to, User& user);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool is_up() const { return up_; }
  // False: the connection is broken; its end is told from the loop. What the kernel does not take waits here.
  bool send(std::string_view bytes);
  bool all_sent() const { return unsent_.empty(); }
  void pause(); // reads nothing: what comes stays with the kernel
  void resume();
  bool quiet() const;    // nothing has come that was not read, not even an end
  void finish();         // no more will be sent
  void reset_on_close(); // its end resets the connection
  int fd() const { return fd_; }

 private:
  static void readable(int, short, void* self);
  static void writable(int, short, void* self);
  void read_event();
  void write_event();

  event_base* base_;
  int fd_;
  User& user_;
  bool up_;
  std::string unsent_;
  loop::EventPtr reads_, writes_;
};

} // namespace fernward::rig
