// Asks discovery for the whole list once, then watches it by long polls on one connection.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "http/parser.h"
#include "loop/deadlines.h"
#include "loop/net.h"

namespace fernward::routes {

class Watch {
 public:
  // Takes an answer's text and returns the index to watch from; throws Damaged.
  using Take = std::function<std::uint64_t(const std::string& text)>;

  Watch(event_base* base, loop::Deadlines& deadlines, const std::string& address, Take take);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  const std::string& address() const { return address_; }

 private:
  static void readable(bufferevent*, void* self) { static_cast<Watch*>(self)->read(); }
  static void changed(bufferevent*, short what, void* self) { static_cast<Watch*>(self)->event(what); }
  void connect();
  void ask();
  void read();
  void event(short what);
  void answered(const http::Message& answer);
  void end(const char* code);
  void fail(const char* code);
  void give_up(const char* code);
  void wait(double ms, std::function<void()> what);

  event_base* base_;
  loop::Deadlines& deadlines_;
  std::string address_;
  Take take_;
  loop::BuffereventPtr connection_;
  http::Parser parser_{http::Kind::Response};
  std::optional<std::uint64_t> index_; // none: the whole list is asked for
  double asked_at_ = 0, backoff_ms_ = 0;
  bool up_ = false;
  std::uint64_t answers_ = 0;
  loop::Deadlines::Ticket ticket_ = 0; // the one thing waited for
};

} // namespace fernward::routes
