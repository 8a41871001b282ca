// The hand of handover: the Unix socket where a process waits for the one that replaces it, and the channel between the
// two, on which descriptors go beside frames. Nothing here decides anything.
//
// One thread. Callbacks come from the event loop; a channel may be ended from within its own.
#pragma once

#include <event2/event.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "hot_restart/state.h"
#include "loop/timer_queue.h"

namespace fernward::hot_restart {

class Descriptor { // closed at its end
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

// Bytes and descriptors as they come, messages as they are whole.
class Incoming {
 public:
  enum class Got { Some, Nothing, Ended };
  Got receive(int socket); // once
  // The next message and, of a Welcome or a Client, its descriptor. None: more is needed, or `fault` is not empty.
  std::optional<Message> next(Descriptor& beside);
  const std::string& fault() const { return fault_; }

 private:
  std::string bytes_;
  std::deque<Descriptor> descriptors_;
  std::string fault_;
};

class Channel {
 public:
  using Take = std::function<void(Message, Descriptor)>;
  using Ended =
      std::function<void(const std::string& why)>; // called once, from the loop; `why` of a fault, or empty

  Channel(event_base* base, Descriptor socket, Take take, Ended ended, Incoming before = {});
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  void send(const Message& message, Descriptor beside = {});
  void look() { read(); }                    // what has come by now, without waiting for the loop
  bool idle() const { return out_.empty(); } // all that was sent has left
  bool ended() const { return over_; }

 private:
  struct Out {
    std::string bytes;
    std::size_t gone = 0;
    Descriptor beside;
  };
  static void readable(int, short, void* self);
  static void writable(int, short, void* self);
  void read();
  void write();
  void end(const std::string& why);

  Descriptor socket_;
  Take take_;
  Ended ended_;
  Incoming in_;
  std::deque<Out> out_;
  bool over_ = false;
  loop::EventPtr reads_, writes_;
};

// Where the next process finds this one. The path is taken by rename, so that whoever came last has it.
class Door {
 public:
  using Came = std::function<void(Descriptor)>;
  Door(event_base* base, const std::string& path, Came came); // throws std::runtime_error
  ~Door();                                                    // the path goes too, unless another has it now
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;

 private:
  static void accepted(int listening, short, void* self);
  static void listen_again(int, short, void* self);
  std::string path_;
  Came came_;
  Descriptor socket_;
  std::uint64_t inode_ = 0;
  loop::EventPtr listening_, again_;
};

// What a new process got from the one that it replaces.
struct Inherited {
  Welcome welcome;
  Descriptor listening, channel;
  Incoming rest; // what came behind the welcome
};
// Asks at `path` and waits for the answer, up to `patience_ms`. None: nobody is there, or `why` says what went wrong.
std::optional<Inherited> ask(const std::string& path, const Hello& hello, double patience_ms,
                             std::string& why);

} // namespace fernward::hot_restart
